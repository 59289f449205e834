import { expect } from 'chai';
import fc from 'fast-check';

import type { RouterId } from '../types/ids';
import { endpointId, routerId } from '../types/ids';
import { bytes, instant } from '../types/units';
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

interface Side {
  readonly view: LoadView;
  readonly topic: LoadTopic;
}

function sideOf(self: RouterId, peers: number, watcher?: RouterId): Side {
  const view = new LoadView();
  engines.forEach(engine => {
    view.track(engine, 10);
  });
  const topic = new LoadTopic({
    self,
    view,
    watcher: () => watcher,
    peers: () => peers,
  });
  return { view, topic };
}

describe('LoadTopic', () => {
  it('tells only changes, the fullest endpoint first, within the budget', () => {
    const { view, topic } = sideOf(here, 16);
    view.started(one, instant(0));
    view.started(two, instant(0));
    view.started(two, instant(0));
    const tight = topic.take(there, bytes(30), instant(1));
    expect(JSON.stringify(tight).length).to.be.at.most(30);
    const other = sideOf(there, 16);
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
        const from = sideOf(here, 16);
        const to = sideOf(there, 16);
        const delayed: (readonly unknown[])[] = [];
        let now = 0;
        for (const { by, engine, fate } of steps) {
          now += 50;
          const target = engines[engine] ?? one;
          if (by > 0) {
            from.view.started(target, instant(now));
          } else {
            from.view.finished(target, instant(now));
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
          expect(to.view.estimate(engine, instant(now))).to.equal(
            from.view.ownInFlight(engine),
          );
        }
      }),
      { seed: 4, numRuns: 200 },
    );
  });

  it('tells only the watcher in a large fleet, and the watcher tells totals', () => {
    const from = sideOf(here, 119, there);
    from.view.started(three, instant(0));
    expect(from.topic.take(routerId('router-3'), plenty, instant(1))).to.eql(
      [],
    );
    const watcher = sideOf(there, 119, there);
    const counts = from.topic.take(there, plenty, instant(1));
    watcher.topic.receive(here, counts, instant(2));
    const totals = watcher.topic.take(routerId('router-3'), plenty, instant(3));
    const third = sideOf(routerId('router-3'), 119, there);
    third.topic.receive(there, totals, instant(4));
    expect(third.view.estimate(three, instant(1000))).to.equal(1);
  });

  it('counts malformed entries and survives anything', () => {
    const { view, topic } = sideOf(here, 16);
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
