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

/** Largest error of a time that was converted twice, in milliseconds. */
const MAX_ERROR = 20;

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
    if (madeAt > receivedAt + MAX_ERROR) {
      // This router's clock stood still while its machine was suspended.
      this.#offset = sentAt - storeTime;
    }
    return instant(Math.min(receivedAt, Math.max(sentAt, madeAt)));
  }

  /** The local time before which the store's clock cannot have shown a time; undefined if unknown. */
  toLocal(storeTime: number): Instant | undefined {
    return this.#offset === undefined
      ? undefined
      : instant(storeTime + this.#offset);
  }

  /** The store's time at a local one; undefined if unknown. */
  toStore(at: Instant): number | undefined {
    return this.#offset === undefined ? undefined : at - this.#offset;
  }

  /** Whether a store's time is later than any that its clock can have shown by now. */
  isAhead(storeTime: number, now: Instant): boolean {
    const local = this.toLocal(storeTime);
    return local !== undefined && local > now + MAX_ERROR;
  }

  /** Forgets the relation, as the store may have another clock. */
  reset(): void {
    this.#offset = undefined;
  }
}
