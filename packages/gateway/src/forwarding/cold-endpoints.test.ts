import { expect } from 'chai';

import { ColdFleet, TOLERATED } from './testing/cold-fleet';
import type { ColdFleetOptions, ColdFleetResult } from './testing/cold-fleet';

const LOAD = { warm: 22, cold: 20, perSecond: 400 };
const ALL_COLD = { warm: 0, cold: 42, perSecond: 400 };
const EVENTS = ['listed', 'reopened', 'restarted', 'warm-up'] as const;
const FLEETS = [
  { routers: 131, seeds: [1, 3] },
  { routers: 370, seeds: [1] },
];

type Scenario = Omit<ColdFleetOptions, 'routers' | 'seed' | 'isLimited'>;

/** Runs a scenario with each seed. */
async function run(
  routers: number,
  seeds: readonly number[],
  scenario: Scenario,
  isLimited = true,
): Promise<ColdFleetResult[]> {
  const results: ColdFleetResult[] = [];
  for (const seed of seeds) {
    results.push(
      await new ColdFleet({ ...scenario, routers, seed, isLimited }).run(),
    );
  }
  return results;
}

const mostOf = (results: readonly ColdFleetResult[]) =>
  Math.max(...results.map(({ most }) => most));

// Guards against cold endpoints that crash, as placement prefers empty endpoints and each
// router of a large fleet sends them a few requests at the same time. The load is 400
// requests a second at 42 endpoints, 20 of which turn cold; 9.3 x 1.5 + 5 are tolerated.
describe('a fleet with 20 cold endpoints and 400 requests a second', () => {
  for (const event of EVENTS) {
    it(`breaks the bound without a limit if they are ${event}`, async () => {
      const results = await run(131, [1, 3], { ...LOAD, event }, false);
      expect(mostOf(results)).to.be.greaterThan(TOLERATED);
    });
  }

  for (const { routers, seeds } of FLEETS) {
    for (const event of EVENTS) {
      it(`keeps the bound with ${routers} routers if they are ${event}, and serves the rest elsewhere`, async () => {
        const results = await run(routers, seeds, { ...LOAD, event });
        expect(mostOf(results)).to.be.at.most(TOLERATED);
        for (const { refused, atCold } of results) {
          expect(refused).to.equal(0);
          expect(atCold).to.be.greaterThan(0);
        }
      });
    }

    for (const relays of [1, 2] as const) {
      for (const afterMs of [-1500, 1000]) {
        it(`keeps the bound with ${routers} routers that lose ${relays} of 2 relays at ${afterMs} ms`, async () => {
          const lost = { relays, afterMs };
          const scenario = { ...LOAD, event: 'listed', lost } as const;
          const results = await run(routers, seeds, scenario);
          expect(mostOf(results)).to.be.at.most(TOLERATED);
          expect(results.some(({ refused }) => refused > 0)).to.equal(false);
        });
      }
    }

    for (const split of [0.3, 0.5]) {
      it(`keeps the bound with ${routers} routers that are split into two parts with an issuer each (${split})`, async () => {
        const scenario = { ...LOAD, event: 'listed', split } as const;
        const results = await run(routers, seeds, scenario);
        expect(mostOf(results)).to.be.at.most(TOLERATED);
      });
    }

    it(`keeps the bound with ${routers} routers if all endpoints of the service are cold, and serves as many as it allows`, async () => {
      const scenario = { ...ALL_COLD, event: 'reopened' } as const;
      const results = await run(routers, seeds, scenario);
      expect(mostOf(results)).to.be.at.most(TOLERATED);
      for (const { atCold } of results) {
        // 6.28 permits a second of each endpoint, less the time until the first ones.
        expect(atCold).to.be.at.least(0.8 * 42 * 6.28 * 3);
      }
    });

    // Guards against a request that asks for each cold endpoint in turn: every router would
    // send 20 queries with its first request.
    it(`sends with ${routers} routers at most one query for each of 1,000 requests a second`, async () => {
      const perSecond = 1000;
      const scenario = { ...LOAD, event: 'reopened', perSecond } as const;
      const [result] = await run(routers, [1], scenario);
      expect(result?.most).to.be.at.most(TOLERATED);
      expect(result?.queries).to.be.at.most(perSecond);
    });
  }
});
