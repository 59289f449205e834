// Bundles the router for the platform into target/, together with V8's code cache
// for the bundle.
import { execFileSync } from 'node:child_process';
import {
  copyFileSync,
  existsSync,
  mkdirSync,
  readFileSync,
  rmSync,
} from 'node:fs';
import { resolve } from 'node:path';

import { build } from 'esbuild';

import { bundleOptions } from './bundle-options.mjs';

/**
 * Returns the Node.js flags of the router's command in deploy/system.toml: V8
 * rejects a code cache that was made with other flags.
 */
function runFlags() {
  const systemFile = readFileSync('deploy/system.toml', 'utf8');
  const [, flags = ''] = /^run = "node (.*?) target\//mu.exec(systemFile) ?? [];
  return flags.split(' ').filter(flag => flag !== '');
}

/** Leaves out all of zod's message translations but English. */
const englishMessagesOnly = {
  name: 'english-only',
  setup({ onResolve }) {
    onResolve({ filter: /\/locales\/index\.js$/ }, () => ({
      path: resolve('scripts/zod-locales.cjs'),
    }));
  },
};

rmSync('target', { recursive: true, force: true });
mkdirSync('target', { recursive: true });
await build({
  ...bundleOptions,
  entryPoints: ['packages/cli/src/platform-router.ts'],
  outfile: 'target/bundle.cjs',
  minifyWhitespace: true,
  minifySyntax: true,
  alias: {
    ...bundleOptions.alias,
    undici: './scripts/undici-client.cjs',
    'mime-db': './scripts/mime-db.cjs',
    'fast-glob': './scripts/absent-glob.cjs',
    destroy: './scripts/stream-destroy.cjs',
    '@dabh/diagnostics': './scripts/silent-diagnostics.cjs',
    // undici goes on without HTTP/2 if the module cannot be loaded; it takes 9 of 120 ms at each start.
    'node:http2': './scripts/absent-module.cjs',
  },
  plugins: [englishMessagesOnly],
});
copyFileSync('scripts/load-bundle.cjs', 'target/router.cjs');
execFileSync(
  process.execPath,
  ['--import', 'tsx', 'scripts/write-code-cache.mjs', ...runFlags()],
  { stdio: ['ignore', 'ignore', 'inherit'] },
);
if (!existsSync('target/bundle.cache')) {
  throw new Error('the router wrote no code cache');
}
console.log('built target/router.cjs');
