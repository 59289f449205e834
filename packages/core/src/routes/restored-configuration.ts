/**
 * Holds back the configuration of a store that was restored from an older copy
 * while the operator has time to write the newer one again. If it does not, the
 * restored one is the newest that exists.
 */
import { addTime, elapsed, milliseconds } from '../types/units';
import type { Instant, Milliseconds } from '../types/units';
import type { FleetConfiguration } from './fleet-configuration';

/** Time for the operator to write a lost configuration again. */
const HOLD_TIME: Milliseconds = milliseconds(10_000);

export interface HeldConfiguration {
  readonly configuration: FleetConfiguration;
  /** The configuration as the operator wrote it. */
  readonly raw: Uint8Array;
}

export class RestoredConfiguration {
  #held: HeldConfiguration | undefined;
  #until: Instant | undefined;

  /** Holds a configuration that is older than the one in force; the time runs from the first one. */
  hold(held: HeldConfiguration, now: Instant): void {
    this.#held = held;
    this.#until ??= addTime(now, HOLD_TIME);
  }

  /** Drops the held configuration, as the store has one that is no older than that in force. */
  clear(): void {
    this.#held = undefined;
    this.#until = undefined;
  }

  /** Returns the held configuration, once, when its time is over. */
  takeDue(now: Instant): HeldConfiguration | undefined {
    const held = this.#held;
    if (!held || !this.#until || elapsed(this.#until, now) < 0) {
      return undefined;
    }
    this.clear();
    return held;
  }
}
