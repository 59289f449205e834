/** Checks the promises about orders in a finished history. */
import type { RequestId } from '@sesamegrade/core/types/ids';
import type { RefusalReason } from '@sesamegrade/core/types/refusal';
import type { Instant } from '@sesamegrade/core/types/units';
import type { Violation } from '../simulation/fault';
import type { ServiceExecution } from './order-service';

/** The result of one request, as its caller got it. */
export interface CallerResult {
  readonly request: RequestId;
  readonly key: string;
  readonly body: string;
  /** Name of the router process that responded. */
  readonly router: string;
  readonly startedAt: Instant;
  readonly endedAt: Instant;
  readonly outcome:
    | { readonly kind: 'answer'; readonly text: string }
    | { readonly kind: 'not_run'; readonly reason: RefusalReason['kind'] }
    | { readonly kind: 'unknown' };
}

/** Returns all violations of the promises. */
export function checkOrders(
  executions: readonly ServiceExecution[],
  results: readonly CallerResult[],
): Violation[] {
  return [
    ...checkAtMostOnce(executions),
    ...results.flatMap(result => checkResult(result, executions)),
  ];
}

function checkAtMostOnce(executions: readonly ServiceExecution[]): Violation[] {
  const firstByKey = new Map<string, ServiceExecution>();
  const violations: Violation[] = [];
  for (const execution of executions) {
    const first = firstByKey.get(execution.key);
    if (first) {
      violations.push({
        promise: 'at-most-once',
        detail: `${execution.key} ran for ${first.request} and ${execution.request}`,
      });
    } else {
      firstByKey.set(execution.key, execution);
    }
  }
  return violations;
}

function checkResult(
  result: CallerResult,
  executions: readonly ServiceExecution[],
): Violation[] {
  const { outcome } = result;
  switch (outcome.kind) {
    case 'answer':
      return checkResponse(result, outcome.text, executions);
    case 'not_run':
      return checkNotRun(result, outcome.reason, executions);
    case 'unknown':
      return [];
  }
}

/** Checks that a response comes from a run of the caller's own key and body. */
function checkResponse(
  result: CallerResult,
  text: string,
  executions: readonly ServiceExecution[],
): Violation[] {
  const isOwn = executions.some(
    run =>
      run.text === text && run.key === result.key && run.body === result.body,
  );
  return isOwn
    ? []
    : [
        {
          promise: 'own-answer',
          detail: `${result.request} got the response ${text}`,
        },
      ];
}

/**
 * Checks that the request itself never ran, and that the same router did not send
 * the order while the request waited for it.
 */
function checkNotRun(
  result: CallerResult,
  reason: RefusalReason['kind'],
  executions: readonly ServiceExecution[],
): Violation[] {
  const isRun = (run: ServiceExecution) =>
    run.request === result.request ||
    (reason !== 'key-conflict' &&
      run.key === result.key &&
      run.sender === result.router &&
      run.sentAt >= result.startedAt &&
      run.sentAt <= result.endedAt);
  const run = executions.find(isRun);
  return run
    ? [
        {
          promise: 'true-outcome',
          detail: `${result.request} was refused as not_run (${reason}) but ${run.request} ran`,
        },
      ]
    : [];
}
