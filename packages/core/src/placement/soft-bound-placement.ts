import type { Candidate } from './candidate';
import { BoundedAffinityPlacement } from './bounded-affinity-placement';
import type { LoadBound } from './load-bound';

/** Fill at which an endpoint starts to turn chats away, as a fraction of its limit. */
const softFill = 0.85;

/**
 * Last place under a soft bound: close to its limit an endpoint takes a falling
 * share of the chats, chosen by a hash of the pair, so that all routers turn the
 * same chats away.
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
    const share = (1 - limits.utilization(candidate)) / (1 - softFill);
    return share >= 1 || this.rank.fraction(~chatHash, candidate.id) < share;
  }
}
