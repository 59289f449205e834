/**
 * Clock and timers of a process; tests replace them by ones that they advance
 * themselves.
 */
import { addTime, elapsed, milliseconds } from '../types/units';
import type { Instant, Milliseconds } from '../types/units';

/** Lateness of a timer from which the process counts as held up. */
export const HELD_UP: Milliseconds = milliseconds(20);

/** Called with the time at which the timer fired. */
export type TimerListener = (now: Instant) => void;

/** Cancels a timer; a second call has no effect. */
export type Cancel = () => void;

interface Subscription {
  due: Instant;
  readonly period: Milliseconds | undefined;
  readonly listener: TimerListener;
}

/** Reads a monotonic clock and calls listeners at their due times. */
export abstract class TimerService {
  readonly #subscriptions = new Set<Subscription>();
  #lastRun: Instant | undefined;

  abstract now(): Instant;

  /**
   * Milliseconds since the Unix epoch; may jump, so it must not be used for
   * intervals.
   */
  abstract wallTime(): number;

  /** Calls the listener every period, first after one period. */
  every(period: Milliseconds, listener: TimerListener): Cancel {
    return this.#subscribe(period, period, listener);
  }

  /** Calls the listener once, after a delay. */
  after(delay: Milliseconds, listener: TimerListener): Cancel {
    return this.#subscribe(delay, undefined, listener);
  }

  /**
   * Earliest time since when the process may have been held up, as a timer is overdue that has not
   * fired yet; undefined if none is. What the process learns now may have happened since.
   */
  get heldUpSince(): Instant | undefined {
    const due = this.nextDue();
    return due !== undefined && elapsed(due, this.now()) >= HELD_UP
      ? (this.#lastRun ?? due)
      : undefined;
  }

  /** Cancels all timers. */
  stop(): void {
    this.#subscriptions.clear();
  }

  /** Runs every listener that is due, in order of due time. */
  protected runDue(now: Instant): void {
    const due = [...this.#subscriptions].filter(
      subscription => subscription.due <= now,
    );
    this.#lastRun = now;
    due.sort((left, right) => left.due - right.due);
    for (const subscription of due) {
      this.#fire(subscription, now);
    }
  }

  /** Due time of the earliest timer; undefined when there is none. */
  protected nextDue(): Instant | undefined {
    let earliest: Instant | undefined;
    for (const { due } of this.#subscriptions) {
      if (earliest === undefined || due < earliest) {
        earliest = due;
      }
    }
    return earliest;
  }

  /**
   * Called with the due time of a timer that was added. It must not look at all timers: requests
   * add one with nearly every event that they relay.
   */
  protected abstract onAdded(due: Instant): void;

  #subscribe(
    delay: Milliseconds,
    period: Milliseconds | undefined,
    listener: TimerListener,
  ): Cancel {
    const subscription = { due: addTime(this.now(), delay), period, listener };
    this.#subscriptions.add(subscription);
    this.onAdded(subscription.due);
    return () => {
      this.#subscriptions.delete(subscription);
    };
  }

  #fire(subscription: Subscription, now: Instant): void {
    if (!this.#subscriptions.has(subscription)) {
      return;
    }
    if (subscription.period === undefined) {
      this.#subscriptions.delete(subscription);
    } else {
      subscription.due = addTime(now, subscription.period);
    }
    subscription.listener(now);
  }
}
