/**
 * The attempts of one request that run at the same time. One whose endpoint is silent stays until
 * another has passed on a part of the response: the endpoint may only be slow, and the other fail.
 */
import type { AttemptResult } from './attempt-result';
import type { NextStep } from './next-step';

/** How an attempt ended, and what its request still allows. */
export interface AttemptEnding {
  readonly step: NextStep;
  readonly result: AttemptResult;
}

export type AttemptDecision =
  /** Another attempt is to be placed at an endpoint; `start` or `onNotPlaced` follows. */
  | { readonly kind: 'place' }
  /** Another attempt may still end well. */
  | { readonly kind: 'wait' }
  /** The request ends like this attempt; those that still run are to be cancelled. */
  | { readonly kind: 'finish'; readonly ending: AttemptEnding }
  /** Nothing runs, and no endpoint takes the request. */
  | { readonly kind: 'unplaced' };

const WAIT: AttemptDecision = { kind: 'wait' };
/** Lowest HTTP status of a server error. */
const MIN_SERVER_ERROR_STATUS = 500;

export class ConcurrentAttempts<Run extends object> {
  /** The attempts whose end was not reported yet, in the order of their start, and whether they are silent. */
  readonly #running = new Map<Run, boolean>();
  #isPlacing = false;
  #isFinished = false;
  /** An attempt that failed while another one ran. */
  #failed: AttemptEnding | undefined;

  get running(): readonly Run[] {
    return [...this.#running.keys()];
  }

  /** Whether an endpoint for another attempt is being looked for. */
  get isPlacing(): boolean {
    return this.#isPlacing;
  }

  get isFinished(): boolean {
    return this.#isFinished;
  }

  /** Whether the request is finished and nothing of it is left. */
  get isSettled(): boolean {
    return this.#isFinished && this.#running.size === 0 && !this.#isPlacing;
  }

  /** Whether another attempt may begin: none runs, or only silent ones. */
  get wantsAnother(): boolean {
    return !this.#isFinished && [...this.#running.values()].every(Boolean);
  }

  /** Another attempt is being placed at an endpoint. */
  startPlacing(): void {
    this.#isPlacing = true;
  }

  /** An attempt was placed, and begins. */
  start(run: Run): void {
    this.#isPlacing = false;
    this.#running.set(run, false);
  }

  /** No endpoint was found for another attempt, or it is not wanted any more. */
  onNotPlaced(): AttemptDecision {
    this.#isPlacing = false;
    if (this.#isFinished || this.#running.size > 0) {
      return WAIT;
    }
    return this.#failed?.step.kind === 'pass-on'
      ? this.#finishAs(this.#failed)
      : { kind: 'unplaced' };
  }

  onSilence(run: Run): void {
    this.#setSilent(run, true);
  }

  onActivity(run: Run): void {
    this.#setSilent(run, false);
  }

  /** An attempt passes on a part of the response; returns the others, which are to be cancelled. */
  takeOver(run: Run): readonly Run[] {
    return this.#running.size > 1
      ? this.running.filter(other => other !== run)
      : [];
  }

  onEnd(run: Run, ending: AttemptEnding): AttemptDecision {
    this.#running.delete(run);
    if (this.#isFinished) {
      return WAIT;
    }
    if (ending.step.kind === 'again') {
      return this.#isPlacing || !this.wantsAnother ? WAIT : { kind: 'place' };
    }
    if (isDecisive(ending)) {
      return this.#finishAs(ending);
    }
    if (!isTakenOver(ending) && this.#failed?.step.kind !== 'pass-on') {
      this.#failed = ending;
    }
    return this.#running.size > 0
      ? WAIT
      : this.#finishAs(this.#failed ?? ending);
  }

  /** The request needs no further attempt. */
  finish(): void {
    this.#isFinished = true;
  }

  #finishAs(ending: AttemptEnding): AttemptDecision {
    this.finish();
    return { kind: 'finish', ending };
  }

  #setSilent(run: Run, isSilent: boolean): void {
    if (this.#running.has(run)) {
      this.#running.set(run, isSilent);
    }
  }
}

/** Whether an attempt was cancelled as another one provides the response. */
export function isTakenOver({
  result,
}: Pick<AttemptEnding, 'result'>): boolean {
  return result.kind === 'silent' || result.kind === 'superseded';
}

/** Whether the request ends with the attempt, also if others run. */
function isDecisive({ step, result }: AttemptEnding): boolean {
  switch (result.kind) {
    case 'delivered':
    case 'caller-left':
    case 'expired':
    case 'stopping':
      return true;
    case 'answered':
      return step.kind === 'pass-on' && result.status < MIN_SERVER_ERROR_STATUS;
    default:
      return false;
  }
}
