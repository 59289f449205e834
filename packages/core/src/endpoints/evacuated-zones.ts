/**
 * The zones that the operator has evacuated, whose endpoints receive no requests, and the
 * position of the store as of which they are known. Sets arrive from the store and from
 * peers in any order; each is complete as of its position, so that the latest one holds.
 */
import { comparePositions } from '../store/feed-position';
import type { FeedPosition } from '../store/feed-position';
import type { ZoneId } from '../types/ids';
import type { Instant } from '../types/units';

/** From whom a router learned of a change. */
export type EvacuationOrigin = 'store' | 'peer';

export interface EvacuationChange {
  readonly added: readonly ZoneId[];
  readonly removed: readonly ZoneId[];
  readonly origin: EvacuationOrigin;
  readonly position: FeedPosition;
}

export type EvacuationListener = (
  change: EvacuationChange,
  now: Instant,
) => void;

/** The set with the position as of which it is complete. */
export interface EvacuatedZoneList {
  readonly zones: readonly ZoneId[];
  readonly position: FeedPosition;
}

/** Who states something about the zones, and when it arrived. */
export interface EvacuationSource {
  readonly origin: EvacuationOrigin;
  readonly now: Instant;
}

export class EvacuatedZones {
  #zones: ReadonlySet<ZoneId> = new Set();
  #position: FeedPosition | undefined;
  readonly #listeners: EvacuationListener[] = [];
  readonly #knownListeners: (() => void)[] = [];

  /** Whether the zones have been learned; before, no zone is included. */
  get isKnown(): boolean {
    return this.#position !== undefined;
  }

  get size(): number {
    return this.#zones.size;
  }

  /** The complete set; undefined before it is known. */
  get list(): EvacuatedZoneList | undefined {
    return (
      this.#position && { zones: [...this.#zones], position: this.#position }
    );
  }

  includes(zone: ZoneId): boolean {
    return this.#zones.has(zone);
  }

  /** Whether the set is known as of a position, or of a later one. */
  isKnownAsOf(position: FeedPosition): boolean {
    return (
      this.#position !== undefined &&
      comparePositions(this.#position, position) >= 0
    );
  }

  /** Registers a listener for the zones that are added and removed. */
  onChanged(listener: EvacuationListener): void {
    this.#listeners.push(listener);
  }

  /** Registers a listener that is called once the set is known for the first time. */
  onKnown(listener: () => void): void {
    this.#knownListeners.push(listener);
  }

  /**
   * Applies the complete set as of a position; returns whether zones were added or removed.
   * A set of an older position is dropped, and one of a later era replaces any other.
   */
  applyList(
    zones: readonly ZoneId[],
    position: FeedPosition,
    source: EvacuationSource,
  ): boolean {
    if (this.#isOlder(position)) {
      return false;
    }
    const isFirst = !this.isKnown;
    this.#position = position;
    const hasChanged = this.#replace(new Set(zones), position, source);
    if (isFirst) {
      this.#knownListeners.forEach(listener => {
        listener();
      });
    }
    return hasChanged;
  }

  /**
   * Applies one change that was read from the store; returns whether the zone was added or
   * removed. Dropped if it is older than the set, or of another era, whose list has not been
   * read. Changes of one transaction have the same position.
   */
  applyChange(
    zone: ZoneId,
    isEvacuated: boolean,
    position: FeedPosition,
    source: EvacuationSource,
  ): boolean {
    if (!this.#isOfSameEra(position) || this.#isOlder(position)) {
      return false;
    }
    this.#position = position;
    const zones = new Set(this.#zones);
    if (isEvacuated) {
      zones.add(zone);
    } else {
      zones.delete(zone);
    }
    return this.#replace(zones, position, source);
  }

  /** Records that every change up to a position was applied. */
  recordRead(position: FeedPosition): void {
    if (this.#isOfSameEra(position) && !this.#isOlder(position)) {
      this.#position = position;
    }
  }

  #isOlder(position: FeedPosition): boolean {
    return (
      this.#position !== undefined &&
      comparePositions(position, this.#position) < 0
    );
  }

  #isOfSameEra({ era }: FeedPosition): boolean {
    return this.#position?.era === era;
  }

  #replace(
    zones: ReadonlySet<ZoneId>,
    position: FeedPosition,
    { origin, now }: EvacuationSource,
  ): boolean {
    const added = [...zones].filter(zone => !this.#zones.has(zone));
    const removed = [...this.#zones].filter(zone => !zones.has(zone));
    this.#zones = zones;
    if (added.length === 0 && removed.length === 0) {
      return false;
    }
    for (const listener of this.#listeners) {
      listener({ added, removed, origin, position }, now);
    }
    return true;
  }
}
