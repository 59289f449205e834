/** Builds raw responses to input that the HTTP parser rejected. */
import { STATUS_CODES } from 'node:http';

import { refuseUnaccepted } from '@sesamegrade/core/requests/outcome';
import { newRequestId } from './request-parser';
import { problemOf } from './problem';

interface ParserFailure {
  readonly status: number;
  readonly detail: string;
}

const MALFORMED: ParserFailure = {
  status: 400,
  detail: 'this is not valid HTTP',
};

/** Responses by the error code of Node's HTTP parser. */
const PARSER_FAILURES: Readonly<Record<string, ParserFailure>> = {
  HPE_HEADER_OVERFLOW: { status: 431, detail: 'the header is too large' },
  ERR_HTTP_REQUEST_TIMEOUT: {
    status: 408,
    detail: 'the request did not arrive in time',
  },
};

/** Returns a complete HTTP response with a problem document, as text for the socket. */
export function rawRefusal(code: string): string {
  const { status, detail } = PARSER_FAILURES[code] ?? MALFORMED;
  const refusal = refuseUnaccepted({ kind: 'malformed-request', detail });
  const { document, headers } = problemOf(refusal, newRequestId());
  const body = JSON.stringify({ ...document, status });
  const lines = [
    `HTTP/1.1 ${status} ${STATUS_CODES[status] ?? ''}`,
    ...Object.entries(headers).map(([name, value]) => `${name}: ${value}`),
    `content-length: ${Buffer.byteLength(body)}`,
    'connection: close',
  ];
  return `${lines.join('\r\n')}\r\n\r\n${body}`;
}
