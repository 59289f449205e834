/** The last value sent to each peer for each endpoint, so that only changes are sent. */
import type { EndpointId, RouterId } from '../types/ids';
import { elapsed, milliseconds } from '../types/units';
import type { Instant } from '../types/units';

/** Time after which a value is sent again, as a message may be lost with its connection. */
export const REPEAT_INTERVAL = milliseconds(5000);

/** Number of times that a zero is repeated before it is removed. */
const ZERO_REPEATS = 2;

interface SentValue {
  readonly value: number;
  readonly at: Instant;
  readonly repeats: number;
}

export class SentValues {
  readonly #sent = new Map<RouterId, Map<EndpointId, SentValue>>();

  /**
   * Returns whether the value must be sent: it differs by a step, or the last
   * one was sent long ago.
   */
  shouldSend(
    peer: RouterId,
    endpoint: EndpointId,
    value: number,
    step: number,
    now: Instant,
  ): boolean {
    const sent = this.#sent.get(peer)?.get(endpoint);
    if (!sent) {
      return value > 0;
    }
    const changed = Math.abs(value - sent.value) >= step;
    return changed || elapsed(sent.at, now) >= REPEAT_INTERVAL;
  }

  /** Returns the value that was last sent to the peer. */
  lastSent(peer: RouterId, endpoint: EndpointId): number | undefined {
    return this.#sent.get(peer)?.get(endpoint)?.value;
  }

  record(
    peer: RouterId,
    endpoint: EndpointId,
    value: number,
    now: Instant,
  ): void {
    let sent = this.#sent.get(peer);
    if (!sent) {
      sent = new Map();
      this.#sent.set(peer, sent);
    }
    const last = sent.get(endpoint);
    const repeats = last?.value === value ? last.repeats + 1 : 0;
    if (value === 0 && repeats >= ZERO_REPEATS) {
      sent.delete(endpoint);
      return;
    }
    sent.set(endpoint, { value, at: now, repeats });
  }

  removePeer(peer: RouterId): void {
    this.#sent.delete(peer);
  }
}
