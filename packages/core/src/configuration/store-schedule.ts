/**
 * Schedules requests to the configuration table: poll interval, requested
 * pauses and back-off, all with jitter.
 */
import type { Random } from '../random/random';
import type { EventRecorder } from '../timeline/event';
import { addTime, milliseconds, seconds } from '../types/units';
import type { Instant, Milliseconds } from '../types/units';

/** Budget of head reads for the whole fleet. */
const FLEET_READS_PER_SECOND = 100;
const MIN_POLL_INTERVAL = seconds(2);
const INITIAL_BACKOFF = milliseconds(250);
const MAX_BACKOFF = seconds(5);
const MAX_BACKOFF_DOUBLINGS = 10;

export interface StoreScheduleOptions {
  readonly random: Random;
  readonly recorder: EventRecorder;
  /** Number of routers that poll the table and share the fleet's read budget. */
  readonly routerCount: () => number;
}

export class StoreSchedule {
  readonly #random: Random;
  readonly #recorder: EventRecorder;
  readonly #routerCount: () => number;
  #nextPollAt: Instant | undefined;
  #pausedUntil: Instant | undefined;
  #consecutiveFailures = 0;
  #isAvailable = true;

  constructor(options: StoreScheduleOptions) {
    this.#random = options.random;
    this.#recorder = options.recorder;
    this.#routerCount = options.routerCount;
  }

  /** Whether the table served the last request. */
  get isAvailable(): boolean {
    return this.#isAvailable;
  }

  isPaused(now: Instant): boolean {
    return this.#pausedUntil !== undefined && now < this.#pausedUntil;
  }

  isPollDue(now: Instant): boolean {
    return this.#nextPollAt === undefined || now >= this.#nextPollAt;
  }

  pollSoon(): void {
    this.#nextPollAt = undefined;
  }

  /** Schedules the next poll after the head was read. */
  onPolled(now: Instant): void {
    const share = seconds(this.#routerCount() / FLEET_READS_PER_SECOND);
    const period = Math.max(MIN_POLL_INTERVAL, share);
    const spread = 0.75 + this.#random.fraction() / 2;
    this.#nextPollAt = addTime(now, milliseconds(period * spread));
  }

  onResponse(): void {
    this.#consecutiveFailures = 0;
    if (!this.#isAvailable) {
      this.#isAvailable = true;
      this.#recorder.record('store-available', {}, { part: 'configuration' });
    }
  }

  onUnavailable(now: Instant): void {
    this.#consecutiveFailures += 1;
    this.backOff(now);
    if (this.#isAvailable) {
      this.#isAvailable = false;
      this.#recorder.record('store-unavailable', {}, { part: 'configuration' });
    }
  }

  /**
   * Pauses requests for the time that the table asked for, with up to half of
   * it as jitter.
   */
  pause(duration: Milliseconds, now: Instant): void {
    const spread = 1 + this.#random.fraction() / 2;
    const wait = Math.max(INITIAL_BACKOFF, duration) * spread;
    this.#pausedUntil = addTime(now, milliseconds(wait));
  }

  backOff(now: Instant): void {
    const doublings = Math.min(
      this.#consecutiveFailures,
      MAX_BACKOFF_DOUBLINGS,
    );
    const wait = Math.min(MAX_BACKOFF, INITIAL_BACKOFF * 2 ** doublings);
    const jittered = wait * (0.5 + this.#random.fraction() / 2);
    this.#pausedUntil = addTime(now, milliseconds(jittered));
  }
}
