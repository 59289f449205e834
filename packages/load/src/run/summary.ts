/** Everything that a load run found, as `--json` prints it. */
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
  /** Cached tokens over prompt tokens; undefined without any request. */
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
  /** First details of answers that were mixed, cut or never came. */
  readonly examples: readonly string[];
}

/** Returns the broken promises by name; empty when all were kept. */
export function violatedGuarantees(summary: LoadSummary): string[] {
  const { audit } = summary;
  const counts = {
    'mixed answers': summary.mixedAnswers,
    'cut answers that look whole': summary.cutAnswersAsWhole,
    'untrue refusals': audit.untrueRefusals.length,
    'double executions': audit.doubleExecutions.length,
    'answers without execution': audit.falseSuccesses.length,
    'requests sent to leaving endpoints': audit.sentToLeaving,
  };
  return Object.entries(counts)
    .filter(([, count]) => count > 0)
    .map(([name, count]) => `${name}: ${count}`);
}
