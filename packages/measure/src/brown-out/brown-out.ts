/**
 * Simulates a brown-out: half of the engines run at a tenth of their speed for a
 * minute. Attempts that time out are retried as far as the retry budget allows,
 * and a cancelled attempt occupies its slot until the engine notices.
 */
import { Random } from '@sesamegrade/core/random/random';
import { Backoff } from '@sesamegrade/core/retries/backoff';
import { Deadline } from '@sesamegrade/core/retries/deadline';
import {
  RetryBudget,
  DEFAULT_RETRY_BUDGET,
} from '@sesamegrade/core/retries/retry-budget';
import { decideRetry } from '@sesamegrade/core/retries/retry-decision';
import type { RetryPolicy } from '@sesamegrade/core/retries/retry-decision';
import { instant, seconds } from '@sesamegrade/core/types/units';
import { EventQueue } from '../placement/event-queue';
import { quantile, rounded } from '../report/figures';
import type { FigureRow } from '../report/figures';

export interface BrownOutScenario {
  readonly budget: boolean;
  /** Offered load as a fraction of the engines' capacity at full speed. */
  readonly load: number;
  readonly seed: number;
}

const ROUTER_COUNT = 17;
const ENGINE_COUNT = 6;
const SLOTS_PER_ENGINE = 10;
const MEAN_HOLDING_MS = 4000;
const SLOWDOWN_FACTOR = 10;
const BROWN_OUT_START_MS = 120_000;
const BROWN_OUT_END_MS = 180_000;
const DURATION_MS = 360_000;
/** An attempt without a complete response after this time is cancelled. */
const ATTEMPT_TIMEOUT_MS = 10_000;
const CALLER_TIMEOUT = seconds(40);
/** A request that found no free slot looks for one again after this time. */
const PLACEMENT_RETRY_MS = 100;
/** Maximum wait for a free slot before a request is refused. */
const MAX_QUEUE_WAIT_MS = 2000;
const UNLIMITED_BUDGET = {
  ...DEFAULT_RETRY_BUDGET,
  fraction: Number.MAX_SAFE_INTEGER,
  floor: Number.MAX_SAFE_INTEGER,
};
const MAX_ATTEMPTS = 4;
/** Length of the periods for which failures are counted. */
const REPORT_PERIOD_MS = 1000;

interface BrownOutEngine {
  busy: number;
  readonly slow: boolean;
}

interface BrownOutRequest {
  readonly at: number;
  readonly work: number;
  readonly policy: RetryPolicy;
  attempts: number;
}

class BrownOutRun {
  readonly #scenario: BrownOutScenario;
  readonly #random: Random;
  readonly #events = new EventQueue();
  readonly #policies: RetryPolicy[] = [];
  readonly #engines: BrownOutEngine[] = [];
  /** Failed and total requests by the period of their arrival. */
  readonly #periods = new Map<number, { failed: number; all: number }>();
  readonly #latencies: number[] = [];
  #now = 0;
  #requests = 0;
  #attempts = 0;
  #failed = 0;

  constructor(scenario: BrownOutScenario) {
    this.#scenario = scenario;
    this.#random = new Random(scenario.seed);
  }

  run(): FigureRow {
    for (let index = 0; index < ENGINE_COUNT; index += 1) {
      this.#engines.push({ busy: 0, slow: index % 2 === 0 });
    }
    for (let index = 0; index < ROUTER_COUNT; index += 1) {
      this.#policies.push({
        budget: new RetryBudget(
          this.#scenario.budget ? DEFAULT_RETRY_BUDGET : UNLIMITED_BUDGET,
        ),
        backoff: new Backoff(new Random(this.#random.seed())),
        maxAttempts: MAX_ATTEMPTS,
      });
    }
    this.#scheduleArrival();
    for (;;) {
      const event = this.#events.take();
      if (!event || event.at > DURATION_MS) {
        return this.#report();
      }
      this.#now = event.at;
      event.run();
    }
  }

