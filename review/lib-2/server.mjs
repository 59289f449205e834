/**
 * A server of the users' pages, as far as the cases need it: it runs requests, stamps its answers,
 * rejects what names another instance, and ends as a process does.
 */
import { Buffer } from 'node:buffer';
import http from 'node:http';
import { setTimeout as pause } from 'node:timers/promises';

const options = JSON.parse(process.argv[2]);
const { id, port, born, slots = 64, version = 'v1' } = options;
let running = 0;
let count = 0;

function report(document) {
  process.stdout.write(`${JSON.stringify(document)}\n`);
}

function stampOf(request) {
  count += 1;
  return {
    'Sesamegrade-Request-Id': request.headers['sesamegrade-request-id'],
    'Sesamegrade-Server-Stamp': `${id}.${count}`,
    'Sesamegrade-Server-Load': `${running},0,${slots}`,
  };
}

/** Sends a body without a length or chunks; the end of the connection ends it. */
function answerUnframed(request, response, size) {
  const { socket } = response;
  const body = Buffer.alloc(size, 'x');
  const head = Object.entries({ ...stampOf(request), Connection: 'close' })
    .map(([name, value]) => `${name}: ${value}\r\n`)
    .join('');
  socket.write(`HTTP/1.1 200 OK\r\n${head}\r\n`);
  socket.end(body);
}

function answerWhole(request, response, size) {
  response.writeHead(200, {
    ...stampOf(request),
    'Content-Length': size,
  });
  response.end(Buffer.alloc(size, 'x'));
}

/** Sends events until the last one; the process ends after `crashAfter` of a fatal request. */
async function answerStream(request, response, isFatal) {
  const {
    events = 40,
    eventMs = 20,
    firstEventMs = 0,
    crashAfter = 3,
  } = options;
  await pause(firstEventMs);
  const first = Number(request.headers['last-event-id'] ?? 0) + 1;
  response.writeHead(200, {
    ...stampOf(request),
    'Content-Type': 'text/event-stream',
  });
  for (let event = first; event <= events; event += 1) {
    if (response.destroyed) {
      return 'left';
    }
    response.write(`id: ${event}
data: ${id} ${version}

`);
    await pause(eventMs);
    if (isFatal && event - first + 1 === crashAfter) {
      process.exit(1);
    }
  }
  response.end();
  return 'whole';
}

async function run(request, response, body) {
  const requestId = request.headers['sesamegrade-request-id'];
  const size = Number(request.headers['x-answer-bytes'] ?? 800);
  const isFatal = body.toString() === 'fatal';
  report({ kind: 'runs', request: requestId, isFatal, at: Date.now() });
  running += 1;
  let end = 'whole';
  if (request.url.startsWith('/stream/')) {
    end = await answerStream(request, response, isFatal);
  } else {
    await pause(options.workMs ?? 40);
    if (options.unframed === true) {
      answerUnframed(request, response, size);
    } else {
      answerWhole(request, response, size);
    }
  }
  running -= 1;
  report({ kind: 'ends', request: requestId, end, at: Date.now() });
}

const server = http.createServer((request, response) => {
  const expected = request.headers['sesamegrade-expect-instance'];
  const parts = [];
  request.on('data', part => parts.push(part));
  request.on('end', () => {
    if (request.url === '/health') {
      response.writeHead(200, { 'Sesamegrade-Instance-Id': id });
      response.end();
    } else if (request.url === '/report') {
      const document = {
        stage: 'hybrid',
        models: [],
        busy: false,
        seq: 0,
        queued: 0,
        active: running,
        kvUsed: 0,
        kvTotal: 500000,
        handles: 0,
        born,
      };
      response.writeHead(200, { 'Content-Type': 'application/json' });
      response.end(JSON.stringify(document));
    } else if (expected !== undefined && expected !== id) {
      response.writeHead(421, {
        ...stampOf(request),
        'Sesamegrade-Instance-Id': id,
        'Sesamegrade-Not-Executed': '1',
      });
      response.end();
    } else {
      run(request, response, Buffer.concat(parts));
    }
  });
});
server.keepAliveTimeout = 15000;
server.listen(port, '127.0.0.1', () => {
  report({ kind: 'listening' });
});
// The process ends with the case that started it.
process.stdin.on('end', () => process.exit(0)).resume();
