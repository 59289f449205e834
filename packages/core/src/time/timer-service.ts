/** One source of time that parts subscribe to; tests drive it by hand. */
import { addTime } from '../types/units';
import type { Instant, Milliseconds } from '../types/units';

/** Called with the time at which the timer fired. */
export type TimerListener = (now: Instant) => void;

/** Ends a subscription; calling it twice does nothing more. */
export type Cancel = () => void;

interface Subscription {
  due: Instant;
  readonly period: Milliseconds | undefined;
  readonly listener: TimerListener;
}

/** Reads a monotonic clock and wakes subscribers. */
export abstract class TimerService {
  readonly #subscriptions = new Set<Subscription>();

  abstract now(): Instant;

  /** Milliseconds since the Unix epoch; may jump, so never used for intervals. */
  abstract wallTime(): number;

  /** Calls the listener every period, first after one period. */
  every(period: Milliseconds, listener: TimerListener): Cancel {
    return this.#subscribe(period, period, listener);
  }

  /** Calls the listener once, after a delay. */
  after(delay: Milliseconds, listener: TimerListener): Cancel {
    return this.#subscribe(delay, undefined, listener);
  }

  /** Wakes nobody any more. */
  stop(): void {
    this.#subscriptions.clear();
  }

  /** Runs every listener that is due, in order of due time. */
  protected runDue(now: Instant): void {
    const due = [...this.#subscriptions].filter(entry => entry.due <= now);
    due.sort((left, right) => left.due - right.due);
    for (const entry of due) {
      this.#run(entry, now);
    }
  }

  /** Due time of the earliest subscription. */
  protected nextDue(): Instant | undefined {
    let earliest: Instant | undefined;
    for (const { due } of this.#subscriptions) {
      if (earliest === undefined || due < earliest) {
        earliest = due;
      }
    }
    return earliest;
  }

  /** Called when the earliest due time may have changed. */
  protected abstract reschedule(): void;

  #subscribe(
    delay: Milliseconds,
    period: Milliseconds | undefined,
    listener: TimerListener,
  ): Cancel {
    const entry = { due: addTime(this.now(), delay), period, listener };
    this.#subscriptions.add(entry);
    this.reschedule();
    return () => {
      this.#subscriptions.delete(entry);
    };
  }

  #run(entry: Subscription, now: Instant): void {
    if (!this.#subscriptions.has(entry)) {
      return;
    }
    if (entry.period === undefined) {
      this.#subscriptions.delete(entry);
    } else {
      entry.due = addTime(now, entry.period);
    }
    entry.listener(now);
  }
}
