/**
 * A client that reads its answer from the socket, so that it can tell a reset from a regular end.
 */
import { Buffer } from 'node:buffer';
import { connect } from 'node:net';

export const HOST = 'ficu95.example';
export const KEY = 'n2ctnfzs989anu6wsjnb';
/** The key of a tenant that sends more at times. */
export const HOT_KEY = 'anfqasnmgkcuyj8pjbvk';

const HEAD_END = '\r\n\r\n';

/**
 * Sends one request on a channel of its own. Resolves with the status, headers and body, whether
 * the answer looks complete, and how the channel ended. An answer without a length and chunks
 * looks complete if its channel ends without a reset.
 */
export function call({ to, method = 'POST', path, id, headers = {}, body }) {
  return new Promise(resolve => {
    const socket = connect({ ...to, allowHalfOpen: true });
    let received = Buffer.alloc(0);
    let end = 'open';
    const finish = how => {
      if (end !== 'open') {
        return;
      }
      end = how;
      socket.destroy();
      resolve({ ...parse(received, how), end: how });
    };
    socket.on('data', bytes => {
      received = Buffer.concat([received, bytes]);
      if (parse(received, 'open').isComplete) {
        finish('answered');
      }
    });
    socket.on('end', () => {
      // A reset that comes with the last bytes is reported as an end; a write then fails.
      socket.write('', error => finish(error ? 'reset' : 'closed'));
    });
    socket.on('error', () => finish('reset'));
    const content = body === undefined ? '' : String(body);
    const lines = Object.entries({
      Host: HOST,
      'Sesamegrade-Request-Id': id,
      Authorization: `Bearer ${KEY}`,
      ...(method === 'GET' ? {} : { 'Content-Length': content.length }),
      ...headers,
    }).map(([name, value]) => `${name}: ${value}`);
    socket.write(
      [`${method} ${path} HTTP/1.1`, ...lines, '', content].join('\r\n'),
    );
  });
}

function parse(received, end) {
  const text = received.toString('latin1');
  const headEnd = text.indexOf(HEAD_END);
  if (headEnd < 0) {
    return { status: undefined, headers: {}, body: '', isComplete: false };
  }
  const [statusLine, ...lines] = text.slice(0, headEnd).split('\r\n');
  const headers = Object.fromEntries(
    lines.map(line => {
      const colon = line.indexOf(':');
      return [line.slice(0, colon).toLowerCase(), line.slice(colon + 1).trim()];
    }),
  );
  const rest = text.slice(headEnd + HEAD_END.length);
  const status = Number(statusLine.split(' ')[1]);
  if (headers['transfer-encoding'] === 'chunked') {
    return { status, headers, framing: 'chunks', ...unchunk(rest) };
  }
  if (headers['content-length'] !== undefined) {
    const length = Number(headers['content-length']);
    const isComplete = rest.length >= length;
    return { status, headers, framing: 'length', body: rest, isComplete };
  }
  const isComplete = end === 'closed';
  return { status, headers, framing: 'none', body: rest, isComplete };
}

function unchunk(text) {
  let body = '';
  let at = 0;
  for (;;) {
    const lineEnd = text.indexOf('\r\n', at);
    if (lineEnd < 0) {
      return { body, isComplete: false };
    }
    const size = Number.parseInt(text.slice(at, lineEnd), 16);
    const begin = lineEnd + 2;
    if (text.length < begin + size + 2) {
      return { body: body + text.slice(begin), isComplete: false };
    }
    if (size === 0) {
      return { body, isComplete: true };
    }
    body += text.slice(begin, begin + size);
    at = begin + size + 2;
  }
}
