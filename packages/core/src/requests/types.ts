/** Rows, messages and commands of the request state machine. */
import type {
  AttemptId,
  ChatId,
  EndpointId,
  Fingerprint,
  IdempotencyKey,
  ModelId,
  RequestId,
  ServiceId,
  TeamId,
} from '../types/ids';
import type { Outcome } from '../types/outcome';
import type { RefusalReason } from '../types/refusal';
import type { Instant, Milliseconds } from '../types/units';

/** Model or service that a request addresses. */
export type Target =
  | { readonly kind: 'chat'; readonly model: ModelId; readonly chat: ChatId }
  | {
      readonly kind: 'call';
      readonly service: ServiceId;
      /** Whether the call may be run more than once. */
      readonly repeatable: boolean;
      readonly key: IdempotencyKey | undefined;
    };

/** A request as accepted from a caller. */
export interface Request {
  readonly id: RequestId;
  readonly team: TeamId;
  readonly target: Target;
  readonly fingerprint: Fingerprint;
  /** Whether the response is a stream of events. */
  readonly streamed: boolean;
  /** Lower values run first. */
  readonly priority: number;
  /** Endpoint that served the caller last, according to the caller; only a preference. */
  readonly affinityEndpoint: EndpointId | undefined;
  readonly arrived: Instant;
  readonly deadline: Instant;
}

/** Event for which a request waits before it is sent. */
export type WaitReason =
  'admission' | 'record' | 'placement' | 'retry' | 'hold';

/** State of a request in its state machine. */
export type RequestState =
  | {
      readonly kind: 'waiting';
      readonly on: WaitReason;
      readonly until: Instant;
    }
  /** Bytes of the request may have reached the endpoint. */
  | {
      readonly kind: 'sent';
      readonly attempt: AttemptId;
      readonly endpoint: EndpointId;
      readonly at: Instant;
    }
  /** The endpoint has started its response. */
  | {
      readonly kind: 'answering';
      readonly attempt: AttemptId;
      readonly endpoint: EndpointId;
      readonly resumptions: number;
    }
  | { readonly kind: 'finished' }
  | { readonly kind: 'refused'; readonly refusal: Refusal };

/** Error returned to a caller whose request got no complete response; its outcome must be true. */
export interface Refusal {
  readonly reason: RefusalReason;
  readonly outcome: Outcome;
  readonly retryAfter: Milliseconds | undefined;
}

/** Row of the request table. */
export interface RequestRow {
  readonly id: RequestId;
  readonly request: Request;
  readonly state: RequestState;
  /**
   * Whether an ended attempt, or an earlier call of the same order, may have
   * run; never reset to false.
   */
  readonly mayHaveRun: boolean;
  /** Whether part of a response was passed on to the caller. */
  readonly delivered: boolean;
  readonly attempts: number;
  /** Endpoints that failed or rejected this request; retries go to others. */
  readonly avoided: readonly EndpointId[];
  /** Whether the request was admitted and has a slot that must be released. */
  readonly admitted: boolean;
  /**
   * Whether the order's row was requested (`open`), and whether this request
   * must no longer settle it (`closed`).
   */
  readonly orderRecord: 'none' | 'open' | 'closed';
}

/** Reason with which an endpoint rejected a request without running it. */
export type RejectionReason = 'full' | 'leaving' | 'unsuited';

/** How an attempt failed before its response was complete. */
export type FailureReason = 'reset' | 'stall' | 'slow-start';

/** Event of a request, reported by the I/O layer. */
export type RequestMessage =
  | { readonly kind: 'arrived'; readonly request: Request }
  /** A caller resumes a stream that an attempt of another router started. */
  | {
      readonly kind: 'reattached';
      readonly request: Request;
      readonly attempt: AttemptId;
      readonly endpoint: EndpointId;
    }
  /** No byte of the attempt reached the endpoint. */
  | {
      readonly kind: 'not-sent';
      readonly request: RequestId;
      readonly attempt: AttemptId;
    }
  | {
      readonly kind: 'declined';
      readonly request: RequestId;
      readonly attempt: AttemptId;
      readonly decline: RejectionReason;
    }
  | {
      readonly kind: 'answering';
      readonly request: RequestId;
      readonly attempt: AttemptId;
    }
  /**
   * Part of the response was passed on to the caller; reported for the first
   * part and from time to time.
   */
  | {
      readonly kind: 'delivered';
      readonly request: RequestId;
      readonly attempt: AttemptId;
    }
  | {
      readonly kind: 'broken';
      readonly request: RequestId;
      readonly attempt: AttemptId;
      readonly breakage: FailureReason;
      /** Whether the stream can be resumed after its last event. */
      readonly resumable: boolean;
    }
  | {
      readonly kind: 'finished';
      readonly request: RequestId;
      readonly attempt: AttemptId;
      /** Number of streamed events; 0 for a response that is not streamed. */
      readonly events: number;
    }
  /** The order's record did not permit the send; nothing was sent. */
  | {
      readonly kind: 'withheld';
      readonly request: RequestId;
      readonly attempt: AttemptId;
    }
  | { readonly kind: 'caller-left'; readonly request: RequestId }
  /** The order's row is confirmed in the store; the call must not be sent before. */
  | { readonly kind: 'recorded'; readonly request: RequestId }
  /** This request must not send the order. */
  | {
      readonly kind: 'not-recorded';
      readonly request: RequestId;
      readonly reason: RefusalReason;
      /** Whether an earlier call with this key may have run. */
      readonly outcomeUnknown: boolean;
    }
  /** The caller was given the recorded response of an earlier call. */
  | { readonly kind: 'replayed'; readonly request: RequestId };

/**
 * How a recorded call ended without a complete response; complete responses are
 * recorded by the I/O layer.
 */
export type OrderDisposition = 'never-sent' | 'in-doubt';

/** Action that the I/O layer must perform. */
export type RequestCommand =
  | {
      readonly kind: 'send';
      readonly request: RequestId;
      readonly attempt: AttemptId;
      readonly endpoint: EndpointId;
    }
  | {
      readonly kind: 'resume';
      readonly request: RequestId;
      readonly attempt: AttemptId;
      readonly endpoint: EndpointId;
      readonly after: Milliseconds;
    }
  | {
      readonly kind: 'cancel';
      readonly request: RequestId;
      readonly attempt: AttemptId;
      readonly endpoint: EndpointId;
    }
  /** Writes the order's row before the call is sent. */
  | { readonly kind: 'record'; readonly request: RequestId }
  /** Writes to the order's row how its call ended. */
  | {
      readonly kind: 'settle';
      readonly request: RequestId;
      readonly disposition: OrderDisposition;
    }
  /** Sends a problem document, or ends a response that has started with an error event. */
  | {
      readonly kind: 'refuse';
      readonly request: RequestId;
      readonly refusal: Refusal;
    };
