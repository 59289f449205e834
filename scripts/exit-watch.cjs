/**
 * Mocha root hooks: if the process has not ended some time after the last test, they print
 * what keeps it running and end the run as failed, so that CI shows the reason.
 */
const { createHook } = require('node:async_hooks');
const { ChildProcess } = require('node:child_process');
const { Server, Socket } = require('node:net');
const { clearTimeout, setTimeout } = require('node:timers');

/** Time that the process gets to end by itself, in ms. */
const LIMIT_MS = Number(process.env.EXIT_WATCH_MS ?? 30_000);
/** Largest number of lines for each kind of handle. */
const MAX_LINES = 20;
const MAX_FRAMES = 12;
const TRACED = new Set(['Timeout', 'TCPWRAP', 'TCPSERVERWRAP', 'PROCESSWRAP']);

/** Stacks of what was created since the last test, as by a loop that tries again and again. */
const created = new Map();
const tracing = createHook({
  init(id, type, _trigger, resource) {
    if (TRACED.has(type)) {
      const { stack = '' } = new Error('created');
      created.set(id, { type, resource, stack });
    }
  },
  destroy(id) {
    created.delete(id);
  },
});

let timer;

function describe(handle) {
  if (handle instanceof ChildProcess) {
    return `child process ${handle.pid}: ${handle.spawnargs.join(' ')}`;
  }
  if (handle instanceof Server) {
    return `server at ${JSON.stringify(handle.address())}`;
  }
  if (handle instanceof Socket) {
    const { localAddress, localPort, remoteAddress, remotePort } = handle;
    const state = handle.readableEnded ? ', its end was read' : '';
    return `socket from ${localAddress}:${localPort} to ${remoteAddress}:${remotePort}${state}`;
  }
  return handle.constructor?.name ?? 'handle';
}

function printSome(lines) {
  lines.slice(0, MAX_LINES).forEach(line => {
    console.error(`  ${line}`);
  });
  if (lines.length > MAX_LINES) {
    console.error(`  and ${lines.length - MAX_LINES} more like the last one`);
  }
}

function printHandles(handles) {
  console.error(
    `the process has not ended ${LIMIT_MS} ms after the last test; active:`,
  );
  const counts = {};
  for (const kind of process.getActiveResourcesInfo()) {
    counts[kind] = (counts[kind] ?? 0) + 1;
  }
  printSome(Object.entries(counts).map(([kind, count]) => `${count} ${kind}`));
  for (const kind of new Set(handles.map(({ constructor }) => constructor))) {
    printSome(
      handles.filter(handle => handle.constructor === kind).map(describe),
    );
  }
  const live = [...created.values()].filter(
    ({ resource }) => resource.hasRef?.() !== false && !resource._destroyed,
  );
  if (live.length > 0) {
    console.error('created after the last test:');
  }
  printSome(
    live.map(({ type, stack }) => {
      const frames = stack.split('\n').slice(2);
      const own = frames.filter(
        frame => !frame.includes('(node:') && !frame.includes('at node:'),
      );
      return [type, ...own.slice(0, MAX_FRAMES)].join('\n  ');
    }),
  );
}

function endRun() {
  const standard = new Set([process.stdin, process.stdout, process.stderr]);
  const handles = process
    ._getActiveHandles()
    .filter(handle => !standard.has(handle));
  printHandles(handles);
  // A child process with this one's output would keep its readers waiting.
  for (const handle of handles) {
    if (handle instanceof ChildProcess) {
      handle.kill('SIGKILL');
    }
  }
  // Mocha sets the code for the outcome of the tests in its own listener, which comes first.
  process.on('exit', () => {
    process.exitCode ||= 1;
  });
  process.exit();
}

exports.mochaHooks = {
  beforeAll() {
    clearTimeout(timer);
    tracing.disable();
    created.clear();
  },
  afterAll() {
    timer = setTimeout(endRun, LIMIT_MS);
    timer.unref();
    tracing.enable();
  },
};
