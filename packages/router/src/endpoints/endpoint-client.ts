/** Sends HTTP requests to endpoints and classifies failures by whether the request may have been sent. */
import { Agent } from 'undici';
import type { Dispatcher } from 'undici';

import type { Address } from '@sesamegrade/core/types/endpoint';
import type { Milliseconds } from '@sesamegrade/core/types/units';
import type { OutgoingCall } from '../dispatch/exchange';

/** A response whose body has not been read yet. */
export type EndpointResponse = Dispatcher.ResponseData;

/** Reason why there is no response. */
export type SendFailure =
  /** No connection was made, so no byte was sent. */
  | { readonly kind: 'not-sent' }
  /** The router cancelled the attempt itself. */
  | { readonly kind: 'aborted' }
  /** No response headers within the first-byte timeout. */
  | { readonly kind: 'slow-start' }
  /** Any other failure; the request may have been sent. */
  | { readonly kind: 'reset' };

export type SendResult =
  | { readonly kind: 'response'; readonly response: EndpointResponse }
  | { readonly kind: 'failed'; readonly failure: SendFailure };

export interface EndpointClientOptions {
  readonly connectTimeout: Milliseconds;
  readonly firstByteTimeout: Milliseconds;
  readonly stallTimeout: Milliseconds;
}

const CONNECT_ERROR_CODES = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'EHOSTDOWN',
  'UND_ERR_CONNECT_TIMEOUT',
]);

const KEEP_ALIVE_TIMEOUT_MS = 20_000;

export class EndpointClient {
  readonly #agent: Agent;

  constructor(options: EndpointClientOptions) {
    this.#agent = new Agent({
      connect: { timeout: options.connectTimeout },
      headersTimeout: options.firstByteTimeout,
      bodyTimeout: options.stallTimeout,
      keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
      pipelining: 1,
    });
  }

  async send(
    address: Address,
    call: OutgoingCall,
    signal: AbortSignal,
  ): Promise<SendResult> {
    try {
      const response = await this.#agent.request({
        origin: originOf(address),
        path: call.path,
        method: call.method,
        headers: call.headers,
        body: call.body ?? null,
        signal,
      });
      return { kind: 'response', response };
    } catch (error) {
      return { kind: 'failed', failure: failureOf(error, signal) };
    }
  }

  close(): Promise<void> {
    return this.#agent.destroy();
  }
}

function originOf({ host, port }: Address): string {
  const name = host.includes(':') ? `[${host}]` : host;
  return `http://${name}:${port}`;
}

function failureOf(error: unknown, signal: AbortSignal): SendFailure {
  if (signal.aborted) {
    return { kind: 'aborted' };
  }
  const code = errorCode(error);
  if (CONNECT_ERROR_CODES.has(code)) {
    return { kind: 'not-sent' };
  }
  if (code === 'UND_ERR_HEADERS_TIMEOUT') {
    return { kind: 'slow-start' };
  }
  return { kind: 'reset' };
}

/** Returns the error code of Node or undici; empty when there is none or the errors of an aggregate differ in kind. */
export function errorCode(error: unknown): string {
  if (!(error instanceof Error)) {
    return '';
  }
  if (error instanceof AggregateError) {
    const codes = error.errors.map(errorCode);
    const isConnectFailure = codes.every(code => CONNECT_ERROR_CODES.has(code));
    return isConnectFailure ? (codes[0] ?? '') : '';
  }
  return 'code' in error && typeof error.code === 'string' ? error.code : '';
}
