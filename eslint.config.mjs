import eslint from '@eslint/js';
import prettier from 'eslint-config-prettier';
import importX from 'eslint-plugin-import-x';
import tseslint from 'typescript-eslint';

export default tseslint.config(
  { ignores: ['dist/', 'target/', 'node_modules/'] },
  eslint.configs.recommended,
  {
    files: ['**/*.ts'],
    extends: [
      ...tseslint.configs.strictTypeChecked,
      ...tseslint.configs.stylisticTypeChecked,
    ],
    languageOptions: {
      parserOptions: {
        projectService: true,
        tsconfigRootDir: import.meta.dirname,
      },
    },
    plugins: { 'import-x': importX },
    rules: {
      'import-x/order': [
        'error',
        {
          groups: ['builtin', 'external', ['internal', 'parent', 'sibling']],
          pathGroups: [{ pattern: '@sesamegrade/**', group: 'internal' }],
          pathGroupsExcludedImportTypes: ['builtin'],
          'newlines-between': 'always',
        },
      ],
      '@typescript-eslint/consistent-type-imports': 'error',
      // `void` hides a rejection, which ends the process; `BackgroundTasks` reports it.
      '@typescript-eslint/no-floating-promises': [
        'error',
        { ignoreVoid: false },
      ],
      '@typescript-eslint/restrict-template-expressions': [
        'error',
        { allowNumber: true },
      ],
      '@typescript-eslint/switch-exhaustiveness-check': [
        'error',
        { considerDefaultExhaustiveForUnions: true },
      ],
    },
  },
  {
    files: ['**/*.test.ts'],
    rules: {
      // chai's property assertions are expressions.
      '@typescript-eslint/no-unused-expressions': 'off',
      '@typescript-eslint/no-non-null-assertion': 'off',
    },
  },
  {
    files: ['**/*.mjs', '**/*.cjs'],
    languageOptions: {
      globals: {
        console: 'readonly',
        process: 'readonly',
        URL: 'readonly',
        fetch: 'readonly',
        setTimeout: 'readonly',
        __dirname: 'readonly',
        __filename: 'readonly',
      },
    },
  },
  {
    files: ['packages/core/src/**/*.ts'],
    rules: {
      'no-restricted-globals': [
        'error',
        { name: 'Date', message: 'core takes the time as an argument' },
        { name: 'setTimeout', message: 'core subscribes to the timer service' },
        {
          name: 'setInterval',
          message: 'core subscribes to the timer service',
        },
        { name: 'process', message: 'core does no I/O' },
        { name: 'fetch', message: 'core does no I/O' },
      ],
      'no-restricted-properties': [
        'error',
        {
          object: 'Math',
          property: 'random',
          message: 'core takes a seeded generator',
        },
      ],
      'no-restricted-imports': [
        'error',
        {
          patterns: [
            {
              group: ['node:*'],
              message: 'core is platform-neutral',
            },
            {
              group: ['@sesamegrade/platform/*'],
              message: 'only the entry point knows the adapter',
            },
          ],
        },
      ],
    },
  },
  {
    // The adapter is joined to the product where the programs are composed.
    files: ['packages/**/*.ts'],
    ignores: [
      'packages/cli/src/platform-router.ts',
      'packages/cli/src/deployment-codec.ts',
      'packages/core/src/**',
    ],
    rules: {
      'no-restricted-imports': [
        'error',
        {
          patterns: [
            {
              group: ['@sesamegrade/platform/*'],
              message: 'only the entry point knows the adapter',
            },
          ],
        },
      ],
    },
  },
  {
    files: [
      'packages/core/src/**/*.ts',
      'packages/router/src/**/*.ts',
      'packages/gateway/src/**/*.ts',
      'platform/src/**/*.ts',
    ],
    ignores: [
      '**/*.test.ts',
      '**/testing/**',
      'packages/core/src/types/bounded-json.ts',
      // Reads the routers' own logs, at an operator's terminal.
      'packages/gateway/src/logs/request-trace.ts',
    ],
    rules: {
      'no-restricted-syntax': [
        'error',
        {
          selector:
            "MemberExpression[object.name='JSON'][property.name='parse']",
          message: 'core/types/bounded-json limits what outside data may take',
        },
      ],
    },
  },
  {
    // winston's declared transports do not match its own stream types.
    files: ['packages/router/src/logs/logger.ts'],
    rules: { '@typescript-eslint/no-unsafe-class-instance-assignment': 'off' },
  },
  prettier,
);
