/** Carries an answer in one piece, so that a cut one never looks whole. */
import { failureReasonOf, ResponseRelay } from './response-relay';
import type { RelayResult, RelayTask } from './response-relay';

/** Headers that belong to one connection, or that the router sets itself. */
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

/** A whole answer, as recorded for repeats of an order. */
export interface CompleteResponse {
  readonly status: number;
  readonly headers: Readonly<Record<string, string | string[]>>;
  readonly body: Buffer;
}

export interface BufferedRelayOptions {
  /** Largest answer that is kept in memory. */
  readonly maxResponseBytes: number;
  /** Called with each whole answer before the caller gets it. */
  readonly onResponse: (task: RelayTask, answer: CompleteResponse) => void;
}

type CollectedBody =
  | { readonly kind: 'whole'; readonly body: Buffer }
  | { readonly kind: 'too-large' };

export class BufferedRelay extends ResponseRelay {
  readonly #answerBytes: number;
  readonly #onAnswer: (task: RelayTask, answer: CompleteResponse) => void;

  constructor(options: BufferedRelayOptions) {
    super();
    this.#answerBytes = options.maxResponseBytes;
    this.#onAnswer = options.onResponse;
  }

  override async forward(task: RelayTask): Promise<RelayResult> {
    const { response, exchange } = task;
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
    this.#onAnswer(task, { status: response.statusCode, headers, body });
    task.onDelivered();
    if (!exchange.callerResponse.isDisconnected) {
      const whole = { status: response.statusCode, headers, body };
      sendCompleteResponse(exchange.callerResponse, whole, {
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
      if (size > this.#answerBytes) {
        return { kind: 'too-large' };
      }
      parts.push(part);
    }
    return { kind: 'whole', body: Buffer.concat(parts) };
  }
}

/** Gives a caller a whole answer. */
export function sendCompleteResponse(
  answer: RelayTask['exchange']['callerResponse'],
  whole: CompleteResponse,
  extra: Readonly<Record<string, string>>,
): void {
  answer.begin(whole.status, {
    ...whole.headers,
    ...extra,
    'content-length': String(whole.body.length),
  });
  answer.end(whole.body);
}

function forwardedHeaders(
  headers: Readonly<Record<string, string | string[] | undefined>>,
): Record<string, string | string[]> {
  const kept: Record<string, string | string[]> = {};
  for (const [name, value] of Object.entries(headers)) {
    if (value !== undefined && !NOT_FORWARDED.has(name)) {
      kept[name] = value;
    }
  }
  return kept;
}
