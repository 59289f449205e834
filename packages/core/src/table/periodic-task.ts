import type { Instant } from '../types/units';

/** A task that runs at every tick, such as a rule over the rows of a table. */
export abstract class PeriodicTask {
  abstract tick(now: Instant): void;
}
