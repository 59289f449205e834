// Runs the bundle in this folder with the V8 code cache from build time. The
// callers' port is opened before the bundle is loaded: loading takes longer than
// listening, and a refused connection costs a caller one attempt.

// A SIGHUP before the program has installed its own handler must not end the process. The
// handler comes before the modules are loaded, as that takes some milliseconds.
process.on('SIGHUP', () => undefined);

const { readFileSync, writeFileSync } = require('node:fs');
const { createServer } = require('node:net');
const { join } = require('node:path');
const { Script } = require('node:vm');

/** Connections that may wait while the bundle is loaded: those of one second under high load. */
const BACKLOG = 1024;
const EARLY_LISTENER_KEY = Symbol.for('sesamegrade.early-listener');

const BUNDLE_FILE = join(__dirname, 'bundle.cjs');
const CACHE_FILE = join(__dirname, 'bundle.cache');
const MODULE_PARAMETERS = 'exports, require, module, __filename, __dirname';

function readCache() {
  try {
    return readFileSync(CACHE_FILE);
  } catch {
    // The first run, at build time, has no cache yet and writes it.
    return undefined;
  }
}

function runBundle() {
  const code = readFileSync(BUNDLE_FILE, 'utf8');
  const cachedData = readCache();
  const script = new Script(`(function (${MODULE_PARAMETERS}) {${code}\n})`, {
    filename: BUNDLE_FILE,
    ...(cachedData ? { cachedData } : {}),
  });
  if (process.argv.includes('--write-cache')) {
    process.once('SIGUSR2', () => {
      writeFileSync(CACHE_FILE, script.createCachedData());
      process.exit(0);
    });
  }
  script.runInThisContext()(exports, require, module, __filename, __dirname);
}

/** Returns the address after `--callers`, which the platform fills in; undefined without one. */
function callersAddress() {
  const index = process.argv.indexOf('--callers');
  const text = index < 0 ? '' : (process.argv[index + 1] ?? '');
  const colon = text.lastIndexOf(':');
  return colon <= 0
    ? undefined
    : { host: text.slice(0, colon), port: Number(text.slice(colon + 1)) };
}

const address = callersAddress();
if (address) {
  const server = createServer({ allowHalfOpen: true, noDelay: true });
  const sockets = [];
  server.on('connection', socket => sockets.push(socket));
  globalThis[EARLY_LISTENER_KEY] = { server, sockets };
  server.once('error', runBundle);
  server.listen({ ...address, backlog: BACKLOG }, () => {
    server.off('error', runBundle);
    // A connection that cannot be accepted is lost; without a listener the process ends.
    server.on('error', () => undefined);
    runBundle();
  });
} else {
  runBundle();
}
