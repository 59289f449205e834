/** When the table may be read or written next: polls, pauses and back-off, all with jitter. */
import type { Random } from '../random/random';
import type { EventRecorder } from '../timeline/event';
import { addTime, milliseconds, seconds } from '../types/units';
import type { Instant, Milliseconds } from '../types/units';

/** Reads of the head that the whole fleet may spend per second. */
const FLEET_READS_PER_SECOND = 100;
const SHORTEST_POLL = seconds(2);
const FIRST_BACKOFF = milliseconds(250);
const LONGEST_BACKOFF = seconds(5);
const MAX_DOUBLINGS = 10;

export interface StoreScheduleOptions {
  readonly random: Random;
  readonly recorder: EventRecorder;
  /** Routers that poll the table, to share its read limit. */
  readonly routerCount: () => number;
}

export class StoreSchedule {
  readonly #random: Random;
  readonly #recorder: EventRecorder;
  readonly #routerCount: () => number;
  #pollAt: Instant | undefined;
  #notBefore: Instant | undefined;
  #failures = 0;
  #up = true;

  constructor(options: StoreScheduleOptions) {
    this.#random = options.random;
    this.#recorder = options.recorder;
    this.#routerCount = options.routerCount;
  }

  /** Whether the last call reached the table. */
  get isAvailable(): boolean {
    return this.#up;
  }

  isPaused(now: Instant): boolean {
    return this.#notBefore !== undefined && now < this.#notBefore;
  }

  isPollDue(now: Instant): boolean {
    return this.#pollAt === undefined || now >= this.#pollAt;
  }

  pollSoon(): void {
    this.#pollAt = undefined;
  }

  /** The head was read; the next poll is a period away. */
  onPolled(now: Instant): void {
    const share = seconds(this.#routerCount() / FLEET_READS_PER_SECOND);
    const period = Math.max(SHORTEST_POLL, share);
    const spread = 0.75 + this.#random.fraction() / 2;
    this.#pollAt = addTime(now, milliseconds(period * spread));
  }

  onResponse(): void {
    this.#failures = 0;
    if (!this.#up) {
      this.#up = true;
      this.#recorder.record('store-available', {}, { part: 'configuration' });
    }
  }

  onUnavailable(now: Instant): void {
    this.#failures += 1;
    this.backOff(now);
    if (this.#up) {
      this.#up = false;
      this.#recorder.record('store-unavailable', {}, { part: 'configuration' });
    }
  }

  /** The table asked for a pause. */
  pause(length: Milliseconds, now: Instant): void {
    const spread = 1 + this.#random.fraction() / 2;
    const wait = Math.max(FIRST_BACKOFF, length) * spread;
    this.#notBefore = addTime(now, milliseconds(wait));
  }

  backOff(now: Instant): void {
    const doublings = Math.min(this.#failures, MAX_DOUBLINGS);
    const wait = Math.min(LONGEST_BACKOFF, FIRST_BACKOFF * 2 ** doublings);
    const jittered = wait * (0.5 + this.#random.fraction() / 2);
    this.#notBefore = addTime(now, milliseconds(jittered));
  }
}
