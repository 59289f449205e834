/**
 * One attempt to run a request at one endpoint; classifies its result by what
 * the response proves.
 */
import type { EndpointEntry } from '@sesamegrade/core/endpoints/endpoint-entry';
import type {
  AttemptFailure,
  AttemptRejection,
  AttemptResult,
} from '@sesamegrade/core/forwarding/attempt-result';
import type { RequestId, RouterId } from '@sesamegrade/core/types/ids';
import type { Instant, Milliseconds } from '@sesamegrade/core/types/units';
import { NO_HTTP_RESPONSE, TOO_MANY_BYTES } from '../http/bounded-socket';
import type { ConnectionPool } from './connection-pool';
import { INVALID_STATUS, JOINED_HEADS } from './endpoint-connection';
import type {
  ExchangeResult,
  EndpointRequest,
  EndpointConnection,
} from './endpoint-connection';
import type { ResponseHead, EndpointProtocol } from './endpoint-protocol';

/** Receives the response of an attempt as it arrives. */
export abstract class ResponseSink {
  /** Bytes of the response that were received and not passed on. */
  abstract readonly heldBytes: number;
  /** Called once, with a head that provably belongs to the request. */
  abstract onHead(head: ResponseHead): void;
  /** Returns false to pause the endpoint until `Attempt.resume`. */
  abstract onData(chunk: Buffer): boolean;
  /** Called when the router has no memory for more; returns false to pause the endpoint as `onData` does. */
  abstract onMemoryFull(): boolean;
  /** Called when the response is complete; returns the result of the attempt, or resolves with it. */
  abstract onComplete(
    head: ResponseHead,
  ): AttemptResult | Promise<AttemptResult>;
  /** Passes on the end of a response after all whose end was `unproven-end`. */
  abstract finish(head: ResponseHead): AttemptResult;
}

export interface AttemptOptions {
  readonly entry: EndpointEntry;
  readonly requestId: RequestId;
  readonly request: EndpointRequest;
  readonly repeatable: boolean;
  /** Timeout for opening a new connection. */
  readonly connectTimeout: Milliseconds;
  readonly connectionPool: ConnectionPool;
  readonly protocol: EndpointProtocol;
  readonly sink: ResponseSink;
  readonly now: () => Instant;
  /** Called whenever bytes of the response arrive. */
  readonly onActivity: () => void;
  /** Called when the body of the request was written, unless that was done at once. */
  readonly onBodyWritten: () => void;
  /** Called when a response shows that the endpoint did not reject the request. */
  readonly onAccepted: () => void;
  /** Called with the head of each response on the connection, also one that belongs to another request. */
  readonly onResponseHead: (head: ResponseHead) => void;
}

/** Statuses with which an endpoint rejects a request because it is overloaded. */
const STATUS_TOO_MANY_REQUESTS = 429;
const STATUS_UNAVAILABLE = 503;
const STATUS_MISDIRECTED = 421;
/** Bytes of a rejection's body that are read so that the connection can be used again. */
const MAX_REJECTION_BYTES = 65_536;
const MIN_SUCCESS_STATUS = 200;
const MAX_SUCCESS_STATUS = 299;

export class Attempt {
  /** Resolves with the result; never rejects. */
  readonly done: Promise<AttemptResult>;
  readonly #options: AttemptOptions;
  readonly #connection: EndpointConnection;
  readonly #isNewConnection: boolean;
  readonly #idleTime: Milliseconds | undefined;
  #resolve: (result: AttemptResult) => void = () => undefined;
  #isSettled = false;
  /** Whether another attempt may use the connection, while the result waits for a decision. */
  #isReleased = false;
  #wasSent = false;
  #isBodyWritten = false;
  #isAccepted = false;
  #head: ResponseHead | undefined;
  #respondedAt: Instant | undefined;
  #isSinkOpen = false;
  #isPaused = false;
  #discardedBytes = 0;

