import { expect } from 'chai';
import fc from 'fast-check';

import { Random } from '../random/random';
import { chatId, endpointId, zoneId } from '../types/ids';
import { instant } from '../types/units';
import { BoundedPlacement } from './bounded-placement';
import type { Candidate } from './candidate';
import { AffinityTable } from './affinity-table';
import { LoadBound } from './load-bound';
import type { Placement } from './placement';
import { RandomPlacement } from './random-placement';
import { RendezvousPlacement } from './rendezvous-placement';
import { AffinityPlacement } from './affinity-placement';

const bound = 1.25;
const now = instant(0);

function candidatesOf(loads: readonly number[], capacity = 20): Candidate[] {
  return loads.map((load, index) => ({
    id: endpointId(`engine-${index}`),
    zone: zoneId('zone-a'),
    load,
    capacity,
    weight: 1,
  }));
}

const candidate = fc.record({
  load: fc.integer({ min: 0, max: 30 }),
  capacity: fc.integer({ min: 1, max: 30 }),
  weight: fc.double({ min: 0, max: 1, noNaN: true }),
});

describe('Placement below a bound', () => {
  it('never puts an endpoint above its bound, and is saturated only when all are at it', () => {
    const ways: Placement[] = [
      new BoundedPlacement(bound),
      new AffinityPlacement({ bound, skewWeight: 0 }),
      new AffinityPlacement({ bound, skewWeight: 1 }),
    ];
    fc.assert(
      fc.property(
        fc.array(candidate, { minLength: 1, maxLength: 12 }),
        fc.nat(1000),
        (entries, chat) => {
          const candidates = entries.map((entry, index) => ({
            ...entry,
            id: endpointId(`engine-${index}`),
            zone: zoneId('zone-a'),
          }));
          const limits = new LoadBound(bound, candidates);
          const lastPlace = endpointId('engine-0');
          for (const way of ways) {
            const choice = way.place(
              { chat: chatId(`chat-${chat}`), affinityEndpoint: lastPlace },
              candidates,
              now,
            );
            const open = candidates.filter(entry => limits.admits(entry));
            expect(choice.kind).to.equal(
              open.length > 0 ? 'endpoint' : 'saturated',
            );
            if (choice.kind === 'endpoint') {
              expect(open.map(entry => entry.id)).to.include(choice.endpoint);
            }
          }
        },
      ),
      { seed: 4, numRuns: 500 },
    );
  });

  it('lets an idle fleet take its first requests', () => {
    const limits = new LoadBound(bound, candidatesOf([0, 0, 0]));
    expect(candidatesOf([0, 0, 0]).map(entry => limits.limit(entry))).to.eql([
      1, 1, 1,
    ]);
  });

  it('is not saturated by small fractional estimates', () => {
    const candidates = candidatesOf([1.2, 1.2, 1.2, 1.2, 1.2, 1.2]);
    const way: Placement = new AffinityPlacement({ bound, skewWeight: 0 });
    const choice = way.place({ chat: chatId('chat-1') }, candidates, now);
    expect(choice.kind).to.equal('endpoint');
  });

  it('goes back to the last place, and leaves it earlier when skew weighs more', () => {
    const candidates = candidatesOf([12, 10, 10, 10, 10, 10]);
    const request = {
      chat: chatId('chat-1'),
      affinityEndpoint: endpointId('engine-0'),
    };
    const reuse: Placement = new AffinityPlacement({ bound, skewWeight: 0 });
    const even: Placement = new AffinityPlacement({ bound, skewWeight: 1 });
    expect(reuse.place(request, candidates, now)).to.deep.include({
      endpoint: 'engine-0',
      reason: 'returned',
    });
    expect(even.place(request, candidates, now)).not.to.deep.include({
      endpoint: 'engine-0',
    });
  });

  it('moves only the chats of an endpoint that leaves, and shares by capacity', () => {
    const way: Placement = new RendezvousPlacement();
    const all = candidatesOf([0, 0, 0, 0]).map((entry, index) =>
      index === 0 ? { ...entry, capacity: 40 } : entry,
    );
    let atLargest = 0;
    for (let chat = 0; chat < 2000; chat += 1) {
      const request = { chat: chatId(`chat-${chat}`) };
      const before = way.place(request, all, now);
      const after = way.place(request, all.slice(0, 3), now);
      const stays =
        before.kind === 'endpoint' && before.endpoint !== 'engine-3';
      expect(!stays || JSON.stringify(before) === JSON.stringify(after)).to.be
        .true;
      atLargest +=
        before.kind === 'endpoint' && before.endpoint === 'engine-0' ? 1 : 0;
    }
    expect(atLargest / 2000).to.be.within(0.36, 0.44);
  });

  it('says that there is no candidate', () => {
    const request = { chat: chatId('chat-1') };
    const ways: Placement[] = [
      new RandomPlacement(new Random(1)),
      new RendezvousPlacement(),
      new BoundedPlacement(bound),
      new AffinityPlacement({ bound, skewWeight: 0 }),
    ];
    for (const way of ways) {
      expect(way.place(request, [], now).kind).to.equal('no-candidate');
    }
  });
});

describe('LastPlaces', () => {
  const known = (id: string) => id === 'engine-1' || id === 'engine-2';

  it('prefers a hint that names a known endpoint and stays within its size', () => {
    const places = new AffinityTable(2);
    const first = chatId('chat-1');
    places.record(first, endpointId('engine-1'));
    expect(places.resolve(first, 'engine-2', known)).to.equal('engine-2');
    expect(places.resolve(first, 'elsewhere', known)).to.equal('engine-1');
    places.record(chatId('chat-2'), endpointId('engine-1'));
    places.record(chatId('chat-3'), endpointId('engine-2'));
    expect(places.resolve(first, undefined, known)).to.equal(undefined);
    places.removeEndpoint(endpointId('engine-2'));
    expect(places.size).to.equal(1);
  });
});
