/** One try to run a request at one endpoint; sorts what comes back by what it proves. */
import type { EndpointEntry } from '@sesamegrade/core/endpoints/serving-endpoint';
import type {
  AttemptBreakage,
  AttemptDecline,
  AttemptEnd,
} from '@sesamegrade/core/forwarding/attempt-end';
import type { RequestId } from '@sesamegrade/core/types/ids';
import type { Instant, Milliseconds } from '@sesamegrade/core/types/units';
import type { ConnectionPool } from './connection-pool';
import type {
  ExchangeResult,
  EndpointRequest,
  EndpointConnection,
} from './endpoint-connection';
import type { ResponseHead, EndpointProtocol } from './endpoint-protocol';

/** Takes the answer of an attempt as it comes. */
export abstract class ResponseSink {
  /** Called once, with a head that is proven to belong to the request. */
  abstract onHead(head: ResponseHead): void;
  /** Returns false to pause the endpoint until `Attempt.resume`. */
  abstract onData(chunk: Buffer): boolean;
  /** The answer is whole; returns how the attempt ended. */
  abstract onComplete(head: ResponseHead): AttemptEnd;
}

export interface AttemptOptions {
  readonly entry: EndpointEntry;
  readonly requestId: RequestId;
  readonly request: EndpointRequest;
  readonly repeatable: boolean;
  /** Longest time for a new connection. */
  readonly connectTimeout: Milliseconds;
  readonly connectionPool: ConnectionPool;
  readonly protocol: EndpointProtocol;
  readonly sink: ResponseSink;
  readonly now: () => Instant;
  /** Called when the endpoint has said something of this request. */
  readonly onActivity: () => void;
}

/** Statuses that declare that a request was declined for lack of room. */
const TOO_MANY = 429;
const UNAVAILABLE = 503;
const MISDIRECTED = 421;
const SUCCESS_FROM = 200;
const SUCCESS_TO = 299;

export class Attempt {
  readonly done: Promise<AttemptEnd>;
  readonly #options: AttemptOptions;
  readonly #channel: EndpointConnection;
  readonly #isNewChannel: boolean;
  readonly #idleTime: Milliseconds | undefined;
  #resolve: (end: AttemptEnd) => void = () => undefined;
  #settled = false;
  #sent = false;
  #head: ResponseHead | undefined;
  #headAt: Instant | undefined;
  #isSinkOpen = false;

  constructor(options: AttemptOptions) {
    this.#options = options;
    const { entry, repeatable, connectionPool, request } = options;
    this.done = new Promise(resolve => {
      this.#resolve = resolve;
    });
    this.#channel = connectionPool.take(
      entry,
      repeatable,
      options.connectTimeout,
    );
    this.#idleTime = this.#channel.idleTime(options.now());
    this.#isNewChannel = this.#channel.exchangeCount === 0;
    this.#channel.send(request, {
      onSent: () => {
        this.#sent = true;
      },
      onHead: (status, headers) => {
        this.#headArrived(options.protocol.readResponse(status, headers));
      },
      onData: chunk => {
        options.onActivity();
        return !this.#isSinkOpen || options.sink.onData(chunk);
      },
      onEnd: end => {
        this.#ended(end);
      },
    });
  }

  /** Whether bytes of the request may have reached the endpoint. */
  get wasSent(): boolean {
    return this.#sent;
  }

  /** Whether the connection was opened for this attempt. */
  get isNewConnection(): boolean {
    return this.#isNewChannel;
  }

  /** How long the connection had not been used; undefined for a new one. */
  get idleTime(): Milliseconds | undefined {
    return this.#idleTime;
  }

  get responseHead(): ResponseHead | undefined {
    return this.#head;
  }

  /** When the answer began. */
  get respondedAt(): Instant | undefined {
    return this.#headAt;
  }

  resume(): void {
    this.#channel.resume();
  }

  /** Ends the attempt and its connection, so that the endpoint stops the work. */
  abort(end: AttemptEnd): void {
    if (this.#settled) {
      return;
    }
    this.#channel.destroy();
    this.#settle(end);
  }

  #headArrived(head: ResponseHead): void {
    if (this.#settled || head.status < SUCCESS_FROM) {
      return;
    }
    this.#options.onActivity();
    const breakage = this.#disproof(head);
    if (breakage) {
      this.abort({ kind: 'broken', breakage });
      return;
    }
    this.#head = head;
    this.#headAt = this.#options.now();
    if (!declineOf(head)) {
      this.#isSinkOpen = true;
      this.#options.sink.onHead(head);
    }
  }

  /** Returns why the head is no answer of the endpoint to this request. */
  #disproof(head: ResponseHead): AttemptBreakage | undefined {
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

  #ended(end: ExchangeResult): void {
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
        const { connectionPool, entry } = this.#options;
        connectionPool.recordIdleBreak(entry.service, this.#idleTime);
      }
      this.#channel.destroy();
      this.#settle({ kind: 'broken', breakage: breakageOf(end) });
      return;
    }
    this.#channel.markIdle(this.#options.now(), head.keepAliveTimeout);
    this.#options.connectionPool.release(this.#options.entry.id, this.#channel);
    const decline = declineOf(head);
    this.#settle(
      decline
        ? { kind: 'declined', decline }
        : this.#options.sink.onComplete(head),
    );
  }

  #settle(end: AttemptEnd): void {
    this.#settled = true;
    this.#isSinkOpen = false;
    this.#resolve(end);
  }
}

/** Tells whether the endpoint proves with its answer that it ran nothing, and why. */
function declineOf(head: ResponseHead): AttemptDecline | undefined {
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

function breakageOf(end: ExchangeResult): AttemptBreakage {
  const cause = end.kind === 'broken' ? end.cause : '';
  const isMalformed =
    cause.startsWith('HPE_') ||
    cause.startsWith('UND_ERR_RES') ||
    cause === 'UND_ERR_HEADERS_OVERFLOW';
  return isMalformed ? 'malformed' : 'reset';
}
