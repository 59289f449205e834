/**
 * Relays one attempt of a request with a whole response: buffered, so that the
 * request can still be retried, or passed on as it arrives once it is too large.
 */
import type { AttemptResult } from '@sesamegrade/core/forwarding/attempt-result';
import { ResponseSink } from '../endpoints/attempt';
import type { ResponseHead } from '../endpoints/endpoint-protocol';
import type {
  RelayedAttempt,
  ResponseRelay,
  ResponseRelayOptions,
} from './response-relay';

/** Size above which a response is passed on before it is complete. */
const MAX_BUFFERED_BYTES = 1_048_576;

export class WholeResponseSink extends ResponseSink {
  readonly #relay: ResponseRelay;
  readonly #options: ResponseRelayOptions;
  readonly #attempt: RelayedAttempt;
  #chunks: Buffer[] = [];
  #bufferedBytes = 0;
  #isPassedOn = false;
  #head: ResponseHead | undefined;

  constructor(
    relay: ResponseRelay,
    options: ResponseRelayOptions,
    attempt: RelayedAttempt,
  ) {
    super();
    this.#relay = relay;
    this.#options = options;
    this.#attempt = attempt;
  }

  override get heldBytes(): number {
    return this.#bufferedBytes;
  }

  override onHead(head: ResponseHead): void {
    if (this.#options.exchange.hasResponseStarted) {
      this.#attempt.abort({ kind: 'broken', breakage: 'malformed' });
      return;
    }
    this.#head = head;
  }

  override onData(chunk: Buffer): boolean {
    if (this.#isPassedOn) {
      return this.#relay.write(chunk, this.#attempt.resume);
    }
    this.#chunks.push(chunk);
    this.#bufferedBytes += chunk.length;
    return this.#bufferedBytes <= MAX_BUFFERED_BYTES || this.#passOn();
  }

  override onComplete(head: ResponseHead): AttemptResult {
    const hasBody = this.#options.exchange.method !== 'HEAD';
    return head.framing === 'connection' && hasBody
      ? { kind: 'unproven-end' }
      : this.finish(head);
  }

  override finish(head: ResponseHead): AttemptResult {
    if (!this.#isPassedOn) {
      this.#relay.buffer({ head, body: this.#takeBuffered() });
      return { kind: 'answered', status: head.status };
    }
    this.#options.exchange.end();
    return { kind: 'delivered', status: head.status };
  }

  override onMemoryFull(): boolean {
    return this.#isPassedOn || this.#passOn();
  }

  #passOn(): boolean {
    if (!this.#attempt.takeOver()) {
      return true;
    }
    this.#isPassedOn = true;
    if (this.#head) {
      this.#options.exchange.startResponse(this.#head);
    }
    return this.#relay.write(this.#takeBuffered(), this.#attempt.resume);
  }

  #takeBuffered(): Buffer {
    const body = Buffer.concat(this.#chunks);
    this.#chunks = [];
    this.#bufferedBytes = 0;
    return body;
  }
}
