/** Cache events as an engine publishes them: late and with gaps. */
import type { Random } from '@sesamegrade/core/random/random';
import { addTime } from '@sesamegrade/core/types/units';
import type { Instant, Milliseconds } from '@sesamegrade/core/types/units';

const MAX_EVENTS = 4096;

export interface CacheEvent {
  readonly sequence: number;
  readonly kind: 'stored' | 'evicted' | 'cleared';
  /** The chat whose context it is; empty for `cleared`. */
  readonly prefix: string;
  readonly tokens: number;
}

interface PendingEvent {
  readonly visibleAt: Instant;
  readonly event: CacheEvent;
}

export class CacheEventLog {
  readonly #lag: Milliseconds;
  readonly #loss: number;
  readonly #random: Random;
  readonly #events: PendingEvent[] = [];
  #sequence = 0;

  /** @param loss part of the events that is never published */
  constructor(lag: Milliseconds, loss: number, random: Random) {
    this.#lag = lag;
    this.#loss = loss;
    this.#random = random;
  }

  /** Adds an event; a lost one leaves a gap in the sequence. */
  add(
    kind: CacheEvent['kind'],
    prefix: string,
    tokens: number,
    now: Instant,
  ): void {
    this.#sequence += 1;
    if (this.#random.fraction() < this.#loss) {
      return;
    }
    const event = { sequence: this.#sequence, kind, prefix, tokens };
    this.#events.push({ visibleAt: addTime(now, this.#lag), event });
    if (this.#events.length > MAX_EVENTS) {
      this.#events.shift();
    }
  }

  /** Returns the published events after a sequence number. */
  eventsAfter(sequence: number, now: Instant): CacheEvent[] {
    return this.#events
      .filter(
        entry => entry.event.sequence > sequence && entry.visibleAt <= now,
      )
      .map(entry => entry.event);
  }
}
