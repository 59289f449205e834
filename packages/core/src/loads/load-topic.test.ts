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
const AMPLE_BUDGET = bytes(1000);
const smallFleet = [here, there];
const largeFleet = Array.from({ length: 120 }, (_, index) =>
  routerId(`router-${index}`),
);

interface TopicFixture {
  readonly view: LoadView;
  readonly topic: LoadTopic;
}

/**
 * A router of a fleet in which all `routers` own every endpoint, or each
 * endpoint has one owner.
 */
function fixtureOf(self: RouterId, routers: readonly RouterId[]): TopicFixture {
  const view = new LoadView();
  engines.forEach(engine => {
    view.track(engine, 10);
  });
  const owners = new LoadOwners();
  const topic = new LoadTopic({
    self,
    view,
    owners,
    routers: () => routers,
  });
  return { view, topic };
}

describe('LoadTopic', () => {
  it('sends only changes, the most utilized endpoint first, within the budget', () => {
    const { view, topic } = fixtureOf(here, smallFleet);
    view.onRequestStarted(one, instant(0));
    view.onRequestStarted(two, instant(0));
    view.onRequestStarted(two, instant(0));
    const limited = topic.take(there, bytes(30), instant(1));
    expect(JSON.stringify(limited).length).to.be.at.most(30);
    const other = fixtureOf(there, smallFleet);
    other.topic.receive(here, limited, instant(2));
    expect(other.view.estimate(two, instant(2))).to.equal(2);
    expect(other.view.estimate(one, instant(2))).to.equal(0);
    other.topic.receive(
      here,
      topic.take(there, AMPLE_BUDGET, instant(3)),
      instant(4),
    );
    expect(other.view.estimate(one, instant(4))).to.equal(1);
    expect(topic.take(there, AMPLE_BUDGET, instant(5))).to.eql([]);
  });

  it('converges when messages are lost, duplicated and reordered', () => {
    const step = fc.record({
      by: fc.constantFrom(1, -1),
      engine: fc.nat(2),
      delivery: fc.constantFrom('delivered', 'lost', 'doubled', 'delayed'),
    });
    fc.assert(
      fc.property(fc.array(step, { maxLength: 40 }), steps => {
        const from = fixtureOf(here, smallFleet);
        const to = fixtureOf(there, smallFleet);
        const delayed: (readonly unknown[])[] = [];
        let now = 0;
        for (const { by, engine, delivery } of steps) {
          now += 50;
          const target = engines[engine] ?? one;
          if (by > 0) {
            from.view.onRequestStarted(target, instant(now));
          } else {
            from.view.onRequestEnded(target, instant(now));
          }
          const message = from.topic.take(there, AMPLE_BUDGET, instant(now));
          const copies = { delivered: 1, lost: 0, doubled: 2, delayed: 0 }[
            delivery
          ];
          for (let copy = 0; copy < copies; copy += 1) {
            to.topic.receive(here, message, instant(now));
          }
          if (delivery === 'delayed') {
            delayed.push(message);
          }
        }
        for (const message of delayed.reverse()) {
          to.topic.receive(here, message, instant(now));
        }
        now += 5000;
        const repeat = from.topic.take(there, AMPLE_BUDGET, instant(now));
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

  it('sends only totals of loaded endpoints in a large fleet', () => {
    const owners = new LoadOwners();
    owners.update(largeFleet, engines);
    const [owner] = owners.ownersOf(three);
    const [sender, other] = largeFleet.filter(id => id !== owner);
    if (!owner || !sender || !other) {
      throw new Error('a fleet of 120 has an owner and two more routers');
    }
    const from = fixtureOf(sender, largeFleet);
    from.view.onRequestStarted(three, instant(0));
    expect(from.topic.take(owner, AMPLE_BUDGET, instant(1))).to.eql([]);
    const fromOwner = fixtureOf(owner, largeFleet);
    for (const [engine, running] of [
      [one, 1],
      [two, 1],
      [three, 7],
    ] as const) {
      const report = { running, waiting: 0, observedAt: instant(2) };
      fromOwner.view.applyReport(engine, report, instant(2));
    }
    const totals = fromOwner.topic.take(other, AMPLE_BUDGET, instant(3));
    expect(fromOwner.topic.take(other, AMPLE_BUDGET, instant(4))).to.eql([]);
    const receiver = fixtureOf(other, largeFleet);
    receiver.topic.receive(owner, totals, instant(5));
    expect(receiver.view.estimate(three, instant(5))).to.be.closeTo(7, 0.1);
  });

  it('counts malformed entries and accepts any JSON without failing', () => {
    const { view, topic } = fixtureOf(here, smallFleet);
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
