// Bundles the router that runs on the platform into target/router.cjs.
import { mkdirSync } from 'node:fs';

import { build } from 'esbuild';

import { bundleOptions } from './bundle-options.mjs';

mkdirSync('target', { recursive: true });
await build({
  ...bundleOptions,
  entryPoints: ['packages/cli/src/platform-router.ts'],
  outfile: 'target/router.cjs',
  minify: false,
  keepNames: false,
});
console.log('built target/router.cjs');
