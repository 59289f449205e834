// Runs the bundle beside this file with the code that V8 compiled for it at
// build time. A machine that compiles the bundle at each start takes twice as
// long to serve again after a crash.
const { readFileSync, writeFileSync } = require('node:fs');
const { join } = require('node:path');
const { Script } = require('node:vm');

const bundle = join(__dirname, 'bundle.cjs');
const cache = join(__dirname, 'bundle.cache');
const parameters = 'exports, require, module, __filename, __dirname';

function readCache() {
  try {
    return readFileSync(cache);
  } catch {
    // The first run makes the cache.
    return undefined;
  }
}

const source = `(function (${parameters}) {${readFileSync(bundle, 'utf8')}\n})`;
const cachedData = readCache();
const script = new Script(source, {
  filename: bundle,
  ...(cachedData ? { cachedData } : {}),
});
if (process.argv.includes('--write-cache')) {
  setTimeout(() => {
    writeFileSync(cache, script.createCachedData());
    process.exit(0);
  }, 1500);
}
script.runInThisContext()(exports, require, module, __filename, __dirname);
