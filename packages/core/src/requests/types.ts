/** Rows and messages of a request's way through a router. */
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

/** What a request asks for. */
export type Target =
  | { readonly kind: 'chat'; readonly model: ModelId; readonly chat: ChatId }
  | {
      readonly kind: 'call';
      readonly service: ServiceId;
      /** Whether the call may be sent twice. */
      readonly repeatable: boolean;
      readonly key: IdempotencyKey | undefined;
    };

/** A request as accepted from a caller. */
export interface Request {
  readonly id: RequestId;
  readonly team: TeamId;
  readonly target: Target;
  readonly fingerprint: Fingerprint;
  /** Whether the answer comes event by event. */
  readonly streamed: boolean;
  /** Lower runs first. */
  readonly priority: number;
  /** Place that the caller says it was served from last; a preference only. */
  readonly affinityEndpoint: EndpointId | undefined;
  readonly arrived: Instant;
  readonly deadline: Instant;
}

/** What a request waits for before it is sent. */
export type WaitReason =
  'admission' | 'record' | 'placement' | 'retry' | 'hold';

/** The steps of a request; every request is in exactly one. */
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
  /** The endpoint has begun to answer. */
  | {
      readonly kind: 'answering';
      readonly attempt: AttemptId;
      readonly endpoint: EndpointId;
      readonly resumptions: number;
    }
  | { readonly kind: 'finished' }
  | { readonly kind: 'refused'; readonly refusal: Refusal };

/** A truthful answer to a caller whose request got no whole answer. */
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
  /** Whether some attempt may have run; never goes back to false. */
  readonly mayHaveRun: boolean;
  /** Whether the caller has been given part of an answer. */
  readonly delivered: boolean;
  readonly attempts: number;
  /** Endpoints that failed or declined this request. */
  readonly avoided: readonly EndpointId[];
  /** Whether admission gave the request a slot that must be returned. */
  readonly admitted: boolean;
  /** Whether an order's row has been asked for and is still this request's to settle. */
  readonly orderRecord: 'none' | 'open' | 'closed';
}

/** Why an endpoint says that it ran nothing. */
export type RejectionReason = 'full' | 'leaving' | 'unsuited';

/** How an attempt's connection ended without a whole answer. */
export type FailureReason = 'reset' | 'stall' | 'slow-start';

/** What happened to a request, told by the shell. */
export type RequestMessage =
  | { readonly kind: 'arrived'; readonly request: Request }
  /** A caller goes on with a stream that an attempt elsewhere began. */
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
  /** A part of the answer went to the caller; told at the first and now and then. */
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
      /** Whether the stream can go on from its last event. */
      readonly resumable: boolean;
    }
  | {
      readonly kind: 'finished';
      readonly request: RequestId;
      readonly attempt: AttemptId;
      /** Streamed events of the answer; 0 for one in one piece. */
      readonly events: number;
    }
  /** The order's record did not permit the send; nothing went out. */
  | {
      readonly kind: 'withheld';
      readonly request: RequestId;
      readonly attempt: AttemptId;
    }
  | { readonly kind: 'caller-left'; readonly request: RequestId }
  /** The order's row is confirmed; only now may the call be sent. */
  | { readonly kind: 'recorded'; readonly request: RequestId }
  /** The order may not be sent by this request. */
  | {
      readonly kind: 'not-recorded';
      readonly request: RequestId;
      readonly reason: RefusalReason;
      /** Whether an earlier call with this key may have run. */
      readonly outcomeUnknown: boolean;
    }
  /** The caller was given the recorded answer of an earlier call. */
  | { readonly kind: 'replayed'; readonly request: RequestId };

/** How a recorded call ended; a whole answer is recorded by the shell that has it. */
export type OrderDisposition = 'never-sent' | 'in-doubt';

/** What the shell is to do. */
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
  /** Tells the order's row how its call ended. */
  | {
      readonly kind: 'settle';
      readonly request: RequestId;
      readonly disposition: OrderDisposition;
    }
  /** Answers with a problem document, or ends a begun answer with an error event. */
  | {
      readonly kind: 'refuse';
      readonly request: RequestId;
      readonly refusal: Refusal;
    };
