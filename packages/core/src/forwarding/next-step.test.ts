import { expect } from 'chai';

import { milliseconds } from '../types/units';
import type { AttemptEnd } from './attempt-end';
import { nextStep } from './next-step';
import type { AttemptFacts } from './next-step';

const facts = (fields: Partial<AttemptFacts>): AttemptFacts => ({
  end: { kind: 'not-connected' },
  repeatable: false,
  runs: 0,
  unrun: 1,
  maxAttempts: 1,
  untried: 2,
  begun: false,
  remaining: milliseconds(1000),
  goal: milliseconds(200),
  takeRepeat: () => true,
  ...fields,
});

const broken: AttemptEnd = { kind: 'broken', breakage: 'reset' };
const full: AttemptEnd = { kind: 'declined', decline: 'full' };

describe('nextStep', () => {
  it('sends a call that did not run to another endpoint, whatever its kind', () => {
    expect(nextStep(facts({})).kind).to.equal('again');
    expect(nextStep(facts({ end: full })).kind).to.equal('again');
  });

  it('never sends a call again that may have run and may not be repeated', () => {
    const ends: AttemptEnd[] = [
      broken,
      { kind: 'silent' },
      { kind: 'answered', status: 500 },
    ];
    for (const end of ends) {
      const step = nextStep(facts({ end, runs: 1, unrun: 0, maxAttempts: 3 }));
      expect(step.kind).not.to.equal('again');
    }
  });

  it('promises that nothing ran only when no attempt may have run', () => {
    const last = { untried: 0 };
    expect(nextStep(facts({ end: full, ...last }))).to.deep.equal({
      kind: 'give-up',
      reason: 'not-run',
    });
    const after = facts({
      end: full,
      runs: 1,
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
      end: broken,
      repeatable: true,
      runs: 1,
      unrun: 0,
      maxAttempts: 2,
    });
    expect(nextStep(base).kind).to.equal('again');
    expect(nextStep({ ...base, runs: 2 }).kind).to.equal('give-up');
    expect(nextStep({ ...base, remaining: milliseconds(10) }).kind).to.equal(
      'give-up',
    );
    expect(nextStep({ ...base, takeRepeat: () => false }).kind).to.equal(
      'give-up',
    );
  });

  it('passes a failure of the endpoint on when no other endpoint may be asked', () => {
    const failed = facts({
      end: { kind: 'answered', status: 500 },
      repeatable: true,
      runs: 2,
      maxAttempts: 2,
    });
    expect(nextStep(failed).kind).to.equal('pass-on');
  });

  it('cuts what has begun and cannot go on', () => {
    const step = nextStep(facts({ end: broken, runs: 1, begun: true }));
    expect(step).to.deep.equal({ kind: 'give-up', reason: 'cut' });
  });
});
