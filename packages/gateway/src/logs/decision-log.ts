/**
 * Structured log of routing decisions and state changes. Each kind of line is
 * rate-limited; lines above the limit are dropped and counted, so that a burst of
 * refusals costs no more than a busy second.
 */
import type { Logger } from 'winston';

import type { LogOutput } from '@sesamegrade/router/logs/log-output';
import type { TimerService } from '@sesamegrade/core/time/timer-service';
import { seconds } from '@sesamegrade/core/types/units';
import type { Milliseconds } from '@sesamegrade/core/types/units';

/** Limit per kind of line; a VM serves about 6 requests a second at its peak. */
const DEFAULT_LINES_PER_SECOND = 30;
const RATE_WINDOW: Milliseconds = seconds(1);

export type LogFields = Readonly<Record<string, unknown>>;

export interface DecisionLogOptions {
  readonly logger: Logger;
  /** Where the logger's lines go. */
  readonly output?: Pick<LogOutput, 'dropped'>;
  readonly timers: TimerService;
  readonly linesPerSecond?: number;
}

export class DecisionLog {
  readonly #logger: Logger;
  readonly #output: Pick<LogOutput, 'dropped'>;
  readonly #timers: TimerService;
  readonly #linesPerSecond: number;
  readonly #writtenByKind = new Map<string, number>();
  readonly #droppedByKind = new Map<string, number>();
  #droppedCount = 0;
  /** Lines that the output had not written when that was last logged. */
  #loggedUnwritten = 0;

  constructor(options: DecisionLogOptions) {
    this.#logger = options.logger;
    this.#output = options.output ?? { dropped: 0 };
    this.#timers = options.timers;
    this.#linesPerSecond = options.linesPerSecond ?? DEFAULT_LINES_PER_SECOND;
    this.#timers.every(RATE_WINDOW, () => {
      this.#startWindow();
    });
  }

  /** Number of lines dropped since the start. */
  get dropped(): number {
    return this.#droppedCount + this.#output.dropped;
  }

  /** Writes a line, or drops it when its kind is over the limit of the current second. */
  write(kind: string, fields: LogFields = {}): void {
    const written = this.#writtenByKind.get(kind) ?? 0;
    if (written >= this.#linesPerSecond) {
      this.#droppedByKind.set(kind, (this.#droppedByKind.get(kind) ?? 0) + 1);
      this.#droppedCount += 1;
      return;
    }
    this.#writtenByKind.set(kind, written + 1);
    this.#logger.info(kind, { at: Math.round(this.#timers.now()), ...fields });
  }

  #startWindow(): void {
    this.#writtenByKind.clear();
    const unwritten = this.#output.dropped;
    if (this.#droppedByKind.size > 0 || unwritten > this.#loggedUnwritten) {
      const kinds = Object.fromEntries(this.#droppedByKind);
      this.#droppedByKind.clear();
      this.#loggedUnwritten = unwritten;
      this.write('lines-dropped', { kinds, unwritten });
    }
  }
}
