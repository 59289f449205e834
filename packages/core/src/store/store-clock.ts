/**
 * Relates the store's steady clock to this router's, so that a response which was under
 * way for long does not count as news of the moment at which it arrived.
 */
import { instant } from '../types/units';
import type { Instant } from '../types/units';

/** A response of the store. */
export interface StoreAnswer {
  /** Time on the store's clock in milliseconds; undefined if the store does not name it. */
  readonly storeTime: number | undefined;
  readonly sentAt: Instant;
  readonly receivedAt: Instant;
}

export class StoreClock {
  /** Lower bound of the local time minus the store's. */
  #offset: number | undefined;

  /** Returns the latest time at which the store provably made the response. */
  madeAt({ storeTime, sentAt, receivedAt }: StoreAnswer): Instant {
    if (storeTime === undefined) {
      return sentAt;
    }
    // The store read its clock after the request was sent.
    this.#offset = Math.max(this.#offset ?? -Infinity, sentAt - storeTime);
    const madeAt = storeTime + this.#offset;
    return instant(Math.min(receivedAt, Math.max(sentAt, madeAt)));
  }

  /** Forgets the relation, as the store may have another clock. */
  reset(): void {
    this.#offset = undefined;
  }
}
