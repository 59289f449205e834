import { expect } from 'chai';
import fc from 'fast-check';

import { endpointId } from '../types/ids';
import { instant } from '../types/units';
import { StatedRates } from './stated-rates';

const endpoint = { id: endpointId('e'), startedAt: 5 };
const START = instant(0);

const limit = (perSecond: number) => ({ kind: 'limit', perSecond }) as const;
const none = { kind: 'none' } as const;

describe('the limits that endpoints state', () => {
  it('holds from the first response that names it until a later request is answered without', () => {
    const limits = new StatedRates();
    limits.onStatement(endpoint, limit(2.5), START, instant(100));
    expect(limits.perSecond(endpoint)).to.equal(2.5);
    limits.onStatement(endpoint, none, instant(200), instant(300));
    expect(limits.perSecond(endpoint)).to.equal(undefined);
  });

  it('survives the response to a request that was sent before it was stated', () => {
    const limits = new StatedRates();
    limits.onStatement(endpoint, limit(2), START, instant(100));
    limits.onStatement(endpoint, none, instant(50), instant(900));
    expect(limits.perSecond(endpoint)).to.equal(2);
  });

  it('is not the limit of an instance that started later', () => {
    const limits = new StatedRates();
    limits.onStatement(endpoint, limit(2), START, START);
    expect(limits.perSecond({ ...endpoint, startedAt: 6 })).to.equal(undefined);
    limits.onStatement(
      { ...endpoint, startedAt: 6 },
      limit(9),
      START,
      instant(1),
    );
    limits.onStatement(endpoint, limit(2), START, instant(2));
    expect(limits.perSecond({ ...endpoint, startedAt: 6 })).to.equal(9);
  });

  it('ignores malformed values, and takes one above every load for none', () => {
    const limits = new StatedRates();
    limits.onStatement(endpoint, limit(2), START, START);
    limits.onStatement(endpoint, { kind: 'malformed' }, instant(1), instant(2));
    expect(limits.perSecond(endpoint)).to.equal(2);
    limits.onStatement(endpoint, limit(1e9), instant(3), instant(4));
    expect(limits.perSecond(endpoint)).to.equal(undefined);
    expect(limits.receive([['e', 5, 3, -1], ['e']], true, START)).to.equal(2);
  });

  it('is the same at all routers once every change was exchanged in any order', () => {
    const statement = fc.oneof(
      fc.constant(none),
      fc.integer({ min: 0, max: 5 }).map(limit),
    );
    const step = fc.record({
      router: fc.nat(2),
      statement,
      startedAt: fc.integer({ min: 5, max: 6 }),
    });
    const message = fc.record({ from: fc.nat(2), to: fc.nat(2) });
    fc.assert(
      fc.property(
        fc.array(fc.oneof(step, message), { maxLength: 40 }),
        steps => {
          const routers = [0, 1, 2].map(() => new StatedRates());
          steps.forEach((each, index) => {
            const now = instant(index);
            if ('from' in each) {
              routers[each.to]?.receive(
                routers[each.from]?.fullState(),
                true,
                now,
              );
              return;
            }
            routers[each.router]?.onStatement(
              { id: endpoint.id, startedAt: each.startedAt },
              each.statement,
              now,
              now,
            );
          });
          for (const from of [...routers, ...routers]) {
            for (const to of routers) {
              to.receive(from.fullState(), true, instant(100));
            }
          }
          const states = routers.map(each => JSON.stringify(each.fullState()));
          expect(new Set(states).size).to.equal(1);
        },
      ),
      { seed: 35, numRuns: 300 },
    );
  });
});
