/** Shares of the subjects in the requests for each service that this router has received lately. */
import { LRUCache } from 'lru-cache';

import type { PromptPartId, ServiceId } from '../types/ids';
import { elapsed, seconds } from '../types/units';
import type { Instant, Milliseconds } from '../types/units';

/** Time after which a request counts for 1/e. */
const DECAY_TIME: Milliseconds = seconds(10);
/** What a share counts as before any request: this many requests with this share. */
const PRIOR_REQUESTS = 3;
const PRIOR_SHARE = 0.1;
const MAX_SUBJECTS = 5000;

/** A number of requests that decays. */
interface DecayingCount {
  readonly count: number;
  readonly at: Instant;
}

export class SubjectShares {
  readonly #subjects = new LRUCache<string, DecayingCount>({
    max: MAX_SUBJECTS,
  });
  /** All requests by service. */
  readonly #services = new Map<ServiceId, DecayingCount>();

  /** Records a request that has arrived. */
  record(service: ServiceId, subject: PromptPartId, now: Instant): void {
    const key = keyOf(service, subject);
    this.#subjects.set(key, incremented(this.#subjects.get(key), now));
    this.#services.set(service, incremented(this.#services.get(service), now));
  }

  /** The share, in 0..1, of the subject of a recorded request in the other ones of its service. */
  shareOfOthers(
    service: ServiceId,
    subject: PromptPartId,
    now: Instant,
  ): number {
    const ofSubject = this.#subjects.get(keyOf(service, subject));
    const ofService = this.#services.get(service);
    return (
      (othersAt(ofSubject, now) + PRIOR_SHARE * PRIOR_REQUESTS) /
      (othersAt(ofService, now) + PRIOR_REQUESTS)
    );
  }
}

function keyOf(service: ServiceId, subject: PromptPartId): string {
  return `${service}\n${subject}`;
}

function countAt({ count, at }: DecayingCount, now: Instant): number {
  return count / Math.exp(elapsed(at, now) / DECAY_TIME);
}

/** The count without the latest request. */
function othersAt(known: DecayingCount | undefined, now: Instant): number {
  return known ? Math.max(0, countAt(known, now) - 1) : 0;
}

function incremented(
  known: DecayingCount | undefined,
  now: Instant,
): DecayingCount {
  return { count: 1 + (known ? countAt(known, now) : 0), at: now };
}
