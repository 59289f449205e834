/**
 * Lines on decisions and changes of belief. Each kind of line has a rate above
 * which lines are dropped and counted, so that a storm of refusals costs no more
 * than a busy second.
 */
import type { Logger } from 'winston';

import type { TimerService } from '@sesamegrade/core/time/timer-service';
import { seconds } from '@sesamegrade/core/types/units';
import type { Milliseconds } from '@sesamegrade/core/types/units';

/** Lines of one kind per second; a VM serves about 6 requests a second at its peak. */
const DEFAULT_LINES_PER_SECOND = 30;
const ROUND: Milliseconds = seconds(1);

export type LogFields = Readonly<Record<string, unknown>>;

export interface DecisionLogOptions {
  readonly logger: Logger;
  readonly timers: TimerService;
  readonly linesPerSecond?: number;
}

export class DecisionLog {
  readonly #logger: Logger;
  readonly #timers: TimerService;
  readonly #limit: number;
  readonly #written = new Map<string, number>();
  readonly #dropped = new Map<string, number>();
  #droppedTotal = 0;

  constructor(options: DecisionLogOptions) {
    this.#logger = options.logger;
    this.#timers = options.timers;
    this.#limit = options.linesPerSecond ?? DEFAULT_LINES_PER_SECOND;
    this.#timers.every(ROUND, () => {
      this.#nextRound();
    });
  }

  /** Lines that were not written since the start. */
  get dropped(): number {
    return this.#droppedTotal;
  }

  write(kind: string, fields: LogFields = {}): void {
    const written = this.#written.get(kind) ?? 0;
    if (written >= this.#limit) {
      this.#dropped.set(kind, (this.#dropped.get(kind) ?? 0) + 1);
      this.#droppedTotal += 1;
      return;
    }
    this.#written.set(kind, written + 1);
    this.#logger.info(kind, { at: Math.round(this.#timers.now()), ...fields });
  }

  #nextRound(): void {
    this.#written.clear();
    if (this.#dropped.size > 0) {
      const kinds = Object.fromEntries(this.#dropped);
      this.#dropped.clear();
      this.write('lines-dropped', { kinds });
    }
  }
}
