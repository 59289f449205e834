/**
 * Endpoints that have asked this router to send nothing for a while. Unlike an
 * ejection, such a hold is also respected when no other endpoint is left.
 */
import type { EndpointId } from '../types/ids';
import { addTime, elapsed, milliseconds } from '../types/units';
import type { Instant, Milliseconds } from '../types/units';

/** Limit of one hold, so that an absurd value does not take an endpoint out of use for good. */
const MAX_HOLD: Milliseconds = milliseconds(60_000);

export class RefusalHolds {
  readonly #until = new Map<EndpointId, Instant>();

  /** Holds requests back from an endpoint; a shorter hold does not end a longer one. */
  hold(endpoint: EndpointId, duration: Milliseconds, now: Instant): void {
    if (!(duration > 0)) {
      return;
    }
    const until = addTime(now, milliseconds(Math.min(duration, MAX_HOLD)));
    const known = this.#until.get(endpoint);
    if (known === undefined || elapsed(known, until) > 0) {
      this.#until.set(endpoint, until);
    }
  }

  /** Time until requests may be sent to the endpoint again; 0 if they may be sent now. */
  remaining(endpoint: EndpointId, now: Instant): Milliseconds {
    const until = this.#until.get(endpoint);
    if (until === undefined) {
      return milliseconds(0);
    }
    const remaining = elapsed(now, until);
    if (remaining <= 0) {
      this.#until.delete(endpoint);
      return milliseconds(0);
    }
    return remaining;
  }

  /** Ends the hold of an endpoint that is gone or was restarted. */
  remove(endpoint: EndpointId): void {
    this.#until.delete(endpoint);
  }
}
