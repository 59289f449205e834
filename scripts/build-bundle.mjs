// Bundles the router for the platform into target/, together with V8's code cache
// for the bundle.
import { execFileSync } from 'node:child_process';
import {
  copyFileSync,
  mkdirSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from 'node:fs';
import { resolve } from 'node:path';

import { build } from 'esbuild';

import { bundleOptions } from './bundle-options.mjs';

const SETTINGS_FILE = 'target/build.ini';
/**
 * Settings of a router without peers and store, which runs once at build time to
 * compile the code of every start.
 */
const BUILD_SETTINGS = `[router]
id = build
zone = build
callers = 127.0.0.1:0
ready = 127.0.0.1:0
peers = 127.0.0.1:0
metrics_port = 0
[store]
address = 127.0.0.1:1
[stop]
grace_seconds = 1
[retries]
ratio = 0
window_seconds = 1
slack = 0
`;

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
  },
  plugins: [englishMessagesOnly],
});
copyFileSync('scripts/load-bundle.cjs', 'target/router.cjs');
writeFileSync(SETTINGS_FILE, BUILD_SETTINGS);
execFileSync(
  process.execPath,
  [...runFlags(), 'target/router.cjs', '--write-cache'],
  {
    env: { ...process.env, SESAMEGRADE_CONFIG: SETTINGS_FILE },
    stdio: 'ignore',
  },
);
rmSync(SETTINGS_FILE);
console.log('built target/router.cjs');
