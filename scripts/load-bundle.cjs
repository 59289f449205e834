// Runs the bundle beside this file with the code that V8 compiled for it at
// build time. Callers' connections are accepted before that, as loading takes
// longer than listening and a refused connection costs a caller its try.
const { readFileSync, writeFileSync } = require('node:fs');
const { createServer } = require('node:net');
const { join } = require('node:path');
const { Script } = require('node:vm');

/** Connections that wait while the bundle is loaded; those of a busy second. */
const BACKLOG = 1024;
/** Time in which a start has run what every start runs. */
const WARM_UP_MS = 1500;
const KEY = Symbol.for('sesamegrade.early-listener');

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

function runBundle() {
  const code = readFileSync(bundle, 'utf8');
  const cachedData = readCache();
  const script = new Script(`(function (${parameters}) {${code}\n})`, {
    filename: bundle,
    ...(cachedData ? { cachedData } : {}),
  });
  if (process.argv.includes('--write-cache')) {
    setTimeout(() => {
      writeFileSync(cache, script.createCachedData());
      process.exit(0);
    }, WARM_UP_MS);
  }
  script.runInThisContext()(exports, require, module, __filename, __dirname);
}

/** Address after `--callers`, as the platform fills it in. */
function callersAddress() {
  const at = process.argv.indexOf('--callers');
  const text = at < 0 ? '' : (process.argv[at + 1] ?? '');
  const colon = text.lastIndexOf(':');
  return colon <= 0
    ? undefined
    : { host: text.slice(0, colon), port: Number(text.slice(colon + 1)) };
}

// The program reads its settings later than this; a signal must not end it.
process.on('SIGHUP', () => undefined);
const address = callersAddress();
if (address) {
  const server = createServer({ allowHalfOpen: true, noDelay: true });
  const sockets = [];
  server.on('connection', socket => sockets.push(socket));
  globalThis[KEY] = { server, sockets };
  server.once('error', runBundle);
  server.listen({ ...address, backlog: BACKLOG }, () => {
    server.off('error', runBundle);
    runBundle();
  });
} else {
  runBundle();
}
