// Builds dist/sesamegrade, a single executable of the program, its libraries and Node.js.
import { execFileSync } from 'node:child_process';
import { chmodSync, copyFileSync, mkdirSync, writeFileSync } from 'node:fs';

import { build } from 'esbuild';

import { bundleOptions } from './bundle-options.mjs';

const FUSE = 'NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2';

mkdirSync('dist', { recursive: true });
await build({
  ...bundleOptions,
  entryPoints: ['packages/cli/src/main.ts'],
  outfile: 'dist/sesamegrade.cjs',
});
writeFileSync(
  'dist/sea.json',
  JSON.stringify({
    main: 'dist/sesamegrade.cjs',
    output: 'dist/sesamegrade.blob',
    disableExperimentalSEAWarning: true,
  }),
);
execFileSync(process.execPath, ['--experimental-sea-config', 'dist/sea.json']);
copyFileSync(process.execPath, 'dist/sesamegrade');
execFileSync('npx', [
  '--no-install',
  'postject',
  'dist/sesamegrade',
  'NODE_SEA_BLOB',
  'dist/sesamegrade.blob',
  '--sentinel-fuse',
  FUSE,
]);
chmodSync('dist/sesamegrade', 0o755);
console.log('built dist/sesamegrade');
