import type { Candidate } from './candidate';
import { BoundedAffinityPlacement } from './bounded-affinity-placement';
import type { LoadBound } from './load-bound';

/** Utilization, as a fraction of the limit, above which an endpoint starts to turn chats away. */
const SOFT_UTILIZATION = 0.85;

/**
 * Session affinity under a soft bound: close to its limit an endpoint takes a
 * decreasing share of the chats. The share is chosen by a hash of chat and
 * endpoint, so that all routers turn the same chats away.
 */
export class SoftBoundPlacement extends BoundedAffinityPlacement {
  protected override admits(
    chatHash: number,
    candidate: Candidate,
    limits: LoadBound,
  ): boolean {
    if (!limits.admits(candidate)) {
      return false;
    }
    const share = (1 - limits.utilization(candidate)) / (1 - SOFT_UTILIZATION);
    return share >= 1 || this.rank.fraction(~chatHash, candidate.id) < share;
  }
}
