/** What each peer was last told about each endpoint, to tell only changes. */
import type { EndpointId, RouterId } from '../types/ids';
import { elapsed, milliseconds } from '../types/units';
import type { Instant } from '../types/units';

/** Numbers are told again after this time, as a message may be lost with its connection. */
export const REPEAT_INTERVAL = milliseconds(5000);

/** A zero is repeated this often and then dropped. */
const zeroRepeats = 2;

interface Told {
  readonly value: number;
  readonly at: Instant;
  readonly repeats: number;
}

export class SentValues {
  readonly #told = new Map<RouterId, Map<EndpointId, Told>>();

  /** Tells whether the peer needs the value: it differs by a step or was told long ago. */
  shouldSend(
    peer: RouterId,
    endpoint: EndpointId,
    value: number,
    step: number,
    now: Instant,
  ): boolean {
    const told = this.#told.get(peer)?.get(endpoint);
    if (!told) {
      return value > 0;
    }
    const changed = Math.abs(value - told.value) >= step;
    return changed || elapsed(told.at, now) >= REPEAT_INTERVAL;
  }

  /** Returns the value that the peer was told last. */
  lastSent(peer: RouterId, endpoint: EndpointId): number | undefined {
    return this.#told.get(peer)?.get(endpoint)?.value;
  }

  record(
    peer: RouterId,
    endpoint: EndpointId,
    value: number,
    now: Instant,
  ): void {
    let told = this.#told.get(peer);
    if (!told) {
      told = new Map();
      this.#told.set(peer, told);
    }
    const before = told.get(endpoint);
    const repeats = before?.value === value ? before.repeats + 1 : 0;
    if (value === 0 && repeats >= zeroRepeats) {
      told.delete(endpoint);
      return;
    }
    told.set(endpoint, { value, at: now, repeats });
  }

  removePeer(peer: RouterId): void {
    this.#told.delete(peer);
  }
}
