/** Checks a finished history of orders against what must always hold. */
import type { RequestId } from '@sesamegrade/core/types/ids';
import type { RefusalReason } from '@sesamegrade/core/types/refusal';
import type { Instant } from '@sesamegrade/core/types/units';
import type { Violation } from '../simulation/fault';
import type { ServiceExecution } from './order-service';

/** What a caller was told about one request. */
export interface CallerResult {
  readonly request: RequestId;
  readonly key: string;
  readonly body: string;
  /** Router process that told it. */
  readonly router: string;
  readonly startedAt: Instant;
  readonly endedAt: Instant;
  readonly outcome:
    | { readonly kind: 'answer'; readonly text: string }
    | { readonly kind: 'not_run'; readonly reason: RefusalReason['kind'] }
    | { readonly kind: 'unknown' };
}

/** Returns every broken promise. */
export function checkOrders(
  executions: readonly ServiceExecution[],
  verdicts: readonly CallerResult[],
): Violation[] {
  return [
    ...checkAtMostOnce(executions),
    ...verdicts.flatMap(verdict => checkVerdict(verdict, executions)),
  ];
}

function checkAtMostOnce(executions: readonly ServiceExecution[]): Violation[] {
  const firsts = new Map<string, ServiceExecution>();
  const violations: Violation[] = [];
  for (const execution of executions) {
    const first = firsts.get(execution.key);
    if (first) {
      violations.push({
        promise: 'at-most-once',
        detail: `${execution.key} ran for ${first.request} and ${execution.request}`,
      });
    } else {
      firsts.set(execution.key, execution);
    }
  }
  return violations;
}

function checkVerdict(
  verdict: CallerResult,
  executions: readonly ServiceExecution[],
): Violation[] {
  const { outcome: said } = verdict;
  switch (said.kind) {
    case 'answer':
      return checkAnswer(verdict, said.text, executions);
    case 'not_run':
      return checkNotRun(verdict, said.reason, executions);
    case 'unknown':
      return [];
  }
}

/** An answer comes from a run of the caller's own key and body. */
function checkAnswer(
  verdict: CallerResult,
  text: string,
  executions: readonly ServiceExecution[],
): Violation[] {
  const isOwn = executions.some(
    run =>
      run.text === text && run.key === verdict.key && run.body === verdict.body,
  );
  return isOwn
    ? []
    : [{ promise: 'own-answer', detail: `${verdict.request} got ${text}` }];
}

/**
 * The request itself never ran, and the same router had not sent the order while
 * the request waited on it.
 */
function checkNotRun(
  verdict: CallerResult,
  reason: RefusalReason['kind'],
  executions: readonly ServiceExecution[],
): Violation[] {
  const isRun = (run: ServiceExecution) =>
    run.request === verdict.request ||
    (reason !== 'key-conflict' &&
      run.key === verdict.key &&
      run.sender === verdict.router &&
      run.sentAt >= verdict.startedAt &&
      run.sentAt <= verdict.endedAt);
  const run = executions.find(isRun);
  return run
    ? [
        {
          promise: 'true-outcome',
          detail: `${verdict.request} was told not_run (${reason}) but ${run.request} ran`,
        },
      ]
    : [];
}
