/** Forwards a response in one piece, so that a truncated one never looks complete to the caller. */
import { failureReasonOf, ResponseRelay } from './response-relay';
import type { EndpointResponse } from './endpoint-client';
import type { RelayResult, RelayTask } from './response-relay';

/** Hop-by-hop headers, and headers that the router sets or reads itself. */
const NOT_FORWARDED = new Set([
  'connection',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
  'content-length',
  'date',
  'x-request-id',
  'x-engine-running',
  'x-engine-waiting',
  'x-engine-capacity',
]);

const STATUS_NO_CONTENT = 204;
const STATUS_NOT_MODIFIED = 304;

/** A complete response, as recorded for repeated calls of an order. */
export interface CompleteResponse {
  readonly status: number;
  readonly headers: Readonly<Record<string, string | string[]>>;
  readonly body: Buffer;
}

export interface BufferedRelayOptions {
  /** Maximum size of a body that is buffered. */
  readonly maxResponseBytes: number;
  /** Called with each complete response before it is sent to the caller. */
  readonly onResponse: (task: RelayTask, response: CompleteResponse) => void;
}

type CollectedBody =
  | { readonly kind: 'complete'; readonly body: Buffer }
  | { readonly kind: 'too-large' };

export class BufferedRelay extends ResponseRelay {
  readonly #maxResponseBytes: number;
  readonly #onResponse: (task: RelayTask, response: CompleteResponse) => void;

  constructor(options: BufferedRelayOptions) {
    super();
    this.#maxResponseBytes = options.maxResponseBytes;
    this.#onResponse = options.onResponse;
  }

  override async forward(task: RelayTask): Promise<RelayResult> {
    const { response, exchange } = task;
    if (!hasFramedBody(response)) {
      return { kind: 'broken', breakage: 'reset', resumable: false };
    }
    let collected: CollectedBody;
    try {
      collected = await this.#collect(response.body);
    } catch (error) {
      return {
        kind: 'broken',
        breakage: failureReasonOf(error),
        resumable: false,
      };
    }
    if (collected.kind === 'too-large') {
      return { kind: 'broken', breakage: 'reset', resumable: false };
    }
    const { body } = collected;
    const headers = forwardedHeaders(response.headers);
    this.#onResponse(task, { status: response.statusCode, headers, body });
    task.onDelivered();
    if (!exchange.callerResponse.isDisconnected) {
      const complete = { status: response.statusCode, headers, body };
      sendCompleteResponse(exchange.callerResponse, complete, {
        'x-chat-place': task.endpoint,
      });
    }
    return { kind: 'finished' };
  }

  async #collect(body: AsyncIterable<Uint8Array>): Promise<CollectedBody> {
    const parts: Uint8Array[] = [];
    let size = 0;
    for await (const part of body) {
      size += part.length;
      if (size > this.#maxResponseBytes) {
        return { kind: 'too-large' };
      }
      parts.push(part);
    }
    return { kind: 'complete', body: Buffer.concat(parts) };
  }
}

/** Sends a complete response to the caller. */
export function sendCompleteResponse(
  callerResponse: RelayTask['exchange']['callerResponse'],
  response: CompleteResponse,
  extra: Readonly<Record<string, string>>,
): void {
  callerResponse.begin(response.status, {
    ...response.headers,
    ...extra,
    'content-length': String(response.body.length),
  });
  callerResponse.end(response.body);
}

/**
 * Whether the end of the body is marked by more than the end of the connection,
 * which is also what a crash looks like.
 */
function hasFramedBody({ statusCode, headers }: EndpointResponse): boolean {
  return (
    statusCode === STATUS_NO_CONTENT ||
    statusCode === STATUS_NOT_MODIFIED ||
    headers['content-length'] !== undefined ||
    headers['transfer-encoding'] === 'chunked'
  );
}

function forwardedHeaders(
  headers: Readonly<Record<string, string | string[] | undefined>>,
): Record<string, string | string[]> {
  const forwarded: Record<string, string | string[]> = {};
  for (const [name, value] of Object.entries(headers)) {
    if (value !== undefined && !NOT_FORWARDED.has(name)) {
      forwarded[name] = value;
    }
  }
  return forwarded;
}
