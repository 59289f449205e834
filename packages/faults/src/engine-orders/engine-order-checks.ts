/** Checks the promises about engine orders in a history. */
import type { EndpointId, FencingNumber } from '@sesamegrade/core/types/ids';
import type { Violation } from '../simulation/fault';

/** Tracks the highest fencing numbers and records each use of a lower one. */
export class FenceObserver {
  readonly violations: Violation[] = [];
  readonly #highestAccepted = new Map<EndpointId, number>();
  #highestPermitted = 0;

  /** Records that a router was permitted to send an order. */
  onPermitted(router: string, fence: FencingNumber): void {
    if (fence < this.#highestPermitted) {
      this.violations.push({
        promise: 'one-holder',
        detail: `${router} was permitted to send with fencing number ${fence} after ${this.#highestPermitted}`,
      });
    }
    this.#highestPermitted = Math.max(this.#highestPermitted, fence);
  }

  /** Records that an engine accepted an order. */
  onAccepted(engine: EndpointId, fence: FencingNumber): void {
    const highest = this.#highestAccepted.get(engine) ?? 0;
    if (fence < highest) {
      this.violations.push({
        promise: 'one-holder',
        detail: `${engine} accepted fencing number ${fence} after ${highest}`,
      });
    }
    this.#highestAccepted.set(engine, Math.max(highest, fence));
  }

  /** Forgets the number of an engine that lost it in a crash. */
  onCrash(engine: EndpointId): void {
    this.#highestAccepted.delete(engine);
  }
}