  #scheduleArrival(): void {
    const rate =
      (ENGINE_COUNT * SLOTS_PER_ENGINE * this.#scenario.load) / MEAN_HOLDING_MS;
    this.#events.add(this.#now + this.#random.exponential(1 / rate), () => {
      this.#onArrival();
      this.#scheduleArrival();
    });
  }

  #onArrival(): void {
    const policy = this.#random.pick(this.#policies);
    policy.budget.onRequestStarted(instant(this.#now));
    const work = this.#random.exponential(MEAN_HOLDING_MS);
    const request = { at: this.#now, work, policy, attempts: 0 };
    if (this.#isCounted(request)) {
      this.#requests += 1;
    }
    this.#place(request, this.#now);
  }

  /** Only requests from the start of the brown-out to a minute after its end count. */
  #isCounted(request: BrownOutRequest): boolean {
    return (
      request.at >= BROWN_OUT_START_MS && request.at < BROWN_OUT_END_MS + 60_000
    );
  }

  #place(request: BrownOutRequest, queuedAt: number): void {
    const free = this.#engines.filter(engine => engine.busy < SLOTS_PER_ENGINE);
    if (free.length === 0) {
      if (this.#now - queuedAt >= MAX_QUEUE_WAIT_MS) {
        this.#finish(request, false);
        return;
      }
      this.#events.add(this.#now + PLACEMENT_RETRY_MS, () => {
        this.#place(request, queuedAt);
      });
      return;
    }
    this.#send(request, this.#random.pick(free));
  }

  #send(request: BrownOutRequest, engine: BrownOutEngine): void {
    request.attempts += 1;
    if (this.#isCounted(request)) {
      this.#attempts += 1;
    }
    engine.busy += 1;
    const serviceTime = this.#serviceTime(engine, request.work);
    const isTimedOut = serviceTime > ATTEMPT_TIMEOUT_MS;
    this.#events.add(
      this.#now + (isTimedOut ? ATTEMPT_TIMEOUT_MS : serviceTime),
      () => {
        if (isTimedOut) {
          this.#retry(request);
        } else {
          this.#finish(request, true);
        }
      },
    );
    // The engine notices a cancelled attempt only after a delay.
    this.#events.add(
      this.#now + (isTimedOut ? ATTEMPT_TIMEOUT_MS + 1000 : serviceTime),
      () => {
        engine.busy -= 1;
      },
    );
  }

  /** Time that the engine needs for the work if part of it falls into the brown-out. */
  #serviceTime(engine: BrownOutEngine, work: number): number {
    if (!engine.slow || this.#now >= BROWN_OUT_END_MS) {
      return work;
    }
    const before = Math.min(work, Math.max(0, BROWN_OUT_START_MS - this.#now));
    if (before === work) {
      return work;
    }
    const start = this.#now + before;
    const slowWork = (work - before) * SLOWDOWN_FACTOR;
    const inside = Math.min(slowWork, BROWN_OUT_END_MS - start);
    return before + inside + (slowWork - inside) / SLOWDOWN_FACTOR;
  }

  #retry(request: BrownOutRequest): void {
    const { policy, attempts } = request;
    const deadline = new Deadline(instant(request.at + CALLER_TIMEOUT));
    const decision = decideRetry(
      { outcome: 'unknown', repeatable: true, attempts, deadline },
      policy,
      instant(this.#now),
    );
    if (decision.kind === 'give-up') {
      this.#finish(request, false);
      return;
    }
    const queuedAt = this.#now + decision.delay;
    this.#events.add(queuedAt, () => {
      this.#place(request, queuedAt);
    });
  }

  #finish(request: BrownOutRequest, succeeded: boolean): void {
    const index = Math.floor(request.at / REPORT_PERIOD_MS);
    const counts = this.#periods.get(index) ?? { failed: 0, all: 0 };
    counts.all += 1;
    counts.failed += succeeded ? 0 : 1;
    this.#periods.set(index, counts);
    if (this.#isCounted(request)) {
      this.#failed += succeeded ? 0 : 1;
      if (succeeded) {
        this.#latencies.push(this.#now - request.at);
      }
    }
  }

  /**
   * Seconds from the end of the brown-out until the failure rate of five periods
   * in a row is at most five percentage points above that before the brown-out.
   */
  #recovery(): number {
    const baseline = this.#failedFraction(
      60_000 / REPORT_PERIOD_MS,
      BROWN_OUT_START_MS / REPORT_PERIOD_MS,
    );
    const last = DURATION_MS / REPORT_PERIOD_MS - 60;
    for (
      let index = BROWN_OUT_END_MS / REPORT_PERIOD_MS;
      index < last;
      index += 1
    ) {
      if (this.#failedFraction(index, index + 5) <= baseline + 0.05) {
        return (index * REPORT_PERIOD_MS - BROWN_OUT_END_MS) / 1000;
      }
    }
    return Number.POSITIVE_INFINITY;
  }

  #failedFraction(first: number, end: number): number {
    let failed = 0;
    let all = 0;
    for (let index = first; index < end; index += 1) {
      failed += this.#periods.get(index)?.failed ?? 0;
      all += this.#periods.get(index)?.all ?? 0;
    }
    return failed / Math.max(1, all);
  }

  #report(): FigureRow {
    const { budget, load } = this.#scenario;
    return {
      load,
      budget: budget ? 'yes' : 'no',
      requests: this.#requests,
      'attempts / requests': rounded(this.#attempts / this.#requests, 3),
      'failed %': rounded((100 * this.#failed) / this.#requests, 1),
      'latency p95 s': rounded(quantile(this.#latencies, 0.95) / 1000, 1),
      'recovered after s': this.#recovery(),
    };
  }
}

export function measureBrownOut(seed: number): FigureRow[] {
  const rows: FigureRow[] = [];
  for (const load of [0.4, 0.7]) {
    for (const budget of [false, true]) {
      for (const run of [0, 1, 2]) {
        const varied = { load, budget, seed: seed * 1000 + run };
        rows.push(new BrownOutRun(varied).run());
      }
    }
  }
  return rows;
}
