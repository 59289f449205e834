/** What the request flow asks of the policies around it. */
import type { AttemptId, EndpointId, RequestId } from '../types/ids';
import type { Outcome } from '../types/outcome';
import type { RefusalReason } from '../types/refusal';
import type { Instant, Milliseconds } from '../types/units';
import type { Request } from './types';

/** Whether a request may take capacity now. */
export type AdmissionResult =
  | { readonly kind: 'admitted' }
  | { readonly kind: 'queued'; readonly until: Instant }
  | { readonly kind: 'refused'; readonly reason: RefusalReason };

/** A decision on a request that was queued before. */
export interface QueuedAdmissionResult {
  readonly request: RequestId;
  readonly result: AdmissionResult;
}

/** Admits requests by team limits and shares. */
export abstract class AdmissionStep {
  abstract request(request: Request, now: Instant): AdmissionResult;
  /** Gives a slot back, or takes a queued request out of the queue. */
  abstract release(request: Request, now: Instant): void;
  /** Decides on queued requests. */
  abstract tick(now: Instant): readonly QueuedAdmissionResult[];
}

/** Where a request is to run. */
export type PlacementResult =
  | { readonly kind: 'endpoint'; readonly endpoint: EndpointId }
  /** Every endpoint that could run it is at its bound. */
  | { readonly kind: 'saturated'; readonly retryAfter: Milliseconds }
  /** Its content may have crashed an endpoint; ask again at the next tick. */
  | { readonly kind: 'held' }
  | { readonly kind: 'refused'; readonly reason: RefusalReason };

/** How one attempt ended, as evidence about its endpoint. */
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

/** Follows attempts from their start to their end. */
export abstract class AttemptObserver {
  abstract onAttemptStarted(facts: AttemptInfo, now: Instant): void;
  /** The first part of the answer is here. */
  abstract onAttemptProgress(facts: AttemptInfo, now: Instant): void;
  /** `events` is the number of streamed events of a finished attempt. */
  abstract onAttemptEnded(
    facts: AttemptInfo,
    ending: AttemptReport,
    events: number,
    now: Instant,
  ): void;
}

/** Chooses endpoints and learns from how attempts end. */
export abstract class PlacementStep extends AttemptObserver {
  abstract choose(
    request: Request,
    avoided: readonly EndpointId[],
    now: Instant,
  ): PlacementResult;
}

/** What is known of a request whose last attempt failed. */
export interface FailedRequest {
  readonly outcome: Outcome;
  readonly repeatable: boolean;
  /** Attempts so far, at least 1. */
  readonly attempts: number;
  readonly deadline: Instant;
}

/** Whether another attempt may be made, and after what delay. */
export type RetryResult =
  | { readonly kind: 'retry'; readonly after: Milliseconds }
  | { readonly kind: 'give-up' };

/** Limits repeated attempts. */
export abstract class RetryStep {
  abstract onRequestArrived(now: Instant): void;
  abstract decideRetry(failed: FailedRequest, now: Instant): RetryResult;
  /** Decides on going on with a broken stream. */
  abstract decideResume(resumptions: number, now: Instant): RetryResult;
}
