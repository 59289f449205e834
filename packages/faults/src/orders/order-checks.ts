/** Checks a finished history of orders against what must always hold. */
import type { RequestId } from '@sesamegrade/core/types/ids';
import type { RefusalReason } from '@sesamegrade/core/types/refusal';
import type { Instant } from '@sesamegrade/core/types/units';
import type { Violation } from '../simulation/fault';
import type { Execution } from './order-service';

/** What a caller was told about one request. */
export interface Verdict {
  readonly request: RequestId;
  readonly key: string;
  readonly body: string;
  /** Router process that told it. */
  readonly teller: string;
  readonly began: Instant;
  readonly told: Instant;
  readonly said:
    | { readonly kind: 'answer'; readonly text: string }
    | { readonly kind: 'not_run'; readonly reason: RefusalReason['kind'] }
    | { readonly kind: 'unknown' };
}

/** Returns every broken promise. */
export function checkOrders(
  executions: readonly Execution[],
  verdicts: readonly Verdict[],
): Violation[] {
  return [
    ...checkAtMostOnce(executions),
    ...verdicts.flatMap(verdict => checkVerdict(verdict, executions)),
  ];
}

function checkAtMostOnce(executions: readonly Execution[]): Violation[] {
  const firsts = new Map<string, Execution>();
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
  verdict: Verdict,
  executions: readonly Execution[],
): Violation[] {
  const { said } = verdict;
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
  verdict: Verdict,
  text: string,
  executions: readonly Execution[],
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
  verdict: Verdict,
  reason: RefusalReason['kind'],
  executions: readonly Execution[],
): Violation[] {
  const isRun = (run: Execution) =>
    run.request === verdict.request ||
    (reason !== 'key-conflict' &&
      run.key === verdict.key &&
      run.sender === verdict.teller &&
      run.sentAt >= verdict.began &&
      run.sentAt <= verdict.told);
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
