/** Responses in any framing, after interim ones, that an endpoint breaks off at any byte. */
import type { Socket } from 'node:net';

import { completeResponse } from './scripted-server';
import type { ScriptedRequest } from './scripted-server';

export const RESPONSE_FRAMINGS = [
  'length',
  'length-close',
  'chunked',
  'trailers',
  'connection',
] as const;
export type ResponseFraming = (typeof RESPONSE_FRAMINGS)[number];

export interface ResponseShape {
  readonly status: number;
  readonly framing: ResponseFraming;
  /** Statuses of the interim responses before the final one. */
  readonly interim: readonly number[];
}

/** How the endpoint ends the connection; `late-close` follows a silence. */
export const CUT_ENDINGS = ['close', 'reset', 'late-close'] as const;
export type CutEnding = (typeof CUT_ENDINGS)[number];

export interface ResponseCut {
  /** Number of bytes that the endpoint sends. */
  readonly bytes: number;
  readonly ending: CutEnding;
  /** Whether a complete response to another request follows these bytes. */
  readonly isFollowed: boolean;
}

/** The bytes of a response and what they consist of. */
export interface ResponseLayout {
  readonly bytes: string;
  /** Where the blank line after the head of the final response ends. */
  readonly headEnd: number;
  /** Where the parts of the body lie: the first byte, and the one after the last. */
  readonly parts: readonly (readonly [start: number, end: number])[];
}

/** Body of the response to another request that follows a cut one. */
export const FOREIGN_BODY = 'body of another request';
const FOREIGN_ID = 'another-request';

/** Time for which the endpoint is silent before it closes the connection. */
const SILENCE_MS = 30;

/** Whether a response with the status, or to the method, has no body. */
export function isBodiless(method: string, status: number): boolean {
  return method === 'HEAD' || status === 204 || status === 304;
}

/** Lays out a whole response with the given body. */
export function layOut(
  request: ScriptedRequest,
  { status, framing, interim }: ResponseShape,
  body: string,
): ResponseLayout {
  const id = request.headers.get('sesamegrade-request-id') ?? '';
  const before = interim
    .map(code => `HTTP/1.1 ${code} Interim\r\nLink: </style>\r\n\r\n`)
    .join('');
  const head = [
    `HTTP/1.1 ${status} Answer`,
    `Sesamegrade-Request-Id: ${id}`,
    `Sesamegrade-Server-Stamp: stamp-of-${id}`,
    'Content-Type: text/event-stream',
    ...framingHeaders(framing, status, body),
    'X-Last: end',
    '',
    '',
  ].join('\r\n');
  let bytes = before + head;
  const parts: [number, number][] = [];
  const add = (text: string) => {
    parts.push([bytes.length, bytes.length + text.length]);
    bytes += text;
  };
  if (isBodiless(request.method, status)) {
    // Nothing follows the head.
  } else if (framing === 'chunked' || framing === 'trailers') {
    const middle = Math.floor(body.length / 2);
    for (const part of [body.slice(0, middle), body.slice(middle)]) {
      if (part !== '') {
        bytes += `${part.length.toString(16)}\r\n`;
        add(part);
        bytes += '\r\n';
      }
    }
    bytes += `0\r\n${framing === 'trailers' ? 'X-Sum: 12\r\n' : ''}\r\n`;
  } else {
    add(body);
  }
  const headEnd = before.length + head.length;
  return { bytes, headEnd, parts };
}

function framingHeaders(
  framing: ResponseFraming,
  status: number,
  body: string,
): string[] {
  if (status === 204 || status === 304) {
    return [];
  }
  switch (framing) {
    case 'length':
      return [`Content-Length: ${body.length}`];
    case 'length-close':
      return ['Connection: close', `Content-Length: ${body.length}`];
    case 'chunked':
      return ['Transfer-Encoding: chunked'];
    case 'trailers':
      return ['Trailer: X-Sum', 'Transfer-Encoding: chunked'];
    case 'connection':
      return [];
  }
}

/** The part of the body among the first bytes of a response. */
export function bodyWithin(
  { bytes, parts }: ResponseLayout,
  count: number,
): string {
  return parts
    .map(([start, end]) => bytes.slice(start, Math.min(end, count)))
    .join('');
}

/**
 * Whether a response that follows a cut there can be told from the rest of the cut one:
 * bytes of a body may be any.
 */
export function canBeFollowed(
  { bytes, parts }: ResponseLayout,
  framing: ResponseFraming,
  at: number,
): boolean {
  const isWithinBody = parts.some(([start, end]) => start <= at && at < end);
  const isUnframedEnd = framing === 'connection' && at === bytes.length;
  return !isWithinBody && !isUnframedEnd;
}

/** Positions at both sides of each line end, and within each field and chunk size. */
export function edgesOf({ bytes, parts }: ResponseLayout): number[] {
  const edges = new Set<number>([0, bytes.length]);
  const bodyAt = (at: number) =>
    parts.some(([start, end]) => start < at && at < end);
  for (let at = 0; at < bytes.length; at += 1) {
    if (bodyAt(at)) {
      continue;
    }
    if (bytes[at] === '\r') {
      [at - 1, at, at + 1, at + 2].forEach(each => edges.add(each));
    } else if (bytes[at] === ':') {
      [at - 1, at, at + 1, at + 3].forEach(each => edges.add(each));
    }
  }
  for (const [start, end] of parts) {
    edges.add(Math.floor((start + end) / 2)).add(end);
  }
  return [...edges].filter(at => at >= 0).sort((a, b) => a - b);
}

/** Sends a response, or its first bytes, and ends the connection where the framing or the cut says so. */
export function sendCutResponse(
  socket: Socket,
  { bytes }: ResponseLayout,
  framing: ResponseFraming,
  cut?: ResponseCut,
): void {
  const foreign = completeResponse(
    {
      method: 'POST',
      target: '/',
      headers: new Map([['sesamegrade-request-id', FOREIGN_ID]]),
      body: '',
      connection: 0,
    },
    FOREIGN_BODY,
  );
  socket.write(
    bytes.slice(0, cut?.bytes) + (cut?.isFollowed === true ? foreign : ''),
  );
  const isKept = framing !== 'connection' && framing !== 'length-close';
  if (!cut && isKept) {
    return;
  }
  if (cut?.ending === 'late-close') {
    setTimeout(() => socket.end(), SILENCE_MS);
    return;
  }
  setImmediate(() => {
    if (cut?.ending === 'reset') {
      socket.resetAndDestroy();
    } else {
      socket.end();
    }
  });
}
