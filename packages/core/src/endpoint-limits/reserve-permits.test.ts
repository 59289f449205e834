import { expect } from 'chai';

import { Random } from '../random/random';
import { endpointId, requestId, serviceId, teamId } from '../types/ids';
import { instant, milliseconds } from '../types/units';
import { ReservePermits } from './reserve-permits';

const WINDOW_MS = 4000;
const SEEDS = 10;

describe('the permits of routers that reach no issuer', () => {
  for (const routers of [5, 18, 370]) {
    for (const perSecond of [0.3, 2.3, 200]) {
      it(`add up to less than ${perSecond} a second at ${routers} routers that all ask, some after a long rest`, () => {
        for (let seed = 1; seed <= SEEDS; seed += 1) {
          const random = new Random(seed);
          const fleet = Array.from(
            { length: routers },
            () => new ReservePermits(random, () => routers),
          );
          const times: number[] = [];
          for (let now = 0; now < 24_000; now += 50) {
            const asking = now < 6000 ? fleet.slice(0, 2) : fleet;
            for (const reserve of asking) {
              const answer = reserve.request(
                {
                  request: requestId('q'),
                  service: serviceId('s'),
                  endpoints: [
                    { id: endpointId('e'), perSecond, concurrent: undefined },
                  ],
                  rank: 0,
                  team: teamId('t'),
                  maxWait: milliseconds(0),
                  lifetime: milliseconds(1000),
                },
                instant(now),
              );
              if (answer.kind === 'granted') {
                times.push(now);
              }
            }
          }
          const most = Math.max(
            0,
            ...times.map(
              from =>
                times.filter(at => at >= from && at < from + WINDOW_MS).length,
            ),
          );
          expect(most).to.be.at.most(perSecond * 4 + 3);
        }
      });
    }
  }
});
