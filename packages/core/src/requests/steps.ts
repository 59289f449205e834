/** What the request flow asks of the policies around it. */
import type { AttemptId, EndpointId, RequestId } from '../types/ids';
import type { Outcome } from '../types/outcome';
import type { RefusalReason } from '../types/refusal';
import type { Instant, Milliseconds } from '../types/units';
import type { Request } from './types';

/** Whether a request may take capacity now. */
export type AdmissionAnswer =
  | { readonly kind: 'admitted' }
  | { readonly kind: 'queued'; readonly until: Instant }
  | { readonly kind: 'refused'; readonly reason: RefusalReason };

/** A decision on a request that was queued before. */
export interface QueuedAnswer {
  readonly request: RequestId;
  readonly answer: AdmissionAnswer;
}

/** Admits requests by team limits and shares. */
export abstract class AdmissionStep {
  abstract request(request: Request, now: Instant): AdmissionAnswer;
  /** Gives a slot back, or takes a queued request out of the queue. */
  abstract released(request: Request, now: Instant): void;
  /** Decides on queued requests. */
  abstract tick(now: Instant): readonly QueuedAnswer[];
}

/** Where a request is to run. */
export type PlacingAnswer =
  | { readonly kind: 'endpoint'; readonly endpoint: EndpointId }
  /** Every endpoint that could run it is at its bound. */
  | { readonly kind: 'saturated'; readonly retryAfter: Milliseconds }
  /** Its content may have crashed an endpoint; ask again at the next tick. */
  | { readonly kind: 'held' }
  | { readonly kind: 'refused'; readonly reason: RefusalReason };

/** How one attempt ended, as evidence about its endpoint. */
export type AttemptEnding =
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
export interface AttemptFacts {
  readonly request: Request;
  readonly attempt: AttemptId;
  readonly endpoint: EndpointId;
}

/** Follows attempts from their start to their end. */
export abstract class AttemptObserver {
  abstract started(facts: AttemptFacts, now: Instant): void;
  /** The first part of the answer is here. */
  abstract progressed(facts: AttemptFacts, now: Instant): void;
  /** `events` is the number of streamed events of a finished attempt. */
  abstract ended(
    facts: AttemptFacts,
    ending: AttemptEnding,
    events: number,
    now: Instant,
  ): void;
}

/** Chooses endpoints and learns from how attempts end. */
export abstract class PlacingStep extends AttemptObserver {
  abstract choose(
    request: Request,
    avoided: readonly EndpointId[],
    now: Instant,
  ): PlacingAnswer;
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
export type RetryAnswer =
  | { readonly kind: 'retry'; readonly after: Milliseconds }
  | { readonly kind: 'give-up' };

/** Limits repeated attempts. */
export abstract class RetryStep {
  abstract requestArrived(now: Instant): void;
  abstract mayRetry(failed: FailedRequest, now: Instant): RetryAnswer;
  /** Decides on going on with a broken stream. */
  abstract mayResume(resumptions: number, now: Instant): RetryAnswer;
}
