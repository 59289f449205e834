/** Gathers the results of a run and sums them up. */
import type { CallResult } from '../callers/call-result';
import { problemName } from '../callers/problem';
import { GuaranteeAudit } from '../checks/guarantee-audit';
import type { FleetObserver, FleetRecords } from '../measures/fleet-observer';
import { Latencies } from '../measures/latencies';
import { SecondCounts } from '../measures/second-counts';
import type { LoadPlan } from '../plan/load-plan';
import type { LoadSummary, RefusalCount } from './summary';

const MAX_EXAMPLES = 10;
const REFUSED = 'refused ';

export class LoadResults {
  readonly audit = new GuaranteeAudit();
  readonly counts = new SecondCounts();
  readonly firstToken = new Latencies();
  readonly interToken = new Latencies();
  readonly #examples = new Map<string, string>();
  #returning = 0;
  #promptTokens = 0;
  #cachedTokens = 0;

  /**
   * @param name the request, for the examples of what went wrong
   * @param returning whether the request continues a chat that has an answer
   * @param at milliseconds from the start of the run
   */
  record(
    name: string,
    result: CallResult,
    at: number,
    returning = false,
  ): void {
    this.counts.add('requests', at);
    this.counts.add(countName(result), at);
    switch (result.kind) {
      case 'ok':
        this.#recordTimes(result, at, returning);
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
        returningRequests: this.#returning,
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

  /** Keeps the first request of each kind of failure. */
  #addExample(example: string, name: string): void {
    if (!this.#examples.has(example) && this.#examples.size < MAX_EXAMPLES) {
      this.#examples.set(example, name);
    }
  }

  #recordTimes(
    { times }: Extract<CallResult, { kind: 'ok' }>,
    at: number,
    returning: boolean,
  ): void {
    if (!times) {
      return;
    }
    this.firstToken.record(times.firstTokenMs, at);
    for (const gap of times.gapsMs) {
      this.interToken.record(gap, at);
    }
    if (returning && times.usage) {
      this.#returning += 1;
      this.#promptTokens += times.usage.promptTokens;
      this.#cachedTokens += times.usage.cachedTokens;
    }
  }

  #refusals(): RefusalCount[] {
    return this.counts
      .names()
      .filter(name => name.startsWith(REFUSED))
      .map(name => {
        const [type = '', outcome = ''] = name.slice(REFUSED.length).split(' ');
        return { type, outcome, count: this.counts.total(name) };
      });
  }
}

function countName(result: CallResult): string {
  return result.kind === 'refused'
    ? `${REFUSED}${problemName(result.problem)} ${result.problem.outcome}`
    : result.kind;
}
