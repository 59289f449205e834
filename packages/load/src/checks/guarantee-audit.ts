/** Compares what callers were told with what the endpoints say ran. */
import type { CallResult } from '../callers/call-result';
import type { FleetRecords } from '../measures/fleet-observer';

/** What a caller was told about one request, and how to find it in the records. */
export type RequestReference =
  | { readonly kind: 'chat'; readonly contentHash: string }
  | { readonly kind: 'lookup'; readonly path: string }
  | { readonly kind: 'order'; readonly key: string };

export interface AuditFindings {
  /** Requests that were called `not_run` and ran. */
  readonly untrueRefusals: readonly string[];
  /** Idempotency keys that ran more than once. */
  readonly doubleExecutions: readonly string[];
  /** Idempotency keys that were answered and never ran. */
  readonly falseSuccesses: readonly string[];
  /** Requests sent to endpoints long after they began to leave. */
  readonly sentToLeaving: number;
  /** Endpoints whose records could not be read, so that claims stay unchecked. */
  readonly missingRecords: readonly string[];
}

interface Order {
  readonly key: string;
  readonly results: readonly CallResult[];
}

function saysNotRun(result: CallResult): boolean {
  return (
    result.kind === 'refused' &&
    result.isOnlyAttempt &&
    result.problem.outcome === 'not_run'
  );
}

export class GuaranteeAudit {
  readonly #notRun: RequestReference[] = [];
  readonly #orders: Order[] = [];
  readonly #atOnce: string[] = [];

  /** Notes the result of a chat or a lookup. */
  record(claim: RequestReference, result: CallResult): void {
    if (result.kind !== 'refused' || result.problem.outcome !== 'not_run') {
      return;
    }
    if (result.partial) {
      this.#atOnce.push(result.problem.requestId);
    } else if (saysNotRun(result)) {
      this.#notRun.push(claim);
    }
  }

  /** Notes the results of every send of one order. */
  recordOrder(key: string, results: readonly CallResult[]): void {
    this.#orders.push({ key, results });
  }

  findings(records: FleetRecords): AuditFindings {
    const runs = (key: string) => records.executionsByKey.get(key) ?? 0;
    const orders = this.#orders;
    const complete = records.missing.length === 0;
    return {
      untrueRefusals: [
        ...this.#atOnce,
        ...this.#notRun.filter(claim => ran(claim, records)).map(claimName),
        ...orders
          .filter(
            ({ key, results }) => results.every(saysNotRun) && runs(key) > 0,
          )
          .map(({ key }) => key),
      ],
      doubleExecutions: [...records.executionsByKey]
        .filter(([, count]) => count > 1)
        .map(([key]) => key),
      falseSuccesses: orders
        .filter(({ results }) => results.some(result => result.kind === 'ok'))
        .filter(({ key }) => complete && runs(key) === 0)
        .map(({ key }) => key),
      sentToLeaving: records.sentLate,
      missingRecords: records.missing,
    };
  }
}

function ran(claim: RequestReference, records: FleetRecords): boolean {
  switch (claim.kind) {
    case 'chat':
      return records.contentHashes.has(claim.contentHash);
    case 'lookup':
      return records.executedPaths.has(claim.path);
    case 'order':
      return records.executionsByKey.has(claim.key);
  }
}

function claimName(claim: RequestReference): string {
  switch (claim.kind) {
    case 'chat':
      return claim.contentHash;
    case 'lookup':
      return claim.path;
    case 'order':
      return claim.key;
  }
}
