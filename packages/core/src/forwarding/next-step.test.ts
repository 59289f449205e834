import { expect } from 'chai';

import { milliseconds } from '../types/units';
import type { AttemptResult } from './attempt-result';
import { nextStep } from './next-step';
import type { EndedAttempt } from './next-step';

const facts = (fields: Partial<EndedAttempt>): EndedAttempt => ({
  result: { kind: 'not-connected' },
  repeatable: false,
  possibleRuns: 0,
  notRun: 1,
  maxAttempts: 1,
  untried: 2,
  responseBegun: false,
  remaining: milliseconds(1000),
  goal: milliseconds(200),
  takeRetry: () => true,
  ...fields,
});

const broken: AttemptResult = { kind: 'broken', breakage: 'reset' };
const full: AttemptResult = { kind: 'declined', decline: 'full' };

describe('nextStep', () => {
  it('sends a call that did not run to another endpoint, whatever its kind', () => {
    expect(nextStep(facts({})).kind).to.equal('again');
    expect(nextStep(facts({ result: full })).kind).to.equal('again');
  });

  it('never sends a call again that may have run and may not be repeated', () => {
    const ends: AttemptResult[] = [
      broken,
      { kind: 'silent' },
      { kind: 'answered', status: 500 },
    ];
    for (const end of ends) {
      const step = nextStep(
        facts({ result: end, possibleRuns: 1, notRun: 0, maxAttempts: 3 }),
      );
      expect(step.kind).not.to.equal('again');
    }
  });

  it('promises that nothing ran only when no attempt may have run', () => {
    const last = { untried: 0 };
    expect(nextStep(facts({ result: full, ...last }))).to.deep.equal({
      kind: 'give-up',
      reason: 'not-run',
    });
    const after = facts({
      result: full,
      possibleRuns: 1,
      repeatable: true,
      maxAttempts: 2,
      ...last,
    });
    expect(nextStep(after)).to.deep.equal({
      kind: 'give-up',
      reason: 'may-have-run',
    });
  });

  it('repeats a repeatable call within its attempts, its time and the budget', () => {
    const base = facts({
      result: broken,
      repeatable: true,
      possibleRuns: 1,
      notRun: 0,
      maxAttempts: 2,
    });
    expect(nextStep(base).kind).to.equal('again');
    expect(nextStep({ ...base, possibleRuns: 2 }).kind).to.equal('give-up');
    expect(nextStep({ ...base, remaining: milliseconds(10) }).kind).to.equal(
      'give-up',
    );
    expect(nextStep({ ...base, takeRetry: () => false }).kind).to.equal(
      'give-up',
    );
  });

  it('passes a failure of the endpoint on when no other endpoint may be asked', () => {
    const failed = facts({
      result: { kind: 'answered', status: 500 },
      repeatable: true,
      possibleRuns: 2,
      maxAttempts: 2,
    });
    expect(nextStep(failed).kind).to.equal('pass-on');
  });

  it('cuts what has begun and cannot go on', () => {
    const step = nextStep(
      facts({ result: broken, possibleRuns: 1, responseBegun: true }),
    );
    expect(step).to.deep.equal({ kind: 'give-up', reason: 'cut' });
  });
});
