/** Event streams that an endpoint breaks off at any byte, in any framing. */
import type { Socket } from 'node:net';

import type { Random } from '@sesamegrade/core/random/random';
import {
  chunk,
  event,
  LAST_CHUNK,
  responseHead,
  streamHead,
} from './scripted-server';
import type { ScriptedRequest } from './scripted-server';

export const STREAM_FRAMINGS = [
  'length',
  'chunked',
  'chunked-close',
  'connection',
] as const;
export type StreamFraming = (typeof STREAM_FRAMINGS)[number];

/** How the endpoint ends the connection. */
export type ConnectionEnding = 'close' | 'reset';

export interface StreamCut {
  /** Number of bytes that the endpoint sends. */
  readonly bytes: number;
  readonly ending: ConnectionEnding;
}

/** The bytes of a whole response with the given body. */
export function streamBytes(
  request: ScriptedRequest,
  framing: StreamFraming,
  body: string,
  headers: readonly string[] = [],
): string {
  switch (framing) {
    case 'length':
      return (
        responseHead(request, [...headers, `Content-Length: ${body.length}`]) +
        body
      );
    case 'chunked':
    case 'chunked-close': {
      const extra =
        framing === 'chunked' ? headers : [...headers, 'Connection: close'];
      const middle = Math.floor(body.length / 2);
      const chunks = [body.slice(0, middle), body.slice(middle)]
        .filter(part => part !== '')
        .map(part => chunk(part));
      return streamHead(request, extra) + chunks.join('') + LAST_CHUNK;
    }
    case 'connection':
      return responseHead(request, headers) + body;
  }
}

/** Sends a response, or its first bytes, and ends the connection where the framing or the cut says so. */
export function sendStream(
  socket: Socket,
  bytes: string,
  framing: StreamFraming,
  cut?: StreamCut,
): void {
  if (cut && cut.bytes < bytes.length) {
    socket.write(bytes.slice(0, cut.bytes));
  } else {
    socket.write(bytes);
    if (framing !== 'connection') {
      return;
    }
  }
  setImmediate(() => {
    if (cut?.ending === 'reset') {
      socket.resetAndDestroy();
    } else {
      socket.end();
    }
  });
}

/** Sends the events after the requested one; breaks off the given share of the responses. */
export function sendRandomStream(
  request: ScriptedRequest,
  socket: Socket,
  events: readonly string[],
  random: Random,
  brokenShare: number,
  headers: readonly string[] = [],
): void {
  const last = Number(request.headers.get('last-event-id') ?? 0);
  const framing = random.pick(STREAM_FRAMINGS);
  const body = events
    .map((text, index) => event(index + 1, text))
    .slice(last)
    .join('');
  const bytes = streamBytes(request, framing, body, headers);
  const cut =
    random.fraction() < brokenShare
      ? randomCut(bytes, framing, random)
      : undefined;
  sendStream(socket, bytes, framing, cut);
}

/** Sends the events after the requested one at an interval, until the connection is closed. */
export function sendPacedStream(
  request: ScriptedRequest,
  socket: Socket,
  events: readonly string[],
  intervalMs: number,
  onEnd: () => void = () => undefined,
): void {
  let next = Number(request.headers.get('last-event-id') ?? 0);
  socket.write(streamHead(request));
  const timer = setInterval(() => {
    const text = events[next];
    if (socket.destroyed || text === undefined) {
      clearInterval(timer);
      if (!socket.destroyed) {
        onEnd();
      }
      socket.write(LAST_CHUNK);
      return;
    }
    next += 1;
    socket.write(chunk(event(next, text)));
  }, intervalMs);
}

/** A regular close between two events would be the end of a stream without length and chunks. */
function randomCut(
  bytes: string,
  framing: StreamFraming,
  random: Random,
): StreamCut {
  const length = random.integer(0, bytes.length);
  const mayBeEnd =
    framing === 'connection' && bytes.slice(0, length).endsWith('\n');
  const ending = random.pick(['close', 'reset'] as const);
  return { bytes: length, ending: mayBeEnd ? 'reset' : ending };
}

/** Sends events without length and without end, as fast as they are read. */
export function sendEndlessStream(
  request: ScriptedRequest,
  socket: Socket,
  headers: readonly string[] = [],
): void {
  const block = event(1, 'x'.repeat(16_000));
  const send = () => {
    while (!socket.destroyed && socket.write(block));
  };
  socket.on('drain', send);
  socket.write(responseHead(request, headers));
  send();
}
