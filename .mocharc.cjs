/** Mocha configuration; passes over the tests whose full titles KNOWN-RED.txt lists, and prints them. */
const { readFileSync } = require('node:fs');
const { join } = require('node:path');

const FULL_TITLE = /^full title: (.+)$/gmu;

const list = readFileSync(join(__dirname, 'KNOWN-RED.txt'), 'utf8');
const titles = [...list.matchAll(FULL_TITLE)].map(([, title]) => title);
for (const title of titles) {
  console.log(`known red, not run: ${title}`);
}
const pattern = titles
  .map(title => title.replaceAll(/[$()*+./?[\\\]^{|}]/gu, String.raw`\$&`))
  .join('|');

module.exports = {
  extension: ['ts'],
  spec: ['packages/*/src/**/*.test.ts', 'platform/src/**/*.test.ts'],
  'node-option': ['import=tsx'],
  require: [join(__dirname, 'scripts', 'exit-watch.cjs')],
  timeout: 60_000,
  'forbid-only': true,
  'forbid-pending': true,
  ...(titles.length > 0 ? { grep: `/^(?:${pattern})$/`, invert: true } : {}),
};
