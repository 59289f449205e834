/** Checks the delivery guarantees: compares the results of callers with the requests that endpoints recorded. */
import type { CallResult } from '../callers/call-result';
import type { FleetRecords } from '../measures/fleet-observer';

/** Identifies one request in the records of the endpoints. */
export type RequestReference =
  | { readonly kind: 'chat'; readonly contentHash: string }
  | { readonly kind: 'lookup'; readonly path: string }
  | { readonly kind: 'order'; readonly key: string };

export interface AuditFindings {
  /** Requests refused as `not_run` although they ran. */
  readonly untrueRefusals: readonly string[];
  /** Idempotency keys whose call ran more than once. */
  readonly doubleExecutions: readonly string[];
  /** Idempotency keys with a successful response whose call never ran. */
  readonly falseSuccesses: readonly string[];
  /** Requests sent to endpoints long after they announced that they are leaving. */
  readonly sentToLeaving: number;
  /** Endpoints whose records could not be read; results that concern them stay unchecked. */
  readonly missingRecords: readonly string[];
}

interface AuditedOrder {
  readonly key: string;
  readonly results: readonly CallResult[];
}

function claimsNotRun(result: CallResult): boolean {
  return (
    result.kind === 'refused' &&
    result.isOnlyAttempt &&
    result.problem.outcome === 'not_run'
  );
}

export class GuaranteeAudit {
  readonly #notRun: RequestReference[] = [];
  readonly #orders: AuditedOrder[] = [];
  /** Ids of requests refused as `not_run` after part of the response arrived, which is untrue by itself. */
  readonly #partialNotRun: string[] = [];

  /** Records the result of a chat request or a lookup. */
  record(reference: RequestReference, result: CallResult): void {
    if (result.kind !== 'refused' || result.problem.outcome !== 'not_run') {
      return;
    }
    if (result.partial) {
      this.#partialNotRun.push(result.problem.requestId);
    } else if (claimsNotRun(result)) {
      this.#notRun.push(reference);
    }
  }

  /** Records the results of all sends of one order. */
  recordOrder(key: string, results: readonly CallResult[]): void {
    this.#orders.push({ key, results });
  }

  findings(records: FleetRecords): AuditFindings {
    const runs = (key: string) => records.executionsByKey.get(key) ?? 0;
    const orders = this.#orders;
    const complete = records.missing.length === 0;
    return {
      untrueRefusals: [
        ...this.#partialNotRun,
        ...this.#notRun
          .filter(reference => ran(reference, records))
          .map(requestName),
        ...orders
          .filter(
            ({ key, results }) => results.every(claimsNotRun) && runs(key) > 0,
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

function ran(reference: RequestReference, records: FleetRecords): boolean {
  switch (reference.kind) {
    case 'chat':
      return records.contentHashes.has(reference.contentHash);
    case 'lookup':
      return records.executedPaths.has(reference.path);
    case 'order':
      return records.executionsByKey.has(reference.key);
  }
}

function requestName(reference: RequestReference): string {
  switch (reference.kind) {
    case 'chat':
      return reference.contentHash;
    case 'lookup':
      return reference.path;
    case 'order':
      return reference.key;
  }
}
