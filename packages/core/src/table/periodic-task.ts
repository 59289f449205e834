import type { Instant } from '../types/units';

/** A rule that runs over the tables on every tick. */
export abstract class PeriodicTask {
  abstract tick(now: Instant): void;
}
