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

const BOUND = 1.25;
const NOW = instant(0);

function candidatesOf(loads: readonly number[], capacity = 20): Candidate[] {
  return loads.map((load, index) => ({
    id: endpointId(`engine-${index}`),
    zone: zoneId('zone-a'),
    load,
    capacity,
    weight: 1,
  }));
}

const candidateArbitrary = fc.record({
  load: fc.integer({ min: 0, max: 30 }),
  capacity: fc.integer({ min: 1, max: 30 }),
  weight: fc.double({ min: 0, max: 1, noNaN: true }),
});

describe('Placement with bounded loads', () => {
  it('never chooses an endpoint at its bound, and is saturated only if all are at theirs', () => {
    const placements: Placement[] = [
      new BoundedPlacement(BOUND),
      new AffinityPlacement({ bound: BOUND, skewWeight: 0 }),
      new AffinityPlacement({ bound: BOUND, skewWeight: 1 }),
    ];
    fc.assert(
      fc.property(
        fc.array(candidateArbitrary, { minLength: 1, maxLength: 12 }),
        fc.nat(1000),
        (entries, chat) => {
          const candidates = entries.map((entry, index) => ({
            ...entry,
            id: endpointId(`engine-${index}`),
            zone: zoneId('zone-a'),
          }));
          const limits = new LoadBound(BOUND, candidates);
          const affinityEndpoint = endpointId('engine-0');
          for (const placement of placements) {
            const choice = placement.place(
              {
                chat: chatId(`chat-${chat}`),
                affinityEndpoint,
              },
              candidates,
              NOW,
            );
            const admitted = candidates.filter(entry => limits.admits(entry));
            expect(choice.kind).to.equal(
              admitted.length > 0 ? 'endpoint' : 'saturated',
            );
            if (choice.kind === 'endpoint') {
              expect(admitted.map(entry => entry.id)).to.include(
                choice.endpoint,
              );
            }
          }
        },
      ),
      { seed: 4, numRuns: 500 },
    );
  });

  it('admits the first requests of an idle fleet', () => {
    const limits = new LoadBound(BOUND, candidatesOf([0, 0, 0]));
    expect(candidatesOf([0, 0, 0]).map(entry => limits.limit(entry))).to.eql([
      1, 1, 1,
    ]);
  });

  it('is not saturated by small fractional load estimates', () => {
    const candidates = candidatesOf([1.2, 1.2, 1.2, 1.2, 1.2, 1.2]);
    const placement: Placement = new AffinityPlacement({
      bound: BOUND,
      skewWeight: 0,
    });
    const choice = placement.place({ chat: chatId('chat-1') }, candidates, NOW);
    expect(choice.kind).to.equal('endpoint');
  });

  it('prefers the affinity endpoint, and leaves it earlier at a higher skew weight', () => {
    const candidates = candidatesOf([12, 10, 10, 10, 10, 10]);
    const request = {
      chat: chatId('chat-1'),
      affinityEndpoint: endpointId('engine-0'),
    };
    const reuse: Placement = new AffinityPlacement({
      bound: BOUND,
      skewWeight: 0,
    });
    const even: Placement = new AffinityPlacement({
      bound: BOUND,
      skewWeight: 1,
    });
    expect(reuse.place(request, candidates, NOW)).to.deep.include({
      endpoint: 'engine-0',
      reason: 'returned',
    });
    expect(even.place(request, candidates, NOW)).not.to.deep.include({
      endpoint: 'engine-0',
    });
  });

  it('moves only the chats of a removed endpoint, and distributes chats by capacity', () => {
    const placement: Placement = new RendezvousPlacement();
    const all = candidatesOf([0, 0, 0, 0]).map((entry, index) =>
      index === 0 ? { ...entry, capacity: 40 } : entry,
    );
    let atLargest = 0;
    for (let chat = 0; chat < 2000; chat += 1) {
      const request = { chat: chatId(`chat-${chat}`) };
      const before = placement.place(request, all, NOW);
      const after = placement.place(request, all.slice(0, 3), NOW);
      const stays =
        before.kind === 'endpoint' && before.endpoint !== 'engine-3';
      expect(!stays || JSON.stringify(before) === JSON.stringify(after)).to.be
        .true;
      atLargest +=
        before.kind === 'endpoint' && before.endpoint === 'engine-0' ? 1 : 0;
    }
    expect(atLargest / 2000).to.be.within(0.36, 0.44);
  });

  it('returns no-candidate for an empty list', () => {
    const request = { chat: chatId('chat-1') };
    const placements: Placement[] = [
      new RandomPlacement(new Random(1)),
      new RendezvousPlacement(),
      new BoundedPlacement(BOUND),
      new AffinityPlacement({ bound: BOUND, skewWeight: 0 }),
    ];
    for (const placement of placements) {
      expect(placement.place(request, [], NOW).kind).to.equal('no-candidate');
    }
  });
});

describe('AffinityTable', () => {
  const isKnown = (id: string) => id === 'engine-1' || id === 'engine-2';

  it('prefers a hint that names a known endpoint, and evicts chats beyond its size', () => {
    const table = new AffinityTable(2);
    const first = chatId('chat-1');
    table.record(first, endpointId('engine-1'));
    expect(table.resolve(first, 'engine-2', isKnown)).to.equal('engine-2');
    expect(table.resolve(first, 'elsewhere', isKnown)).to.equal('engine-1');
    table.record(chatId('chat-2'), endpointId('engine-1'));
    table.record(chatId('chat-3'), endpointId('engine-2'));
    expect(table.resolve(first, undefined, isKnown)).to.equal(undefined);
    table.removeEndpoint(endpointId('engine-2'));
    expect(table.size).to.equal(1);
  });
});
