/** Collects the results of the requests of a run and summarises them. */
import type { CallResult } from '../callers/call-result';
import { problemName } from '../callers/problem';
import { GuaranteeAudit } from '../checks/guarantee-audit';
import type { FleetObserver, FleetRecords } from '../measures/fleet-observer';
import { Latencies } from '../measures/latencies';
import { SecondCounts } from '../measures/second-counts';
import type { LoadPlan } from '../plan/load-plan';
import type { LoadSummary, RefusalCount } from './summary';

const MAX_EXAMPLES = 10;
const REFUSED_PREFIX = 'refused ';

export class LoadResults {
  readonly audit = new GuaranteeAudit();
  readonly counts = new SecondCounts();
  readonly firstToken = new Latencies();
  readonly interToken = new Latencies();
  readonly #examples = new Map<string, string>();
  #returningRequests = 0;
  #promptTokens = 0;
  #cachedTokens = 0;

  /**
   * @param name id of the request, for the examples of failures
   * @param isReturning whether the request continues a chat that has a response
   * @param at milliseconds from the start of the run
   */
  record(
    name: string,
    result: CallResult,
    at: number,
    isReturning = false,
  ): void {
    this.counts.add('requests', at);
    this.counts.add(countName(result), at);
    switch (result.kind) {
      case 'ok':
        this.#recordTimes(result, at, isReturning);
        break;
      case 'refused':
        this.counts.add('refusals', at);
        break;
      case 'unknown':
      case 'mixed':
      case 'cut-as-whole':
        this.#addExample(`${result.kind}: ${result.detail}`, name);
        break;
    }
  }

  summary(
    plan: LoadPlan,
    observer: FleetObserver,
    records: FleetRecords,
  ): LoadSummary {
    return {
      seed: plan.seed,
      seconds: plan.seconds,
      requests: this.counts.total('requests'),
      ok: this.counts.total('ok'),
      refusals: this.#refusals(),
      unknown: this.counts.total('unknown'),
      mixedAnswers: this.counts.total('mixed'),
      cutAnswersAsWhole: this.counts.total('cut-as-whole'),
      audit: this.audit.findings(records),
      firstTokenMs: this.firstToken.overall(),
      interTokenMs: this.interToken.overall(),
      reuse: {
        returningRequests: this.#returningRequests,
        ratio:
          this.#promptTokens === 0
            ? undefined
            : this.#cachedTokens / this.#promptTokens,
      },
      skew: observer.skew(),
      controlBytesPerSecond: observer.controlBytesPerSecond(),
      examples: [...this.#examples].map(
        ([example, name]) => `${name} ${example}`,
      ),
    };
  }

  /** Stores the first request of each kind of failure. */
  #addExample(example: string, name: string): void {
    if (!this.#examples.has(example) && this.#examples.size < MAX_EXAMPLES) {
      this.#examples.set(example, name);
    }
  }

  #recordTimes(
    { times }: Extract<CallResult, { kind: 'ok' }>,
    at: number,
    isReturning: boolean,
  ): void {
    if (!times) {
      return;
    }
    this.firstToken.record(times.firstTokenMs, at);
    for (const gap of times.gapsMs) {
      this.interToken.record(gap, at);
    }
    if (isReturning && times.usage) {
      this.#returningRequests += 1;
      this.#promptTokens += times.usage.promptTokens;
      this.#cachedTokens += times.usage.cachedTokens;
    }
  }

  #refusals(): RefusalCount[] {
    return this.counts
      .names()
      .filter(name => name.startsWith(REFUSED_PREFIX))
      .map(name => {
        const [type = '', outcome = ''] = name
          .slice(REFUSED_PREFIX.length)
          .split(' ');
        return { type, outcome, count: this.counts.total(name) };
      });
  }
}

function countName(result: CallResult): string {
  return result.kind === 'refused'
    ? `${REFUSED_PREFIX}${problemName(result.problem)} ${result.problem.outcome}`
    : result.kind;
}
