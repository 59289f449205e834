/**
 * Decides what follows the end of an attempt: another endpoint, the endpoint's
 * own answer, or a refusal. Only an end that proves that nothing ran, in every
 * attempt, allows a refusal that promises so.
 */
import type { AttemptEnd } from './attempt-end';
import type { Milliseconds } from '../types/units';

/** Attempts that endpoints declined or that never connected, beside those that may have run. */
const MAX_UNRUN_ATTEMPTS = 4;
/** Share of the request's goal that must be left for another attempt to be of use. */
const LEAST_TIME_SHARE = 0.25;

/** What is known when an attempt has ended. */
export interface AttemptFacts {
  readonly end: AttemptEnd;
  /** Whether running the request twice does no harm. */
  readonly repeatable: boolean;
  /** Attempts that may have run, this one included. */
  readonly runs: number;
  /** Attempts that provably did not run, this one included. */
  readonly unrun: number;
  readonly maxAttempts: number;
  /** Endpoints that have not been tried and could take the request. */
  readonly untried: number;
  /** Whether the caller has been given part of an answer. */
  readonly begun: boolean;
  /** Time until the caller or the route gives up. */
  readonly remaining: Milliseconds;
  readonly goal: Milliseconds;
  /** Takes one repeat from the budget of the service; false when none is left. */
  readonly takeRepeat: () => boolean;
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

export function nextStep(facts: AttemptFacts): NextStep {
  const { end } = facts;
  switch (end.kind) {
    case 'delivered':
    case 'caller-left':
      return { kind: 'done' };
    case 'expired':
      return giveUp(facts.begun ? 'cut' : 'timeout');
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

function lastWord(facts: AttemptFacts): NextStep {
  if (facts.begun) {
    return giveUp('cut');
  }
  return giveUp(facts.runs > 0 ? 'may-have-run' : 'not-run');
}

function hasTime({ remaining, goal }: AttemptFacts): boolean {
  return remaining > goal * LEAST_TIME_SHARE;
}

function allows(facts: AttemptFacts): boolean {
  return (
    facts.runs < facts.maxAttempts &&
    facts.untried > 0 &&
    hasTime(facts) &&
    facts.takeRepeat()
  );
}

/** An attempt that never left the router costs no endpoint anything. */
function allowsUnrun(facts: AttemptFacts): boolean {
  const mayGoOn =
    facts.unrun <= MAX_UNRUN_ATTEMPTS &&
    facts.untried > 0 &&
    hasTime(facts) &&
    (facts.runs === 0 || facts.repeatable) &&
    (facts.runs === 0 || facts.runs < facts.maxAttempts);
  if (!mayGoOn) {
    return false;
  }
  return facts.end.kind === 'not-connected' || facts.takeRepeat();
}
