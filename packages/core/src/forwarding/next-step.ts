/**
 * Decides what follows the end of an attempt: another endpoint, the endpoint's
 * own answer, or a refusal. Only an end that proves that nothing ran, in every
 * attempt, allows a refusal that promises so.
 */
import type { AttemptResult } from './attempt-result';
import type { Milliseconds } from '../types/units';

/** Attempts that endpoints declined or that never connected, beside those that may have run. */
const MAX_UNRUN_ATTEMPTS = 4;
/** Share of the request's goal that must be left for another attempt to be of use. */
const LEAST_TIME_SHARE = 0.25;

/** What is known when an attempt has ended. */
export interface EndedAttempt {
  readonly result: AttemptResult;
  /** Whether running the request twice does no harm. */
  readonly repeatable: boolean;
  /** Attempts that may have run, this one included. */
  readonly possibleRuns: number;
  /** Attempts that provably did not run, this one included. */
  readonly notRun: number;
  readonly maxAttempts: number;
  /** Endpoints that have not been tried and could take the request. */
  readonly untried: number;
  /** Whether the caller has been given part of an answer. */
  readonly responseBegun: boolean;
  /** Time until the caller or the route gives up. */
  readonly remaining: Milliseconds;
  readonly goal: Milliseconds;
  /** Takes one repeat from the budget of the service; false when none is left. */
  readonly takeRetry: () => boolean;
}

export type GiveUpReason =
  | 'not-run'
  | 'may-have-run'
  | 'timeout'
  /** The answer had begun and cannot go on. */
  | 'cut';

export type NextStep =
  | { readonly kind: 'again' }
  /** The endpoint's whole answer is the caller's. */
  | { readonly kind: 'pass-on' }
  | { readonly kind: 'give-up'; readonly reason: GiveUpReason }
  | { readonly kind: 'done' };

/** Lowest status of an endpoint's own failure. */
const SERVER_FAILURE = 500;

export function nextStep(facts: EndedAttempt): NextStep {
  const { result: end } = facts;
  switch (end.kind) {
    case 'delivered':
    case 'caller-left':
      return { kind: 'done' };
    case 'expired':
      return giveUp(facts.responseBegun ? 'cut' : 'timeout');
    case 'answered':
      return end.status >= SERVER_FAILURE && facts.repeatable && allows(facts)
        ? { kind: 'again' }
        : { kind: 'pass-on' };
    case 'not-connected':
    case 'declined':
      return allowsUnrun(facts) ? { kind: 'again' } : lastWord(facts);
    case 'broken':
    case 'silent':
      return facts.repeatable && allows(facts)
        ? { kind: 'again' }
        : lastWord(facts);
  }
}

function giveUp(reason: GiveUpReason): NextStep {
  return { kind: 'give-up', reason };
}

function lastWord(facts: EndedAttempt): NextStep {
  if (facts.responseBegun) {
    return giveUp('cut');
  }
  return giveUp(facts.possibleRuns > 0 ? 'may-have-run' : 'not-run');
}

function hasTime({ remaining, goal }: EndedAttempt): boolean {
  return remaining > goal * LEAST_TIME_SHARE;
}

function allows(facts: EndedAttempt): boolean {
  return (
    facts.possibleRuns < facts.maxAttempts &&
    facts.untried > 0 &&
    hasTime(facts) &&
    facts.takeRetry()
  );
}

/** An attempt that never left the router costs no endpoint anything. */
function allowsUnrun(facts: EndedAttempt): boolean {
  const mayGoOn =
    facts.notRun <= MAX_UNRUN_ATTEMPTS &&
    facts.untried > 0 &&
    hasTime(facts) &&
    (facts.possibleRuns === 0 || facts.repeatable) &&
    (facts.possibleRuns === 0 || facts.possibleRuns < facts.maxAttempts);
  if (!mayGoOn) {
    return false;
  }
  return facts.result.kind === 'not-connected' || facts.takeRetry();
}
