/** Runs one HTTP request to the platform and classifies whether a failed one may have had an effect. */
import type { Dispatcher } from 'undici';
import { errors } from 'undici';

import type { Milliseconds } from '@sesamegrade/core/types/units';

/** Result of a request to the platform. */
export type HttpExchangeResult =
  | {
      readonly kind: 'response';
      readonly status: number;
      readonly body: Uint8Array;
      readonly tag: string;
    }
  | { readonly kind: 'rate-limited'; readonly retryAfterMs: number }
  /** Certainly without effect: not connected, or refused by the service. */
  | { readonly kind: 'unavailable' }
  /** The request may have been sent and there is no usable response. */
  | { readonly kind: 'unknown' };

export interface HttpExchangeRequest {
  readonly method: 'GET' | 'PUT' | 'POST';
  readonly path: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string | Uint8Array;
  readonly timeout: Milliseconds;
}

/** Used when a 429 response has no valid `Retry-After`. */
const DEFAULT_RETRY_AFTER_MS = 1000;

const TOO_MANY_REQUESTS = 429;
const SERVICE_UNAVAILABLE = 503;
const SERVER_ERROR = 500;
const REQUEST_TIMEOUT = 408;

/** Runs one request; failures are part of the result, so the promise never rejects. */
export async function runHttpExchange(
  dispatcher: Dispatcher,
  request: HttpExchangeRequest,
): Promise<HttpExchangeResult> {
  try {
    const response = await dispatcher.request({
      method: request.method,
      path: request.path,
      headers: { ...request.headers },
      body: request.body ?? null,
      headersTimeout: request.timeout,
      bodyTimeout: request.timeout,
      signal: AbortSignal.timeout(request.timeout),
    });
    const body = new Uint8Array(await response.body.arrayBuffer());
    return classifyResponse(response.statusCode, response.headers, body);
  } catch (error) {
    return isConnectFailure(error)
      ? { kind: 'unavailable' }
      : { kind: 'unknown' };
  }
}

function classifyResponse(
  status: number,
  headers: Dispatcher.ResponseData['headers'],
  body: Uint8Array,
): HttpExchangeResult {
  if (status === TOO_MANY_REQUESTS) {
    return { kind: 'rate-limited', retryAfterMs: retryAfter(headers) };
  }
  if (status === SERVICE_UNAVAILABLE) {
    return { kind: 'unavailable' };
  }
  if (status >= SERVER_ERROR || status === REQUEST_TIMEOUT) {
    return { kind: 'unknown' };
  }
  return { kind: 'response', status, body, tag: headerText(headers.etag) };
}

function retryAfter(headers: Dispatcher.ResponseData['headers']): number {
  const text = headerText(headers['retry-after']);
  const delaySeconds = text === '' ? Number.NaN : Number(text);
  return Number.isFinite(delaySeconds) && delaySeconds >= 0
    ? delaySeconds * 1000
    : DEFAULT_RETRY_AFTER_MS;
}

function headerText(value: string | string[] | undefined): string {
  return typeof value === 'string' ? value : '';
}

/**
 * Whether the error shows that no connection was made, so that nothing was sent.
 * The same error codes also occur on open connections, where they do not show
 * this; therefore the failing system call is checked as well.
 */
function isConnectFailure(error: unknown): boolean {
  if (error instanceof errors.ConnectTimeoutError) {
    return true;
  }
  if (error instanceof AggregateError) {
    return error.errors.length > 0 && error.errors.every(isConnectFailure);
  }
  return (
    error instanceof Error && 'syscall' in error && error.syscall === 'connect'
  );
}
