/**
 * Simulates the table service with faults, in virtual time instead of over a
 * network.
 */
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

/** Time after which a router gives up waiting for a response of the store. */
const STORE_TIMEOUT = seconds(2);
const MAX_DELAY_MS = 8;
const SLOW_DELAY = milliseconds(1500);
/** Max delay after which a write whose connection broke can still take effect. */
const MAX_EFFECT_DELAY_MS = 20_000;
const RATE_LIMIT_RETRY_AFTER_MS = 400;

export class FaultyStore {
  readonly tables = new MemoryTables();
  readonly #schedule: Schedule;
  readonly #random: Random;
  #downUntil = 0;
  #slowUntil = 0;
  #rateLimitedUntil = 0;
  #loseResponsesUntil = 0;

  constructor(schedule: Schedule, random: Random) {
    this.#schedule = schedule;
    this.#random = random;
  }

  /** Responds `unavailable` to every request for the given time. */
  makeUnavailableFor(duration: Milliseconds): void {
    this.#downUntil = addTime(this.#schedule.now, duration);
  }

  /** Delays every response for the given time. */
  slowFor(duration: Milliseconds): void {
    this.#slowUntil = addTime(this.#schedule.now, duration);
  }

  /** Responds `rate-limited` to every request for the given time. */
  rateLimitFor(duration: Milliseconds): void {
    this.#rateLimitedUntil = addTime(this.#schedule.now, duration);
  }

  /** Loses the responses to writes for the given time; the writes take effect. */
  loseResponsesFor(duration: Milliseconds): void {
    this.#loseResponsesUntil = addTime(this.#schedule.now, duration);
  }

  read(
    table: string,
    key: string,
    fault: ExchangeFault | undefined,
    reply: (response: ReadResponse) => void,
  ): void {
    const outage = this.#outageResponse();
    if (outage ?? (fault && isResponseLost(fault))) {
      this.#after(this.#delay(), () => {
        reply(outage ?? { kind: 'unavailable' });
      });
      return;
    }
    this.#after(this.#delay(fault), () => {
      const response = this.tables.read(table, key);
      this.#respond(() => {
        reply(response);
      }, fault);
    });
  }

  write(
    operations: readonly TableOperation[],
    fault: ExchangeFault | undefined,
    reply: (response: WriteResponse) => void,
  ): void {
    const outage =
      fault === 'connection-refused'
        ? ({ kind: 'unavailable' } as const)
        : this.#outageResponse();
    if (outage) {
      this.#after(this.#delay(), () => {
        reply(outage);
      });
      return;
    }
    if (this.#schedule.now < this.#loseResponsesUntil) {
      this.#loseResponse(operations, milliseconds(0), reply);
      return;
    }
    if (fault && isResponseLost(fault)) {
      this.#breakOffWrite(operations, fault, reply);
      return;
    }
    this.#after(this.#delay(fault), () => {
      const response = this.tables.write(operations);
      this.#respond(() => {
        reply(response);
      }, fault);
    });
  }

  /** The write takes effect now, late or never, and its sender gets `unknown`. */
  #breakOffWrite(
    operations: readonly TableOperation[],
    fault: ExchangeFault,
    reply: (response: WriteResponse) => void,
  ): void {
    const maxEffectDelay =
      fault === 'reset-mid-answer' ? 0 : MAX_EFFECT_DELAY_MS;
    const effectDelay = milliseconds(
      this.#random.fraction() < 0.5
        ? 0
        : this.#random.integer(0, maxEffectDelay),
    );
    const isNeverApplied =
      fault === 'reset-before-headers' && this.#random.fraction() < 0.3;
    if (isNeverApplied) {
      this.#replyUnknown(reply);
      return;
    }
    this.#loseResponse(operations, effectDelay, reply);
    if (fault === 'late-answer') {
      this.#after(addDelays(STORE_TIMEOUT, effectDelay), () => {
        reply({ kind: 'conflict', operation: 0 });
      });
    }
  }

  #loseResponse(
    operations: readonly TableOperation[],
    effectDelay: Milliseconds,
    reply: (response: WriteResponse) => void,
  ): void {
    this.#after(effectDelay, () => {
      this.tables.write(operations);
    });
    this.#replyUnknown(reply);
  }

  #replyUnknown(reply: (response: WriteResponse) => void): void {
    const wait = this.#random.fraction() < 0.5 ? this.#delay() : STORE_TIMEOUT;
    this.#after(wait, () => {
      reply({ kind: 'unknown' });
    });
  }

  #respond(reply: () => void, fault: ExchangeFault | undefined): void {
    this.#after(this.#delay(), reply);
    if (fault === 'duplicated-answer') {
      this.#after(addDelays(this.#delay(), seconds(1)), reply);
    }
  }

  #outageResponse():
    | { readonly kind: 'unavailable' }
    | { readonly kind: 'rate-limited'; readonly retryAfterMs: number }
    | undefined {
    if (this.#schedule.now < this.#downUntil) {
      return { kind: 'unavailable' };
    }
    return this.#schedule.now < this.#rateLimitedUntil
      ? { kind: 'rate-limited', retryAfterMs: RATE_LIMIT_RETRY_AFTER_MS }
      : undefined;
  }

  #delay(fault?: ExchangeFault): Milliseconds {
    const slow = fault === 'slow' || this.#schedule.now < this.#slowUntil;
    const base = slow ? SLOW_DELAY : milliseconds(0);
    return milliseconds(base + this.#random.integer(1, MAX_DELAY_MS));
  }

  #after(delay: Milliseconds, action: () => void): void {
    this.#schedule.after(delay, action);
  }
}

/** Whether the router gets no usable response within its timeout. */
function isResponseLost(fault: ExchangeFault): boolean {
  return fault !== 'slow' && fault !== 'duplicated-answer';
}

function addDelays(left: Milliseconds, right: Milliseconds): Milliseconds {
  return milliseconds(left + right);
}
