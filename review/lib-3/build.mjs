// Bundles the programs of the cases, with the project's own stand-ins that they use.
import { existsSync, mkdirSync } from 'node:fs';

import { build } from 'esbuild';

const CASES = ['11', '12', '13', '14', '15'];
const FOLDER = 'target/review-3';

const programs = [
  { in: 'review/lib-3/server.mjs', out: 'server' },
  ...CASES.map(name => ({
    in: `review/${name}/case.mjs`,
    out: `case-${name}`,
  })).filter(({ in: source }) => existsSync(source)),
];
mkdirSync(FOLDER, { recursive: true });
for (const { in: source, out } of programs) {
  await build({
    entryPoints: [source],
    outfile: `${FOLDER}/${out}.mjs`,
    bundle: true,
    platform: 'node',
    target: 'node20',
    format: 'esm',
    logLevel: 'error',
  });
}
