/** Checks a history of orders to engines against what must always hold. */
import type { EndpointId, FencingNumber } from '@sesamegrade/core/types/ids';
import type { Violation } from '../simulation/fault';

/** Keeps the highest numbers and notes each step back. */
export class FenceObserver {
  readonly violations: Violation[] = [];
  readonly #arrived = new Map<EndpointId, number>();
  #permitted = 0;

  /** A router was permitted to send an order. */
  onPermitted(router: string, fence: FencingNumber): void {
    if (fence < this.#permitted) {
      this.violations.push({
        promise: 'one-holder',
        detail: `${router} may send with ${fence} after ${this.#permitted}`,
      });
    }
    this.#permitted = Math.max(this.#permitted, fence);
  }

  /** An engine took an order. */
  onAccepted(engine: EndpointId, fence: FencingNumber): void {
    const highest = this.#arrived.get(engine) ?? 0;
    if (fence < highest) {
      this.violations.push({
        promise: 'one-holder',
        detail: `${engine} took ${fence} after ${highest}`,
      });
    }
    this.#arrived.set(engine, Math.max(highest, fence));
  }

  /** The engine forgot its number in a crash. */
  onCrash(engine: EndpointId): void {
    this.#arrived.delete(engine);
  }
}