  constructor(options: AttemptOptions) {
    this.#options = options;
    const { entry, repeatable, connectionPool, request } = options;
    this.done = new Promise(resolve => {
      this.#resolve = resolve;
    });
    this.#connection = connectionPool.take(
      entry,
      repeatable,
      options.connectTimeout,
    );
    this.#idleTime = this.#connection.idleTime(options.now());
    this.#isNewConnection = this.#connection.exchangeCount === 0;
    this.#connection.send(request, {
      onSent: () => {
        this.#wasSent = true;
      },
      onBodyWritten: () => {
        this.#isBodyWritten = true;
        options.onBodyWritten();
      },
      onHead: (status, headers) => {
        this.#onHead(options.protocol.readResponse(status, headers));
      },
      onData: chunk => {
        options.onActivity();
        const goesOn = this.#isSinkOpen
          ? options.sink.onData(chunk)
          : this.#discard(chunk);
        this.#isPaused = !goesOn;
        return goesOn;
      },
      onEnd: result => {
        this.#onEnd(result);
      },
    });
  }

  get hasEnded(): boolean {
    return this.#isSettled;
  }

  /** Whether bytes of the request may have reached the endpoint. */
  get wasSent(): boolean {
    return this.#wasSent;
  }

  /** Whether a body that is written piece by piece was written. */
  get isBodyWritten(): boolean {
    return this.#isBodyWritten;
  }

  /** Whether a response has shown that the endpoint did not reject the request. */
  get isAccepted(): boolean {
    return this.#isAccepted;
  }

  /** Whether the response is paused until `resume`. */
  get isPaused(): boolean {
    return this.#isPaused;
  }

  /** Whether the connection was opened for this attempt. */
  get isNewConnection(): boolean {
    return this.#isNewConnection;
  }

  /** The router through which the connection leads; undefined if it is direct or not established. */
  get via(): RouterId | undefined {
    return this.#connection.via;
  }

  /** When the connection was established; undefined before. */
  get establishedAt(): Instant | undefined {
    return this.#options.connectionPool.establishedAt(this.#connection);
  }

  /** How long the connection had been idle; undefined for a new one. */
  get idleTime(): Milliseconds | undefined {
    return this.#idleTime;
  }

  /** Head of a response that provably belongs to the request. */
  get responseHead(): ResponseHead | undefined {
    return this.#head;
  }

  /** When the head of the response arrived. */
  get respondedAt(): Instant | undefined {
    return this.#respondedAt;
  }

  /** Resumes the response after the sink paused it. */
  resume(): void {
    this.#isPaused = false;
    if (!this.#isReleased) {
      this.#connection.resume();
    }
  }

  /**
   * Ends the attempt with the given result and closes its connection, so that
   * the endpoint stops the work.
   */
  abort(result: AttemptResult): void {
    if (this.#isSettled) {
      return;
    }
    if (!this.#isReleased) {
      this.#connection.destroy();
    }
    this.#settle(result);
  }

  #onHead(head: ResponseHead): void {
    if (this.#isSettled || head.status < MIN_SUCCESS_STATUS) {
      return;
    }
    this.#options.onActivity();
    this.#options.onResponseHead(head);
    const failure = this.#failureOf(head);
    if (failure) {
      this.abort({ kind: 'broken', breakage: failure });
      return;
    }
    this.#head = head;
    this.#respondedAt = this.#options.now();
    if (!rejectionOf(head)) {
      this.#isAccepted = true;
      this.#isSinkOpen = true;
      this.#options.onAccepted();
      this.#options.sink.onHead(head);
    }
  }

  /** Ends the attempt if the body of a rejection does not end. */
  #discard(chunk: Buffer): boolean {
    this.#discardedBytes += chunk.length;
    const rejection = this.#head && rejectionOf(this.#head);
    if (rejection && this.#discardedBytes > MAX_REJECTION_BYTES) {
      this.abort({ kind: 'declined', decline: rejection });
    }
    return true;
  }

  /**
   * Returns why the head is not accepted as the endpoint's response to this
   * request; undefined if it is.
   */
  #failureOf(head: ResponseHead): AttemptFailure | undefined {
    const { requestId } = this.#options;
    if (head.requestId !== undefined && head.requestId !== requestId) {
      return 'foreign-answer';
    }
    const isSuccess =
      head.status >= MIN_SUCCESS_STATUS && head.status <= MAX_SUCCESS_STATUS;
    if (isSuccess && (!head.hasReceipt || head.requestId === undefined)) {
      return 'unproven-answer';
    }
    if (head.requestId === undefined && !this.#needsNoId(head)) {
      return 'unproven-answer';
    }
    return head.isEncoded ? 'unproven-answer' : undefined;
  }

  /**
   * Whether a failure counts without the id of its request. On a connection that carried
   * another one before it may be the response to that; a rejection promises that the
   * request did not run, and always has to name it.
   */
  #needsNoId(head: ResponseHead): boolean {
    return this.#isNewConnection && !rejectionOf(head);
  }

  #onEnd(result: ExchangeResult): void {
    if (this.#isSettled) {
      return;
    }
    if (result.kind === 'not-connected') {
      this.#connection.destroy();
      this.#settle({ kind: 'not-connected' });
      return;
    }
    const head = this.#head;
    const rejection = head && rejectionOf(head);
    const isCut =
      result.kind === 'ended-early' && head?.framing === 'connection';
    if (result.kind === 'broken' || isCut || !head) {
      if (!head && this.#idleTime !== undefined) {
        const { connectionPool, entry } = this.#options;
        connectionPool.recordIdleBreak(entry.service, this.#idleTime);
      }
      this.#connection.destroy();
      this.#settle(
        rejection
          ? { kind: 'declined', decline: rejection }
          : brokenResultOf(result),
      );
      return;
    }
    this.#releaseConnection(head);
    if (rejection) {
      this.#settle({ kind: 'declined', decline: rejection });
      return;
    }
    const completed = this.#options.sink.onComplete(head);
    if (!(completed instanceof Promise)) {
      this.#settle(completed);
      return;
    }
    completed.then(
      outcome => {
        this.#settle(outcome);
      },
      () => {
        this.#settle({ kind: 'broken', breakage: 'malformed' });
      },
    );
  }

  #releaseConnection(head: ResponseHead): void {
    if (head.framing === 'connection') {
      this.#connection.destroy();
      return;
    }
    this.#isReleased = true;
    this.#connection.markIdle(this.#options.now(), head.keepAliveTimeout);
    this.#options.connectionPool.release(
      this.#options.entry.id,
      this.#connection,
    );
  }

  #settle(result: AttemptResult): void {
    if (this.#isSettled) {
      return;
    }
    this.#isSettled = true;
    this.#isSinkOpen = false;
    this.#resolve(result);
  }
}

