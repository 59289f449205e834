import { expect } from 'chai';
import fc from 'fast-check';

import type { RouterId } from '../types/ids';
import { endpointId, routerId } from '../types/ids';
import { bytes, instant } from '../types/units';
import { LoadOwners } from './load-owners';
import { LoadTopic } from './load-topic';
import { LoadView } from './load-view';

const engines = [1, 2, 3].map(index => endpointId(`engine-${index}`));
const [one, two, three] = engines as [
  (typeof engines)[0],
  (typeof engines)[0],
  (typeof engines)[0],
];
const here = routerId('router-1');
const there = routerId('router-2');
const plenty = bytes(1000);
const few = [here, there];
const many = Array.from({ length: 120 }, (_, index) =>
  routerId(`router-${index}`),
);

interface Side {
  readonly view: LoadView;
  readonly topic: LoadTopic;
}

/** A router among so many that all of `routers` are keepers, or none but the first. */
function sideOf(self: RouterId, routers: readonly RouterId[]): Side {
  const view = new LoadView();
  engines.forEach(engine => {
    view.track(engine, 10);
  });
  const keepers = new LoadOwners();
  const topic = new LoadTopic({
    self,
    view,
    owners: keepers,
    routers: () => routers,
  });
  return { view, topic };
}

describe('LoadTopic', () => {
  it('tells only changes, the fullest endpoint first, within the budget', () => {
    const { view, topic } = sideOf(here, few);
    view.onRequestStarted(one, instant(0));
    view.onRequestStarted(two, instant(0));
    view.onRequestStarted(two, instant(0));
    const tight = topic.take(there, bytes(30), instant(1));
    expect(JSON.stringify(tight).length).to.be.at.most(30);
    const other = sideOf(there, few);
    other.topic.receive(here, tight, instant(2));
    expect(other.view.estimate(two, instant(2))).to.equal(2);
    expect(other.view.estimate(one, instant(2))).to.equal(0);
    other.topic.receive(
      here,
      topic.take(there, plenty, instant(3)),
      instant(4),
    );
    expect(other.view.estimate(one, instant(4))).to.equal(1);
    expect(topic.take(there, plenty, instant(5))).to.eql([]);
  });

  it('converges when messages are lost, doubled and reordered', () => {
    const step = fc.record({
      by: fc.constantFrom(1, -1),
      engine: fc.nat(2),
      fate: fc.constantFrom('delivered', 'lost', 'doubled', 'delayed'),
    });
    fc.assert(
      fc.property(fc.array(step, { maxLength: 40 }), steps => {
        const from = sideOf(here, few);
        const to = sideOf(there, few);
        const delayed: (readonly unknown[])[] = [];
        let now = 0;
        for (const { by, engine, fate } of steps) {
          now += 50;
          const target = engines[engine] ?? one;
          if (by > 0) {
            from.view.onRequestStarted(target, instant(now));
          } else {
            from.view.onRequestEnded(target, instant(now));
          }
          const message = from.topic.take(there, plenty, instant(now));
          const copies = { delivered: 1, lost: 0, doubled: 2, delayed: 0 }[
            fate
          ];
          for (let copy = 0; copy < copies; copy += 1) {
            to.topic.receive(here, message, instant(now));
          }
          if (fate === 'delayed') {
            delayed.push(message);
          }
        }
        for (const message of delayed.reverse()) {
          to.topic.receive(here, message, instant(now));
        }
        now += 5000;
        const repeat = from.topic.take(there, plenty, instant(now));
        to.topic.receive(here, repeat, instant(now));
        for (const engine of engines) {
          expect(to.view.peersInFlight(engine)).to.equal(
            from.view.ownInFlight(engine),
          );
        }
      }),
      { seed: 4, numRuns: 200 },
    );
  });

  it('tells only totals of loaded endpoints in a large fleet', () => {
    const keepers = new LoadOwners();
    keepers.update(many, engines);
    const [keeper] = keepers.ownersOf(three);
    const [teller, other] = many.filter(id => id !== keeper);
    if (!keeper || !teller || !other) {
      throw new Error('a fleet of 120 has a keeper and two more');
    }
    const from = sideOf(teller, many);
    from.view.onRequestStarted(three, instant(0));
    expect(from.topic.take(keeper, plenty, instant(1))).to.eql([]);
    const keeping = sideOf(keeper, many);
    for (const [engine, running] of [
      [one, 1],
      [two, 1],
      [three, 7],
    ] as const) {
      const report = { running, waiting: 0, observedAt: instant(2) };
      keeping.view.applyReport(engine, report, instant(2));
    }
    const totals = keeping.topic.take(other, plenty, instant(3));
    expect(keeping.topic.take(other, plenty, instant(4))).to.eql([]);
    const third = sideOf(other, many);
    third.topic.receive(keeper, totals, instant(5));
    expect(third.view.estimate(three, instant(5))).to.be.closeTo(7, 0.1);
  });

  it('counts malformed entries and survives anything', () => {
    const { view, topic } = sideOf(here, few);
    fc.assert(
      fc.property(fc.array(fc.jsonValue()), entries => {
        topic.receive(there, entries, instant(1));
        for (const engine of engines) {
          expect(view.estimate(engine, instant(1))).to.be.within(0, 40);
        }
      }),
      { seed: 4, numRuns: 300 },
    );
    expect(topic.receive(there, [null, [1, 'x'], [-1]], instant(2))).to.equal(
      3,
    );
  });
});
