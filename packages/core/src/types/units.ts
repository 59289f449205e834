/** Branded number types, so that a duration cannot be passed as an instant. */
import type { Branded } from './brand';

/**
 * Time on a process's monotonic clock in milliseconds; only differences are
 * meaningful.
 */
export type Instant = Branded<number, 'Instant'>;
/** A duration in milliseconds. */
export type Milliseconds = Branded<number, 'Milliseconds'>;
/** A size in bytes. */
export type Bytes = Branded<number, 'Bytes'>;

export const instant = (value: number) => value as Instant;
export const milliseconds = (value: number) => value as Milliseconds;
export const seconds = (value: number) => (value * 1000) as Milliseconds;
export const bytes = (value: number) => value as Bytes;

/** Returns the instant a duration after the start. */
export function addTime(start: Instant, duration: Milliseconds): Instant {
  return instant(start + duration);
}

/**
 * Returns the duration from one instant to another; negative if the second is
 * earlier.
 */
export function elapsed(from: Instant, to: Instant): Milliseconds {
  return milliseconds(to - from);
}
