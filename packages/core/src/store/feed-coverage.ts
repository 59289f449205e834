/**
 * Tracks how recently this router's copy of a table of the store was confirmed to
 * be complete, by its own reads or by those of peers that pass the changes on.
 * A router reads the store itself only when no confirmation is recent enough.
 */
import type { Random } from '../random/random';
import type { RouterId } from '../types/ids';
import { addTime, elapsed, milliseconds } from '../types/units';
import type { Instant, Milliseconds } from '../types/units';
import { comparePositions } from './feed-position';
import type { FeedPosition } from './feed-position';

/** A statement that all changes of a table up to a moment are known. */
export interface FeedConfirmation {
  /** The router that read the store. */
  readonly origin: RouterId;
  readonly position: FeedPosition;
  /** Every change that the store made before this moment is included. */
  readonly confirmedAt: Instant;
}

/**
 * Shares of the bound at whose end a change must be known after which a router
 * reads for itself: most routers wait for `LATEST_SHARE`, and a few read earlier
 * and pass on what they find.
 */
const EARLIEST_SHARE = 0.48;
const LATEST_SHARE = 0.65;
/** Exponent of the distribution between the shares; the higher, the fewer routers read early. */
const EARLY_EXPONENT = 8;

export interface FeedCoverageOptions {
  /** Time within which a change of the table must be known. */
  readonly bound: Milliseconds;
  readonly random: Random;
}

export class FeedCoverage {
  readonly #options: FeedCoverageOptions;
  #latest: FeedConfirmation | undefined;
  #position: FeedPosition | undefined;
  #maxAge: Milliseconds;

  constructor(options: FeedCoverageOptions) {
    this.#options = options;
    this.#maxAge = this.#drawMaxAge();
  }

  /** The most recent confirmation. */
  get latest(): FeedConfirmation | undefined {
    return this.#latest;
  }

  /** Position up to which all changes are known. */
  get position(): FeedPosition | undefined {
    return this.#position;
  }

  /**
   * Applies a confirmation whose changes this router has. Returns false if it is
   * older than the latest one or of an earlier era.
   */
  record(confirmation: FeedConfirmation): boolean {
    const { position, confirmedAt } = confirmation;
    const isNewEra = position.era > (this.#position?.era ?? -1);
    if (this.#position && position.era < this.#position.era) {
      return false;
    }
    if (!this.#position || comparePositions(position, this.#position) > 0) {
      this.#position = position;
    }
    const isLater =
      !this.#latest || elapsed(this.#latest.confirmedAt, confirmedAt) > 0;
    if (!isNewEra && !isLater) {
      return false;
    }
    this.#latest = confirmation;
    this.#maxAge = this.#drawMaxAge();
    return true;
  }

  /** Forgets everything, as the table must be read as a whole. */
  reset(): void {
    this.#latest = undefined;
    this.#position = undefined;
  }

  /** When this router must read the table itself; undefined if it never was confirmed. */
  dueAt(): Instant | undefined {
    return this.#latest && addTime(this.#latest.confirmedAt, this.#maxAge);
  }

  /** Age of the latest confirmation; undefined if there is none. */
  age(now: Instant): Milliseconds | undefined {
    return this.#latest && elapsed(this.#latest.confirmedAt, now);
  }

  #drawMaxAge(): Milliseconds {
    const { bound, random } = this.#options;
    const early = random.fraction() ** EARLY_EXPONENT;
    const share = LATEST_SHARE - (LATEST_SHARE - EARLIEST_SHARE) * early;
    return milliseconds(bound * share);
  }
}
