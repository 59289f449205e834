/** The table service with faults, on a schedule instead of a network. */
import type { Random } from '@sesamegrade/core/random/random';
import type {
  ReadResponse,
  TableOperation,
  WriteResponse,
} from '@sesamegrade/core/types/platform';
import type { Milliseconds } from '@sesamegrade/core/types/units';
import { addTime, milliseconds, seconds } from '@sesamegrade/core/types/units';
import { MemoryTables } from '@sesamegrade/router/platform-client/memory-tables';
import type { ExchangeFault } from './fault';
import type { Schedule } from './schedule';

/** Longest wait of a router for an answer of the store. */
const STORE_TIMEOUT = seconds(2);
const LONGEST_DELAY_MS = 8;
const SLOW_DELAY = milliseconds(1500);
/** When a write that was cut off may still take effect, at the latest. */
const LATEST_EFFECT_MS = 20_000;
const RATE_LIMIT_PAUSE_MS = 400;

export class FaultyStore {
  readonly tables = new MemoryTables();
  readonly #schedule: Schedule;
  readonly #random: Random;
  #downUntil = 0;
  #slowUntil = 0;
  #limitedUntil = 0;
  #loseUntil = 0;

  constructor(schedule: Schedule, random: Random) {
    this.#schedule = schedule;
    this.#random = random;
  }

  /** Refuses everything for a while. */
  stopFor(length: Milliseconds): void {
    this.#downUntil = addTime(this.#schedule.now, length);
  }

  slowFor(length: Milliseconds): void {
    this.#slowUntil = addTime(this.#schedule.now, length);
  }

  limitFor(length: Milliseconds): void {
    this.#limitedUntil = addTime(this.#schedule.now, length);
  }

  /** Loses the answers to writes for a while; the writes take effect. */
  loseAnswersFor(length: Milliseconds): void {
    this.#loseUntil = addTime(this.#schedule.now, length);
  }

  read(
    table: string,
    key: string,
    fault: ExchangeFault | undefined,
    reply: (answer: ReadResponse) => void,
  ): void {
    const refusal = this.#refusal();
    if (refusal ?? (fault && isLost(fault))) {
      this.#after(this.#delay(), () => {
        reply(refusal ?? { kind: 'unavailable' });
      });
      return;
    }
    this.#after(this.#delay(fault), () => {
      const answer = this.tables.read(table, key);
      this.#answer(() => {
        reply(answer);
      }, fault);
    });
  }

  write(
    operations: readonly TableOperation[],
    fault: ExchangeFault | undefined,
    reply: (answer: WriteResponse) => void,
  ): void {
    const refusal =
      fault === 'connection-refused'
        ? ({ kind: 'unavailable' } as const)
        : this.#refusal();
    if (refusal) {
      this.#after(this.#delay(), () => {
        reply(refusal);
      });
      return;
    }
    if (this.#schedule.now < this.#loseUntil) {
      this.#loseAnswer(operations, milliseconds(0), reply);
      return;
    }
    if (fault && isLost(fault)) {
      this.#cutOff(operations, fault, reply);
      return;
    }
    this.#after(this.#delay(fault), () => {
      const answer = this.tables.write(operations);
      this.#answer(() => {
        reply(answer);
      }, fault);
    });
  }

  /** The write takes effect now, late or never, and its sender is not told. */
  #cutOff(
    operations: readonly TableOperation[],
    fault: ExchangeFault,
    reply: (answer: WriteResponse) => void,
  ): void {
    const latest = fault === 'reset-mid-answer' ? 0 : LATEST_EFFECT_MS;
    const effect = milliseconds(
      this.#random.fraction() < 0.5 ? 0 : this.#random.integer(0, latest),
    );
    const lost =
      fault === 'reset-before-headers' && this.#random.fraction() < 0.3;
    if (lost) {
      this.#replyUnknown(reply);
      return;
    }
    this.#loseAnswer(operations, effect, reply);
    if (fault === 'late-answer') {
      this.#after(addDelay(STORE_TIMEOUT, effect), () => {
        reply({ kind: 'conflict', operation: 0 });
      });
    }
  }

  #loseAnswer(
    operations: readonly TableOperation[],
    effect: Milliseconds,
    reply: (answer: WriteResponse) => void,
  ): void {
    this.#after(effect, () => {
      this.tables.write(operations);
    });
    this.#replyUnknown(reply);
  }

  #replyUnknown(reply: (answer: WriteResponse) => void): void {
    const wait = this.#random.fraction() < 0.5 ? this.#delay() : STORE_TIMEOUT;
    this.#after(wait, () => {
      reply({ kind: 'unknown' });
    });
  }

  #answer(reply: () => void, fault: ExchangeFault | undefined): void {
    this.#after(this.#delay(), reply);
    if (fault === 'duplicated-answer') {
      this.#after(addDelay(this.#delay(), seconds(1)), reply);
    }
  }

  #refusal():
    | { readonly kind: 'unavailable' }
    | { readonly kind: 'rate-limited'; readonly retryAfterMs: number }
    | undefined {
    if (this.#schedule.now < this.#downUntil) {
      return { kind: 'unavailable' };
    }
    return this.#schedule.now < this.#limitedUntil
      ? { kind: 'rate-limited', retryAfterMs: RATE_LIMIT_PAUSE_MS }
      : undefined;
  }

  #delay(fault?: ExchangeFault): Milliseconds {
    const slow = fault === 'slow' || this.#schedule.now < this.#slowUntil;
    const base = slow ? SLOW_DELAY : milliseconds(0);
    return milliseconds(base + this.#random.integer(1, LONGEST_DELAY_MS));
  }

  #after(delay: Milliseconds, action: () => void): void {
    this.#schedule.after(delay, action);
  }
}

/** True when the router gets no usable answer within its timeout. */
function isLost(fault: ExchangeFault): boolean {
  return fault !== 'slow' && fault !== 'duplicated-answer';
}

function addDelay(left: Milliseconds, right: Milliseconds): Milliseconds {
  return milliseconds(left + right);
}
