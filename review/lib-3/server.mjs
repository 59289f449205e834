/**
 * A server as a process of its own, so that its end closes its channels as the end of any process
 * does. It runs each request as the request's `X-Script` header says, answers 421 to requests for
 * another instance, and writes a line to standard output for each thing that it does.
 *
 * Parameters: HOST:PORT INSTANCE
 */
import { Buffer } from 'node:buffer';
import { createServer } from 'node:net';
import { setTimeout as pause } from 'node:timers/promises';

const [address = '', instance = ''] = process.argv.slice(2);
const [host, port] = address.split(':');
const born = Date.now();
const HEAD_END = '\r\n\r\n';
const KEEP_ALIVE_S = 30;
const PIECE_BYTES = 50_000;
const PIECE_MS = 10;
/** Time for which a request runs that crashes its server. */
const CRASH_MS = 20;

const say = text => process.stdout.write(`${text}\n`);

/** The parts of an answer's body, and the time between them; the same for the same request. */
export function partsOf(script, id) {
  const [, count, gap] = script.split(' ');
  const parts = [];
  for (let number = 1; number <= Number(count); number += 1) {
    parts.push(`id: ${number}\ndata: part ${number} of ${id}\n\n`);
  }
  return { parts, gap: Number(gap) };
}

function headOf(status, headers) {
  const lines = Object.entries(headers).map(
    ([name, value]) => `${name}: ${value}`,
  );
  return [`HTTP/1.1 ${status}`, ...lines, '', ''].join('\r\n');
}

/** Sends an answer that has no length and ends with its channel. */
async function answerUnframed(socket, request, id) {
  const script = request['x-script'];
  const { parts, gap } = partsOf(script, id);
  socket.write(
    headOf('200 OK', {
      'Sesamegrade-Request-Id': id,
      'Sesamegrade-Server-Stamp': `${instance}.${id}`,
      'Content-Type': script.startsWith('events')
        ? 'text/event-stream'
        : 'text/plain',
      Connection: 'close',
    }),
  );
  for (const [index, part] of parts.entries()) {
    if (socket.destroyed) {
      say(`dropped ${id} after ${index} parts`);
      return;
    }
    socket.write(part);
    say(`part ${index + 1} of ${id}`);
    await pause(gap);
  }
  socket.end();
  say(`done ${id}`);
}

/** Sends an answer with a length, as fast as a machine's link takes a few of them. */
async function answerLong(socket, length, id) {
  socket.write(
    headOf('200 OK', {
      'Sesamegrade-Request-Id': id,
      'Sesamegrade-Server-Stamp': `${instance}.${id}`,
      'Content-Length': length,
      'Keep-Alive': `timeout=${KEEP_ALIVE_S}`,
    }),
  );
  for (let sent = 0; sent < length; sent += PIECE_BYTES) {
    socket.write(Buffer.alloc(Math.min(PIECE_BYTES, length - sent), 'a'));
    await pause(PIECE_MS);
  }
  say(`done ${id}`);
}

function answerWhole(socket, status, headers, content) {
  socket.write(
    headOf(status, {
      ...headers,
      'Content-Length': content.length,
      'Keep-Alive': `timeout=${KEEP_ALIVE_S}`,
    }) + content,
  );
}

async function serve(socket, method, path, request) {
  const id = request['sesamegrade-request-id'] ?? '';
  const common = { 'Sesamegrade-Request-Id': id };
  if (path === '/report') {
    const report = { stage: 'hybrid', queued: 0, active: 0, born };
    answerWhole(
      socket,
      '200 OK',
      { ...common, 'Content-Type': 'application/json' },
      JSON.stringify(report),
    );
    return;
  }
  const expected = request['sesamegrade-expect-instance'];
  if (expected !== undefined && expected !== instance) {
    say(`misdirected ${id}`);
    answerWhole(
      socket,
      '421 Misdirected Request',
      { ...common, 'Sesamegrade-Instance-Id': instance },
      '',
    );
    return;
  }
  say(`run ${id}`);
  const script = request['x-script'] ?? 'plain 1 0';
  if (script === 'crash') {
    await pause(CRASH_MS);
    process.kill(process.pid, 'SIGKILL');
    return;
  }
  if (script.startsWith('long')) {
    await answerLong(socket, Number(script.split(' ')[1]), id);
    return;
  }
  if (!script.startsWith('plain')) {
    await answerUnframed(socket, request, id);
    return;
  }
  const { parts, gap } = partsOf(script, id);
  await pause(gap);
  const stamp = { 'Sesamegrade-Server-Stamp': `${instance}.${id}` };
  answerWhole(socket, '200 OK', { ...common, ...stamp }, parts.join(''));
  say(`done ${id}`);
}

function accept(socket) {
  let received = '';
  let turn = Promise.resolve();
  socket.on('error', () => undefined);
  socket.on('data', bytes => {
    received += bytes.toString('latin1');
    for (;;) {
      const headEnd = received.indexOf(HEAD_END);
      if (headEnd < 0) {
        return;
      }
      const [line, ...lines] = received.slice(0, headEnd).split('\r\n');
      const headers = Object.fromEntries(
        lines.map(text => {
          const colon = text.indexOf(':');
          return [
            text.slice(0, colon).toLowerCase(),
            text.slice(colon + 1).trim(),
          ];
        }),
      );
      const length = Number(headers['content-length'] ?? 0);
      const end = headEnd + HEAD_END.length + length;
      if (received.length < end) {
        return;
      }
      received = received.slice(end);
      const [method, path] = line.split(' ');
      turn = turn.then(() => serve(socket, method, path, headers));
    }
  });
}

if (address !== '') {
  createServer(accept).listen(Number(port), host, () => {
    say(`ready ${born}`);
  });
}
