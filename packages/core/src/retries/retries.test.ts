import { expect } from 'chai';
import fc from 'fast-check';

import { Random } from '../random/random';
import { instant, milliseconds, seconds } from '../types/units';
import { Backoff } from './backoff';
import { Deadline } from './deadline';
import { RetryBudget } from './retry-budget';
import { decideRetry } from './retry-decision';

const start = instant(0);

function policy() {
  return {
    budget: new RetryBudget({ fraction: 0.1, floor: 1, window: seconds(10) }),
    backoff: new Backoff(new Random(1)),
    maxAttempts: 3,
  };
}

describe('RetryBudget', () => {
  it('allows no more retries in a window than the floor plus the fraction of requests', () => {
    fc.assert(
      fc.property(
        fc.array(
          fc.record({
            advance: fc.integer({ min: -500, max: 900 }),
            requests: fc.nat(8),
            retries: fc.nat(8),
          }),
          { maxLength: 60 },
        ),
        steps => {
          const budget = new RetryBudget({
            fraction: 0.1,
            floor: 1,
            window: seconds(1000),
          });
          let now = 0;
          let requests = 0;
          let taken = 0;
          for (const step of steps) {
            now = Math.max(0, now + step.advance);
            for (let count = 0; count < step.requests; count += 1) {
              budget.onRequestStarted(instant(now));
              requests += 1;
            }
            for (let count = 0; count < step.retries; count += 1) {
              taken += budget.take(instant(now)) ? 1 : 0;
            }
            expect(taken).to.be.at.most(1 + 0.1 * requests + 1e-9);
          }
        },
      ),
      { seed: 4, numRuns: 200 },
    );
  });

  it('counts no retries from before the window', () => {
    const { budget } = policy();
    expect(budget.take(start)).to.equal(true);
    expect(budget.take(start)).to.equal(false);
    expect(budget.take(instant(11_000))).to.equal(true);
  });
});

describe('decideRetry', () => {
  const deadline = new Deadline(instant(60_000));

  it('never retries a call that may have run and may not be repeated', () => {
    for (const outcome of ['ran', 'unknown'] as const) {
      const failed = { outcome, repeatable: false, attempts: 1, deadline };
      expect(decideRetry(failed, policy(), start)).to.deep.equal({
        kind: 'give-up',
        cause: 'may-have-run',
      });
    }
  });

  it('retries a call that did not run until attempts, deadline or budget are exhausted', () => {
    const failed = {
      outcome: 'not_run' as const,
      repeatable: false,
      attempts: 1,
      deadline,
    };
    const limits = policy();
    expect(decideRetry(failed, limits, start).kind).to.equal('retry');
    expect(decideRetry(failed, limits, start)).to.include({
      cause: 'budget-exhausted',
    });
    expect(decideRetry({ ...failed, attempts: 3 }, policy(), start)).to.include(
      {
        cause: 'attempts-exhausted',
      },
    );
    expect(decideRetry(failed, policy(), instant(60_000))).to.include({
      cause: 'deadline-exceeded',
    });
  });
});

describe('Backoff', () => {
  it('returns a delay between zero and the upper bound for any retry number', () => {
    fc.assert(
      fc.property(fc.integer(), fc.integer(), (seed, retry) => {
        const backoff = new Backoff(new Random(seed), {
          base: milliseconds(50),
          cap: milliseconds(2000),
        });
        const delay = backoff.delay(retry);
        expect(delay).to.be.at.least(0);
        expect(delay).to.be.at.most(retry <= 0 ? 50 : 2000);
      }),
      { seed: 4 },
    );
  });
});
