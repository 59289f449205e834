import { expect } from 'chai';

import { milliseconds } from '../types/units';
import { DurationDistribution } from './duration-distribution';

describe('DurationDistribution', () => {
  function of(durations: readonly number[]): DurationDistribution {
    const distribution = new DurationDistribution();
    for (const duration of durations) {
      distribution.record(milliseconds(duration));
    }
    return distribution;
  }

  // Guards against requests that are refused by a duration that was never observed.
  it('returns 0 before the first duration', () => {
    expect(of([]).quantile(0.1)).to.equal(0);
    expect(of([]).mean).to.equal(0);
  });

  // Guards against a quantile above the true one, which refuses requests that would finish.
  it('returns quantiles that are at most a fifth too low and never too high', () => {
    const durations = Array.from({ length: 50 }, () => [100, 400, 900]).flat();
    const distribution = of(durations);
    expect(distribution.quantile(0.1)).to.be.within(80, 100);
    expect(distribution.quantile(0.5)).to.be.within(320, 400);
    expect(distribution.quantile(0.9)).to.be.within(720, 900);
    expect(distribution.mean).to.be.within(400, 540);
  });

  // Guards against durations of a past overload that still refuse requests.
  it('forgets durations that are followed by a few hundred others', () => {
    const slow = Array.from({ length: 500 }, () => 5000);
    const fast = Array.from({ length: 300 }, () => 20);
    const distribution = of([...slow, ...fast]);
    expect(distribution.quantile(0.9)).to.be.at.most(20);
    expect(distribution.mean).to.be.within(20, 80);
  });

  // Guards against weights that overflow after many requests.
  it('stays finite after many durations, and ignores ones that are not numbers', () => {
    const distribution = of([
      ...Array.from({ length: 100_000 }, () => 50),
      Number.NaN,
      Number.POSITIVE_INFINITY,
      -1,
    ]);
    expect(distribution.mean).to.be.within(49.9, 50.1);
    expect(distribution.quantile(0.5)).to.be.within(40, 50);
  });
});