/**
 * Returns why the endpoint rejected the request, if the head proves that it did
 * not run the request.
 */
function rejectionOf(head: ResponseHead): AttemptRejection | undefined {
  if (head.status === STATUS_MISDIRECTED) {
    return 'other-instance';
  }
  if (!head.notRun) {
    return undefined;
  }
  return head.status === STATUS_UNAVAILABLE ||
    head.status === STATUS_TOO_MANY_REQUESTS
    ? 'full'
    : 'invalid';
}

function brokenResultOf(result: ExchangeResult): AttemptResult {
  return result.kind === 'ended-early'
    ? {
        kind: 'broken',
        breakage: 'unwritten-request',
        unwrittenBytes: result.unwrittenBytes,
      }
    : { kind: 'broken', breakage: failureReasonOf(result) };
}

function failureReasonOf(result: ExchangeResult): AttemptFailure {
  const cause = result.kind === 'broken' ? result.cause : '';
  const isMalformed =
    cause === TOO_MANY_BYTES ||
    cause === NO_HTTP_RESPONSE ||
    cause === JOINED_HEADS ||
    cause === INVALID_STATUS ||
    cause.startsWith('HPE_') ||
    cause.startsWith('UND_ERR_RES') ||
    cause === 'UND_ERR_HEADERS_OVERFLOW';
  return isMalformed ? 'malformed' : 'reset';
}
