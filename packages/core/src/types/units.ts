/** Branded measures, so that a duration is never taken for an instant. */
import type { Branded } from './brand';

/** Milliseconds on a process's monotonic clock; only differences have meaning. */
export type Instant = Branded<number, 'Instant'>;
/** A length of time in milliseconds. */
export type Milliseconds = Branded<number, 'Milliseconds'>;
/** A size in bytes. */
export type Bytes = Branded<number, 'Bytes'>;

export const instant = (value: number) => value as Instant;
export const milliseconds = (value: number) => value as Milliseconds;
export const seconds = (value: number) => (value * 1000) as Milliseconds;
export const bytes = (value: number) => value as Bytes;

/** Returns the instant that lies a duration after another. */
export function addTime(start: Instant, length: Milliseconds): Instant {
  return instant(start + length);
}

/** Returns the time from one instant to a later one; negative if it is earlier. */
export function elapsed(from: Instant, to: Instant): Milliseconds {
  return milliseconds(to - from);
}
