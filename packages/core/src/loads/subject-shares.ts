/** Shares of the subjects in the requests that this router has received lately. */
import { LRUCache } from 'lru-cache';

import type { PromptPartId } from '../types/ids';
import { elapsed, instant, seconds } from '../types/units';
import type { Instant, Milliseconds } from '../types/units';

/** Time after which a request counts for 1/e. */
const DECAY_TIME: Milliseconds = seconds(10);
/** What a share counts as before any request: this many requests with this share. */
const PRIOR_REQUESTS = 3;
const PRIOR_SHARE = 0.1;
const MAX_SUBJECTS = 5000;

/** A number of requests that decays. */
interface DecayingCount {
  count: number;
  at: Instant;
}

export class SubjectShares {
  readonly #subjects = new LRUCache<PromptPartId, DecayingCount>({
    max: MAX_SUBJECTS,
  });
  readonly #all: DecayingCount = { count: 0, at: instant(0) };

  /** Records a request that has arrived. */
  record(subject: PromptPartId, now: Instant): void {
    let known = this.#subjects.get(subject);
    if (!known) {
      known = { count: 0, at: now };
      this.#subjects.set(subject, known);
    }
    increment(known, now);
    increment(this.#all, now);
  }

  /** The share, in 0..1, of the subject of a recorded request in the other ones. */
  shareOfOthers(subject: PromptPartId, now: Instant): number {
    const known = this.#subjects.get(subject);
    const count = known ? countAt(known, now) : 0;
    const all = countAt(this.#all, now);
    return (
      (Math.max(0, count - 1) + PRIOR_SHARE * PRIOR_REQUESTS) /
      (Math.max(0, all - 1) + PRIOR_REQUESTS)
    );
  }
}

function countAt({ count, at }: DecayingCount, now: Instant): number {
  return count / Math.exp(elapsed(at, now) / DECAY_TIME);
}

function increment(known: DecayingCount, now: Instant): void {
  known.count = countAt(known, now) + 1;
  known.at = now;
}
