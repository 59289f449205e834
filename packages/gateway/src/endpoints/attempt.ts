/** One try to run a request at one endpoint; sorts what comes back by what it proves. */
import type { EndpointEntry } from '@sesamegrade/core/endpoints/endpoint-entry';
import type {
  AttemptFailure,
  AttemptRejection,
  AttemptResult,
} from '@sesamegrade/core/forwarding/attempt-result';
import type { RequestId } from '@sesamegrade/core/types/ids';
import type { Instant, Milliseconds } from '@sesamegrade/core/types/units';
import type { ChannelPool } from './channel-pool';
import type {
  ChannelEnd,
  ChannelRequest,
  EndpointChannel,
} from './endpoint-channel';
import type { AnswerHead, EndpointProtocol } from './endpoint-protocol';

/** Takes the answer of an attempt as it comes. */
export abstract class AnswerSink {
  /** Called once, with a head that is proven to belong to the request. */
  abstract head(head: AnswerHead): void;
  /** Returns false to pause the endpoint until `Attempt.resume`. */
  abstract data(chunk: Buffer): boolean;
  /** The answer is whole; returns how the attempt ended. */
  abstract whole(head: AnswerHead): AttemptResult;
}

export interface AttemptOptions {
  readonly entry: EndpointEntry;
  readonly requestId: RequestId;
  readonly request: ChannelRequest;
  readonly repeatable: boolean;
  /** Longest time for a new connection. */
  readonly connectTime: Milliseconds;
  readonly pool: ChannelPool;
  readonly protocol: EndpointProtocol;
  readonly sink: AnswerSink;
  readonly now: () => Instant;
  /** Called when the endpoint has said something of this request. */
  readonly onSign: () => void;
}

/** Statuses that declare that a request was declined for lack of room. */
const TOO_MANY = 429;
const UNAVAILABLE = 503;
const MISDIRECTED = 421;
const SUCCESS_FROM = 200;
const SUCCESS_TO = 299;

export class Attempt {
  readonly done: Promise<AttemptResult>;
  readonly #options: AttemptOptions;
  readonly #channel: EndpointChannel;
  readonly #isNewChannel: boolean;
  readonly #idleTime: Milliseconds | undefined;
  #resolve: (end: AttemptResult) => void = () => undefined;
  #settled = false;
  #sent = false;
  #head: AnswerHead | undefined;
  #headAt: Instant | undefined;
  #isSinkOpen = false;

  constructor(options: AttemptOptions) {
    this.#options = options;
    const { entry, repeatable, pool, request } = options;
    this.done = new Promise(resolve => {
      this.#resolve = resolve;
    });
    this.#channel = pool.take(entry, repeatable, options.connectTime);
    this.#idleTime = this.#channel.idleTime(options.now());
    this.#isNewChannel = this.#channel.exchanges === 0;
    this.#channel.send(request, {
      sent: () => {
        this.#sent = true;
      },
      head: (status, headers) => {
        this.#headArrived(options.protocol.readAnswer(status, headers));
      },
      data: chunk => {
        options.onSign();
        return !this.#isSinkOpen || options.sink.data(chunk);
      },
      ended: end => {
        this.#ended(end);
      },
    });
  }

  /** Whether bytes of the request may have reached the endpoint. */
  get sent(): boolean {
    return this.#sent;
  }

  /** Whether the connection was opened for this attempt. */
  get isNewChannel(): boolean {
    return this.#isNewChannel;
  }

  /** How long the connection had not been used; undefined for a new one. */
  get idleTime(): Milliseconds | undefined {
    return this.#idleTime;
  }

  get answerHead(): AnswerHead | undefined {
    return this.#head;
  }

  /** When the answer began. */
  get answeredAt(): Instant | undefined {
    return this.#headAt;
  }

  resume(): void {
    this.#channel.resume();
  }

  /** Ends the attempt and its connection, so that the endpoint stops the work. */
  abort(end: AttemptResult): void {
    if (this.#settled) {
      return;
    }
    this.#channel.destroy();
    this.#settle(end);
  }

  #headArrived(head: AnswerHead): void {
    if (this.#settled || head.status < SUCCESS_FROM) {
      return;
    }
    this.#options.onSign();
    const breakage = this.#disproof(head);
    if (breakage) {
      this.abort({ kind: 'broken', breakage });
      return;
    }
    this.#head = head;
    this.#headAt = this.#options.now();
    if (!declineOf(head)) {
      this.#isSinkOpen = true;
      this.#options.sink.head(head);
    }
  }

  /** Returns why the head is no answer of the endpoint to this request. */
  #disproof(head: AnswerHead): AttemptFailure | undefined {
    const { requestId } = this.#options;
    if (head.requestId !== undefined && head.requestId !== requestId) {
      return 'foreign-answer';
    }
    const isSuccess = head.status >= SUCCESS_FROM && head.status <= SUCCESS_TO;
    if (isSuccess && (!head.hasReceipt || head.requestId === undefined)) {
      return 'unproven-answer';
    }
    return head.isEncoded ? 'unproven-answer' : undefined;
  }

  #ended(end: ChannelEnd): void {
    if (this.#settled) {
      return;
    }
    if (end.kind === 'not-connected') {
      this.#channel.destroy();
      this.#settle({ kind: 'not-connected' });
      return;
    }
    const head = this.#head;
    if (end.kind === 'broken' || !head) {
      if (!head && this.#idleTime !== undefined) {
        const { pool, entry } = this.#options;
        pool.brokeAfter(entry.service, this.#idleTime);
      }
      this.#channel.destroy();
      this.#settle({ kind: 'broken', breakage: breakageOf(end) });
      return;
    }
    this.#channel.rested(this.#options.now(), head.keepTime);
    this.#options.pool.give(this.#options.entry.id, this.#channel);
    const decline = declineOf(head);
    this.#settle(
      decline ? { kind: 'declined', decline } : this.#options.sink.whole(head),
    );
  }

  #settle(end: AttemptResult): void {
    this.#settled = true;
    this.#isSinkOpen = false;
    this.#resolve(end);
  }
}

/** Tells whether the endpoint proves with its answer that it ran nothing, and why. */
function declineOf(head: AnswerHead): AttemptRejection | undefined {
  if (head.status === MISDIRECTED) {
    return 'other-instance';
  }
  if (!head.notRun) {
    return undefined;
  }
  return head.status === UNAVAILABLE || head.status === TOO_MANY
    ? 'full'
    : 'invalid';
}

function breakageOf(end: ChannelEnd): AttemptFailure {
  const cause = end.kind === 'broken' ? end.cause : '';
  const isMalformed =
    cause.startsWith('HPE_') ||
    cause.startsWith('UND_ERR_RES') ||
    cause === 'UND_ERR_HEADERS_OVERFLOW';
  return isMalformed ? 'malformed' : 'reset';
}
