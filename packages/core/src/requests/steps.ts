/** Policy interfaces of the request flow: admission, placement and retries. */
import type { AttemptId, EndpointId, RequestId } from '../types/ids';
import type { Outcome } from '../types/outcome';
import type { RefusalReason } from '../types/refusal';
import type { Instant, Milliseconds } from '../types/units';
import type { Request } from './types';

/** Decision on whether a request may use capacity now. */
export type AdmissionResult =
  | { readonly kind: 'admitted' }
  | { readonly kind: 'queued'; readonly until: Instant }
  | { readonly kind: 'refused'; readonly reason: RefusalReason };

/** Decision on a queued request. */
export interface QueuedAdmissionResult {
  readonly request: RequestId;
  readonly result: AdmissionResult;
}

/** Admits requests by team limits and shares. */
export abstract class AdmissionStep {
  abstract request(request: Request, now: Instant): AdmissionResult;
  /** Releases the slot of an ended request, or removes the request from the queue. */
  abstract release(request: Request, now: Instant): void;
  /** Decides on queued requests. */
  abstract tick(now: Instant): readonly QueuedAdmissionResult[];
}

/** Decision on where a request runs. */
export type PlacementResult =
  | { readonly kind: 'endpoint'; readonly endpoint: EndpointId }
  /** Every endpoint that could run the request is at its bound. */
  | { readonly kind: 'saturated'; readonly retryAfter: Milliseconds }
  /** The content may have crashed an endpoint; placement is repeated at the next tick. */
  | { readonly kind: 'held' }
  | { readonly kind: 'refused'; readonly reason: RefusalReason };

/** How one attempt ended; input to the health of its endpoint. */
export type AttemptReport =
  | 'finished'
  | 'not-sent'
  | 'declined-full'
  | 'declined-leaving'
  | 'declined-unsuited'
  | 'reset'
  | 'stall'
  | 'slow-start'
  | 'cancelled';

/** One attempt of a request at an endpoint. */
export interface AttemptInfo {
  readonly request: Request;
  readonly attempt: AttemptId;
  readonly endpoint: EndpointId;
}

/** Is notified of the start, progress and end of every attempt. */
export abstract class AttemptObserver {
  abstract onAttemptStarted(info: AttemptInfo, now: Instant): void;
  /** Part of the response was passed on to the caller; called several times for a long stream. */
  abstract onAttemptProgress(info: AttemptInfo, now: Instant): void;
  /** `events` is the number of streamed events of a finished attempt; 0 for other attempts. */
  abstract onAttemptEnded(
    info: AttemptInfo,
    report: AttemptReport,
    events: number,
    now: Instant,
  ): void;
}

/** Chooses endpoints, and observes attempts for it. */
export abstract class PlacementStep extends AttemptObserver {
  abstract choose(
    request: Request,
    avoided: readonly EndpointId[],
    now: Instant,
  ): PlacementResult;
}

/** A request whose last attempt failed. */
export interface FailedRequest {
  readonly outcome: Outcome;
  readonly repeatable: boolean;
  /** Number of attempts made, at least 1. */
  readonly attempts: number;
  readonly deadline: Instant;
}

/** Decision on whether another attempt is made, and after which delay. */
export type RetryResult =
  | { readonly kind: 'retry'; readonly after: Milliseconds }
  | { readonly kind: 'give-up' };

/** Limits retries and stream resumptions. */
export abstract class RetryStep {
  abstract onRequestArrived(now: Instant): void;
  abstract decideRetry(failed: FailedRequest, now: Instant): RetryResult;
  /** Decides whether a stream that broke off is resumed; `resumptions` counts earlier ones. */
  abstract decideResume(resumptions: number, now: Instant): RetryResult;
}
