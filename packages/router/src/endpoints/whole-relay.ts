/** Carries an answer in one piece, so that a cut one never looks whole. */
import { breakageOf, Relay } from './relay';
import type { RelayEnd, RelayTask } from './relay';

/** Headers that belong to one connection, or that the router sets itself. */
const DROPPED = new Set([
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
export interface WholeAnswer {
  readonly status: number;
  readonly headers: Readonly<Record<string, string | string[]>>;
  readonly body: Buffer;
}

export interface WholeRelayOptions {
  /** Largest answer that is kept in memory. */
  readonly answerBytes: number;
  /** Called with each whole answer before the caller gets it. */
  readonly onAnswer: (task: RelayTask, answer: WholeAnswer) => void;
}

type Collected =
  | { readonly kind: 'whole'; readonly body: Buffer }
  | { readonly kind: 'too-large' };

export class WholeRelay extends Relay {
  readonly #answerBytes: number;
  readonly #onAnswer: (task: RelayTask, answer: WholeAnswer) => void;

  constructor(options: WholeRelayOptions) {
    super();
    this.#answerBytes = options.answerBytes;
    this.#onAnswer = options.onAnswer;
  }

  override async carry(task: RelayTask): Promise<RelayEnd> {
    const { response, exchange } = task;
    let collected: Collected;
    try {
      collected = await this.#collect(response.body);
    } catch (error) {
      return { kind: 'broken', breakage: breakageOf(error), resumable: false };
    }
    if (collected.kind === 'too-large') {
      return { kind: 'broken', breakage: 'reset', resumable: false };
    }
    const { body } = collected;
    const headers = keptHeaders(response.headers);
    this.#onAnswer(task, { status: response.statusCode, headers, body });
    task.onDelivered();
    if (!exchange.answer.gone) {
      const whole = { status: response.statusCode, headers, body };
      sendWhole(exchange.answer, whole, { 'x-chat-place': task.endpoint });
    }
    return { kind: 'finished' };
  }

  async #collect(body: AsyncIterable<Uint8Array>): Promise<Collected> {
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
export function sendWhole(
  answer: RelayTask['exchange']['answer'],
  whole: WholeAnswer,
  extra: Readonly<Record<string, string>>,
): void {
  answer.begin(whole.status, {
    ...whole.headers,
    ...extra,
    'content-length': String(whole.body.length),
  });
  answer.end(whole.body);
}

function keptHeaders(
  headers: Readonly<Record<string, string | string[] | undefined>>,
): Record<string, string | string[]> {
  const kept: Record<string, string | string[]> = {};
  for (const [name, value] of Object.entries(headers)) {
    if (value !== undefined && !DROPPED.has(name)) {
      kept[name] = value;
    }
  }
  return kept;
}
