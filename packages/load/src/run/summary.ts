/** Summary of a load run; `--json` prints it as it is. */
import type { AuditFindings } from '../checks/guarantee-audit';
import type { Skew } from '../measures/fleet-observer';
import type { Percentiles } from '../measures/latencies';

/** Refusals of one type and outcome. */
export interface RefusalCount {
  readonly type: string;
  readonly outcome: string;
  readonly count: number;
}

/** Cache reuse of the requests that continue a chat. */
export interface Reuse {
  readonly returningRequests: number;
  /** Cached tokens divided by prompt tokens; undefined without such requests. */
  readonly ratio: number | undefined;
}

export interface LoadSummary {
  readonly seed: number;
  readonly seconds: number;
  readonly requests: number;
  readonly ok: number;
  readonly refusals: readonly RefusalCount[];
  readonly unknown: number;
  readonly mixedAnswers: number;
  readonly cutAnswersAsWhole: number;
  readonly audit: AuditFindings;
  readonly firstTokenMs: Percentiles;
  readonly interTokenMs: Percentiles;
  readonly reuse: Reuse;
  readonly skew: Skew;
  /** Per router; undefined when no router reports it. */
  readonly controlBytesPerSecond: number | undefined;
  /** Examples of responses that were mixed, truncated or never arrived. */
  readonly examples: readonly string[];
}

/** Returns the violated guarantees with their counts; empty when none was violated. */
export function violatedGuarantees(summary: LoadSummary): string[] {
  const { audit } = summary;
  const counts = {
    'mixed responses': summary.mixedAnswers,
    'truncated responses that look complete': summary.cutAnswersAsWhole,
    'false not_run refusals': audit.untrueRefusals.length,
    'double executions': audit.doubleExecutions.length,
    'successes without execution': audit.falseSuccesses.length,
    'requests sent to leaving endpoints': audit.sentToLeaving,
  };
  return Object.entries(counts)
    .filter(([, count]) => count > 0)
    .map(([name, count]) => `${name}: ${count}`);
}
