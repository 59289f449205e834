import { expect } from 'chai';

import { runLimit, tolerated } from './limit-run';
import type { LimitRunOptions } from './limit-run';

const SEEDS = 5;

const events = {
  'in calm': {},
  'while the issuer is lost': { leaderLostAt: 20_000 },
  'while all routers restart': { restartAt: 20_000 },
  'with uneven callers': { isUneven: true },
  'with uneven callers while the issuer is lost': {
    isUneven: true,
    leaderLostAt: 20_000,
  },
} as const;

function runs(
  options: Omit<LimitRunOptions, 'seed' | 'isUneven'> & { isUneven?: boolean },
) {
  return Array.from({ length: SEEDS }, (_value, seed) =>
    runLimit({ isUneven: false, ...options, seed: seed + 1 }),
  );
}

// Three times as many requests as an endpoint accepts, at every size of the fleet.
describe('a fleet before an endpoint that accepts a limited rate', () => {
  for (const routers of [5, 18, 370]) {
    for (const perSecond of [0.3, 1.4, 4.6, 40, 200]) {
      for (const [name, event] of Object.entries(events)) {
        it(`stays within ${perSecond} a second with ${routers} routers ${name}, and uses four fifths of it`, () => {
          const results = runs({
            strategy: 'issued permits',
            routers,
            perSecond,
            load: 3,
            ...event,
          });
          const most = Math.max(...results.map(result => result.most));
          expect(most).to.be.at.most(tolerated(perSecond));
          const use =
            results.reduce((sum, result) => sum + result.use, 0) / SEEDS;
          expect(use).to.be.at.least(0.8);
          expect(use).to.be.at.most(1.05);
        });
      }
    }
  }

  // Guards the comparison: without a limit, or with late counts, the same load is too much.
  for (const strategy of ['no limit', 'late counts', 'even shares'] as const) {
    it(`gets too much with ${strategy}`, () => {
      const results = runs({
        strategy,
        routers: 18,
        perSecond: 1.4,
        load: 20,
      });
      const most = Math.max(...results.map(result => result.most));
      expect(most).to.be.greaterThan(tolerated(1.4));
    });
  }
});
