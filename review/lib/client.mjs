/** Stand-in of a client: sends one request on a channel and records the bytes and the end of the answer. */
import { Buffer } from 'node:buffer';
import { connect } from 'node:net';

/**
 * Resolves with the answer: `status`, `headers`, `body`, how its end was marked (`framing`), whether
 * it `looksComplete` by HTTP/1.1, and how the channel ended (`end`: 'closed', 'reset', 'open' or 'timeout').
 * `onBytes(socket, total)` is called for each read.
 */
export function send(
  { host, port },
  { method = 'POST', target, hostName, headers = {}, body = '' },
  { limitMs = 30_000, onBytes } = {},
) {
  return new Promise(resolve => {
    const chunks = [];
    let total = 0;
    let end = 'open';
    const socket = connect({ host, port, noDelay: true, allowHalfOpen: true });
    const timer = setTimeout(() => {
      finish('timeout');
    }, limitMs);
    const finish = how => {
      if (end !== 'open') {
        return;
      }
      end = how;
      globalThis.clearTimeout(timer);
      socket.destroy();
      resolve({ ...readAnswer(Buffer.concat(chunks), end), end });
    };
    socket.on('connect', () => {
      const lines = Object.entries({
        Host: hostName,
        ...headers,
        'Content-Length': Buffer.byteLength(body),
      }).map(([name, value]) => `${name}: ${value}`);
      socket.write(
        `${method} ${target} HTTP/1.1\r\n${lines.join('\r\n')}\r\n\r\n${body}`,
      );
    });
    socket.on('data', bytes => {
      chunks.push(bytes);
      total += bytes.length;
      onBytes?.(socket, total);
      // A framed answer is complete before its channel ends; only small ones are checked at each read.
      if (total < 65_536) {
        const answer = readAnswer(Buffer.concat(chunks), 'open');
        if (answer.looksComplete) {
          finish('complete');
        }
      }
    });
    socket.on('end', () => {
      // Node.js reports a reset that comes with the last bytes as an end; a write of no bytes then fails.
      socket.write(Buffer.alloc(0), error => {
        finish(error ? 'reset' : 'closed');
      });
    });
    socket.on('error', () => {
      finish('reset');
    });
    socket.on('close', () => {
      finish('closed');
    });
  });
}

function readAnswer(bytes, end) {
  const headEnd = bytes.indexOf('\r\n\r\n');
  if (headEnd < 0) {
    return {
      status: undefined,
      headers: new Map(),
      body: '',
      looksComplete: false,
    };
  }
  const [statusLine, ...lines] = bytes
    .subarray(0, headEnd)
    .toString('latin1')
    .split('\r\n');
  const status = Number(statusLine.split(' ')[1]);
  const headers = new Map(
    lines.map(line => {
      const colon = line.indexOf(':');
      return [line.slice(0, colon).toLowerCase(), line.slice(colon + 1).trim()];
    }),
  );
  const rest = bytes.subarray(headEnd + 4);
  const length = headers.get('content-length');
  if (length !== undefined) {
    return {
      status,
      headers,
      framing: 'length',
      body: rest,
      looksComplete: rest.length >= Number(length),
    };
  }
  if (headers.get('transfer-encoding') === 'chunked') {
    return { status, headers, framing: 'chunked', ...readChunks(rest) };
  }
  return {
    status,
    headers,
    framing: 'channel',
    body: rest,
    looksComplete: end === 'closed',
  };
}

function readChunks(bytes) {
  const parts = [];
  let at = 0;
  for (;;) {
    const lineEnd = bytes.indexOf('\r\n', at);
    if (lineEnd < 0) {
      return { body: Buffer.concat(parts), looksComplete: false };
    }
    const size = Number.parseInt(bytes.subarray(at, lineEnd).toString(), 16);
    const start = lineEnd + 2;
    if (bytes.length < start + size + 2) {
      return { body: Buffer.concat(parts), looksComplete: false };
    }
    if (size === 0) {
      return { body: Buffer.concat(parts), looksComplete: true };
    }
    parts.push(bytes.subarray(start, start + size));
    at = start + size + 2;
  }
}

/** Ids of the whole events of a stream. */
export function eventIds(body) {
  return String(body)
    .split('\n\n')
    .slice(0, -1)
    .flatMap(text => /^id: (\d+)$/mu.exec(text)?.[1] ?? [])
    .map(Number);
}
