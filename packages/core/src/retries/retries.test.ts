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
  it('never allows more than the floor and the fraction within a window', () => {
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

  it('forgets what lies before its window', () => {
    const { budget } = policy();
    expect(budget.take(start)).to.equal(true);
    expect(budget.take(start)).to.equal(false);
    expect(budget.take(instant(11_000))).to.equal(true);
  });
});

describe('mayRetry', () => {
  const deadline = new Deadline(instant(60_000));

  it('never repeats a call that may have run and is not idempotent', () => {
    for (const outcome of ['ran', 'unknown'] as const) {
      const failed = { outcome, idempotent: false, attempts: 1, deadline };
      expect(decideRetry(failed, policy(), start)).to.deep.equal({
        kind: 'give-up',
        cause: 'may-have-run',
      });
    }
  });

  it('retries a call that was not run, within attempts, deadline and budget', () => {
    const failed = {
      outcome: 'not_run' as const,
      idempotent: false,
      attempts: 1,
      deadline,
    };
    const rules = policy();
    expect(decideRetry(failed, rules, start).kind).to.equal('retry');
    expect(decideRetry(failed, rules, start)).to.include({
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
  it('stays between zero and its ceiling for any attempt number', () => {
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
