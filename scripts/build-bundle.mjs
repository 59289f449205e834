// Bundles the router that runs on the platform under target/, with the code
// that V8 compiles for it.
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

const SETTINGS = 'target/build.ini';
/** A router that finds nobody, so that what every start runs is compiled. */
const settings = `[router]
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

/** V8 takes compiled code only with the flags that it was compiled with. */
function runFlags() {
  const deploy = readFileSync('deploy/system.toml', 'utf8');
  const [, words = ''] = /^run = "node (.*?) target\//mu.exec(deploy) ?? [];
  return words.split(' ').filter(word => word !== '');
}

/** Leaves out the languages in which nobody reads zod's messages. */
const englishOnly = {
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
  plugins: [englishOnly],
});
copyFileSync('scripts/load-bundle.cjs', 'target/router.cjs');
writeFileSync(SETTINGS, settings);
execFileSync(
  process.execPath,
  [...runFlags(), 'target/router.cjs', '--write-cache'],
  { env: { ...process.env, SESAMEGRADE_CONFIG: SETTINGS }, stdio: 'ignore' },
);
rmSync(SETTINGS);
console.log('built target/router.cjs');
