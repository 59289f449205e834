/**
 * Half of the engines run at a tenth of their speed for a minute. Requests that
 * get no first token in time are tried elsewhere while the budget allows, and
 * abandoned attempts go on holding their slot for a while.
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
  /** Offered load as a part of the engines' slots at full speed. */
  readonly load: number;
  readonly seed: number;
}

const routerCount = 17;
const engineCount = 6;
const slots = 10;
const holding = 4000;
const slowdown = 10;
const from = 120_000;
const until = 180_000;
const duration = 360_000;
/** Without an answer for this long an attempt is given up. */
const attemptTimeout = 10_000;
const patience = seconds(40);
/** A request that found no slot asks again after this. */
const askAgain = 100;
/** Longest that a request waits for a slot before it is refused. */
const maxWait = 2000;
const unlimitedBudget = {
  ...DEFAULT_RETRY_BUDGET,
  fraction: Number.MAX_SAFE_INTEGER,
  floor: Number.MAX_SAFE_INTEGER,
};
const maxAttempts = 4;
/** Length of the periods in which recovery is looked for. */
const period = 1000;

interface Engine {
  busy: number;
  readonly slow: boolean;
}

interface Request {
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
  readonly #engines: Engine[] = [];
  /** Failed and all requests that arrived in each period. */
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
    for (let index = 0; index < engineCount; index += 1) {
      this.#engines.push({ busy: 0, slow: index % 2 === 0 });
    }
    for (let index = 0; index < routerCount; index += 1) {
      this.#policies.push({
        budget: new RetryBudget(
          this.#scenario.budget ? DEFAULT_RETRY_BUDGET : unlimitedBudget,
        ),
        backoff: new Backoff(new Random(this.#random.seed())),
        maxAttempts,
      });
    }
    this.#scheduleArrival();
    for (;;) {
      const event = this.#events.take();
      if (!event || event.at > duration) {
        return this.#report();
      }
      this.#now = event.at;
      event.run();
    }
  }

  #scheduleArrival(): void {
    const rate = (engineCount * slots * this.#scenario.load) / holding;
    this.#events.add(this.#now + this.#random.exponential(1 / rate), () => {
      this.#arrive();
      this.#scheduleArrival();
    });
  }

  #arrive(): void {
    const policy = this.#random.pick(this.#policies);
    policy.budget.onRequestStarted(instant(this.#now));
    const work = this.#random.exponential(holding);
    const request = { at: this.#now, work, policy, attempts: 0 };
    if (this.#counted(request)) {
      this.#requests += 1;
    }
    this.#place(request, this.#now);
  }

  /** Requests from the start of the brown-out to its end and a minute after. */
  #counted(request: Request): boolean {
    return request.at >= from && request.at < until + 60_000;
  }

  #place(request: Request, since: number): void {
    const free = this.#engines.filter(engine => engine.busy < slots);
    if (free.length === 0) {
      if (this.#now - since >= maxWait) {
        this.#end(request, false);
        return;
      }
      this.#events.add(this.#now + askAgain, () => {
        this.#place(request, since);
      });
      return;
    }
    this.#send(request, this.#random.pick(free));
  }

  #send(request: Request, engine: Engine): void {
    request.attempts += 1;
    if (this.#counted(request)) {
      this.#attempts += 1;
    }
    engine.busy += 1;
    const length = this.#lengthAt(engine, request.work);
    const givenUp = length > attemptTimeout;
    this.#events.add(this.#now + (givenUp ? attemptTimeout : length), () => {
      if (givenUp) {
        this.#retry(request);
      } else {
        this.#end(request, true);
      }
    });
    // A cancelled attempt is only noticed by the engine with a delay.
    this.#events.add(
      this.#now + (givenUp ? attemptTimeout + 1000 : length),
      () => {
        engine.busy -= 1;
      },
    );
  }

  /** Time for the work when part of it lies in the brown-out. */
  #lengthAt(engine: Engine, work: number): number {
    if (!engine.slow || this.#now >= until) {
      return work;
    }
    const before = Math.min(work, Math.max(0, from - this.#now));
    if (before === work) {
      return work;
    }
    const start = this.#now + before;
    const slowWork = (work - before) * slowdown;
    const inside = Math.min(slowWork, until - start);
    return before + inside + (slowWork - inside) / slowdown;
  }

  #retry(request: Request): void {
    const { policy, attempts } = request;
    const deadline = new Deadline(instant(request.at + patience));
    const decision = decideRetry(
      { outcome: 'unknown', repeatable: true, attempts, deadline },
      policy,
      instant(this.#now),
    );
    if (decision.kind === 'give-up') {
      this.#end(request, false);
      return;
    }
    const since = this.#now + decision.delay;
    this.#events.add(since, () => {
      this.#place(request, since);
    });
  }

  #end(request: Request, succeeded: boolean): void {
    const index = Math.floor(request.at / period);
    const counts = this.#periods.get(index) ?? { failed: 0, all: 0 };
    counts.all += 1;
    counts.failed += succeeded ? 0 : 1;
    this.#periods.set(index, counts);
    if (this.#counted(request)) {
      this.#failed += succeeded ? 0 : 1;
      if (succeeded) {
        this.#latencies.push(this.#now - request.at);
      }
    }
  }

  /** Seconds after the brown-out's end until five periods in a row fail hardly more than before. */
  #recovery(): number {
    const usual = this.#failedPart(60_000 / period, from / period);
    const last = duration / period - 60;
    for (let index = until / period; index < last; index += 1) {
      if (this.#failedPart(index, index + 5) <= usual + 0.05) {
        return (index * period - until) / 1000;
      }
    }
    return Number.POSITIVE_INFINITY;
  }

  #failedPart(first: number, end: number): number {
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
