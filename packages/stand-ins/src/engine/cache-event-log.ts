/** Prefix-cache events that an engine publishes with a lag and with gaps. */
import type { Random } from '@sesamegrade/core/random/random';
import { addTime } from '@sesamegrade/core/types/units';
import type { Instant, Milliseconds } from '@sesamegrade/core/types/units';

const MAX_EVENTS = 4096;

export interface CacheEvent {
  readonly sequence: number;
  readonly kind: 'stored' | 'evicted' | 'cleared';
  /** The chat whose context was stored or evicted; empty for `cleared`. */
  readonly prefix: string;
  readonly tokens: number;
}

interface PendingEvent {
  readonly visibleAt: Instant;
  readonly event: CacheEvent;
}

export class CacheEventLog {
  readonly #lag: Milliseconds;
  readonly #lossProbability: number;
  readonly #random: Random;
  readonly #events: PendingEvent[] = [];
  #sequence = 0;

  /**
   * @param lag time until an event is published
   * @param lossProbability probability that an event is never published
   */
  constructor(lag: Milliseconds, lossProbability: number, random: Random) {
    this.#lag = lag;
    this.#lossProbability = lossProbability;
    this.#random = random;
  }

  /** Adds an event. A lost event leaves a gap in the sequence numbers. */
  add(
    kind: CacheEvent['kind'],
    prefix: string,
    tokens: number,
    now: Instant,
  ): void {
    this.#sequence += 1;
    if (this.#random.fraction() < this.#lossProbability) {
      return;
    }
    const event = { sequence: this.#sequence, kind, prefix, tokens };
    this.#events.push({ visibleAt: addTime(now, this.#lag), event });
    if (this.#events.length > MAX_EVENTS) {
      this.#events.shift();
    }
  }

  /** Returns the events published until `now` after a sequence number. */
  eventsAfter(sequence: number, now: Instant): CacheEvent[] {
    return this.#events
      .filter(
        entry => entry.event.sequence > sequence && entry.visibleAt <= now,
      )
      .map(entry => entry.event);
  }
}
