import { expect } from 'chai';

import { milliseconds } from '../types/units';
import type { AttemptResult } from './attempt-result';
import { nextStep } from './next-step';
import type { EndedAttempt } from './next-step';

const attempt = (fields: Partial<EndedAttempt>): EndedAttempt => ({
  result: { kind: 'not-connected' },
  repeatable: false,
  possibleRuns: 0,
  notRun: 1,
  maxAttempts: 1,
  untried: 2,
  responseStarted: false,
  isContinuable: true,
  remaining: milliseconds(1000),
  goal: milliseconds(200),
  takeRetry: () => true,
  ...fields,
});

const broken: AttemptResult = { kind: 'broken', breakage: 'reset' };
const rejected: AttemptResult = { kind: 'declined', decline: 'full' };

describe('nextStep', () => {
  it('retries a call that did not run at another endpoint, even if it may not be repeated', () => {
    expect(nextStep(attempt({})).kind).to.equal('again');
    expect(nextStep(attempt({ result: rejected })).kind).to.equal('again');
  });

  it('never retries a call that may have run and may not be repeated', () => {
    const results: AttemptResult[] = [
      broken,
      { kind: 'silent' },
      { kind: 'answered', status: 500 },
    ];
    for (const result of results) {
      const step = nextStep(
        attempt({ result, possibleRuns: 1, notRun: 0, maxAttempts: 3 }),
      );
      expect(step.kind).not.to.equal('again');
    }
  });

  it('never runs a stream again that may be complete', () => {
    const step = nextStep(
      attempt({
        result: { kind: 'unproven-end' },
        repeatable: true,
        possibleRuns: 1,
        maxAttempts: 3,
        responseStarted: true,
      }),
    );
    expect(step).to.deep.equal({ kind: 'give-up', reason: 'cut' });
  });

  it('reports a call as not run only if no attempt may have run', () => {
    const lastEndpoint = { untried: 0 };
    expect(
      nextStep(attempt({ result: rejected, ...lastEndpoint })),
    ).to.deep.equal({
      kind: 'give-up',
      reason: 'not-run',
    });
    const afterPossibleRun = attempt({
      result: rejected,
      possibleRuns: 1,
      repeatable: true,
      maxAttempts: 2,
      ...lastEndpoint,
    });
    expect(nextStep(afterPossibleRun)).to.deep.equal({
      kind: 'give-up',
      reason: 'may-have-run',
    });
  });

  it('retries a repeatable call only within its attempts, its remaining time and the budget', () => {
    const failed = attempt({
      result: broken,
      repeatable: true,
      possibleRuns: 1,
      notRun: 0,
      maxAttempts: 2,
    });
    expect(nextStep(failed).kind).to.equal('again');
    expect(nextStep({ ...failed, possibleRuns: 2 }).kind).to.equal('give-up');
    expect(nextStep({ ...failed, remaining: milliseconds(10) }).kind).to.equal(
      'give-up',
    );
    expect(nextStep({ ...failed, takeRetry: () => false }).kind).to.equal(
      'give-up',
    );
  });

  it('passes a server error on when no further attempt is allowed', () => {
    const failed = attempt({
      result: { kind: 'answered', status: 500 },
      repeatable: true,
      possibleRuns: 2,
      maxAttempts: 2,
    });
    expect(nextStep(failed).kind).to.equal('pass-on');
  });

  // Guards against the events of another endpoint behind the part of an error that was passed on.
  it('runs a call again after a part of its response only if another endpoint can go on there', () => {
    const started = attempt({
      result: broken,
      repeatable: true,
      possibleRuns: 1,
      maxAttempts: 2,
      responseStarted: true,
    });
    expect(nextStep(started).kind).to.equal('again');
    expect(nextStep({ ...started, isContinuable: false })).to.deep.equal({
      kind: 'give-up',
      reason: 'cut',
    });
  });

  it('gives up a response that has started and cannot be completed', () => {
    const step = nextStep(
      attempt({ result: broken, possibleRuns: 1, responseStarted: true }),
    );
    expect(step).to.deep.equal({ kind: 'give-up', reason: 'cut' });
  });
});
