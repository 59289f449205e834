import { expect } from 'chai';
import fc from 'fast-check';

import { endpointId, routerId } from '../types/ids';
import { instant, milliseconds } from '../types/units';
import { MAX_CAPACITY_MULTIPLE } from './load-report';
import { LoadView } from './load-view';

const engine = endpointId('engine-1');
const peer = routerId('router-2');
const CAPACITY = 10;
const SETTINGS = {
  peerDelay: milliseconds(0),
  averaging: milliseconds(1000),
  averagingWithoutCounts: milliseconds(1000),
  reportDecay: milliseconds(Number.POSITIVE_INFINITY),
  peerHorizon: milliseconds(15_000),
};

function trackedView(): LoadView {
  const view = new LoadView(SETTINGS);
  view.track(engine, CAPACITY);
  return view;
}

describe('LoadView', () => {
  it('neither loses nor double-counts a request sent within the lag of a report', () => {
    const view = trackedView();
    view.onRequestStarted(engine, instant(100));
    view.onRequestStarted(engine, instant(2500));
    const late = { running: 4, waiting: 0, observedAt: instant(2000) };
    view.applyReport(engine, late, instant(3000));
    expect(view.estimate(engine, instant(3000))).to.equal(5);
    const next = { running: 5, waiting: 0, observedAt: instant(2600) };
    view.applyReport(engine, next, instant(3600));
    expect(view.estimate(engine, instant(3600))).to.equal(5);
  });

  it('retains the newest count of a peer when messages are reordered', () => {
    const view = trackedView();
    expect(view.applyPeerCount(peer, engine, 3, 2, instant(10))).to.equal(true);
    expect(view.applyPeerCount(peer, engine, 1, 1, instant(20))).to.equal(
      false,
    );
    expect(view.estimate(engine, instant(30))).to.equal(3);
    view.removePeer(peer);
    expect(view.estimate(engine, instant(40))).to.equal(0);
  });

  it('expires the counts of a peer that stops sending', () => {
    const view = trackedView();
    view.applyPeerCount(peer, engine, 3, 1, instant(0));
    view.expire(instant(15_000));
    expect(view.estimate(engine, instant(15_000))).to.equal(3);
    view.expire(instant(15_001));
    expect(view.estimate(engine, instant(15_001))).to.equal(0);
  });

  it('keeps the estimate in bounds under hostile reports', () => {
    const numberArbitrary = fc.oneof(
      fc.integer({ min: -5, max: 60 }),
      fc.double(),
      fc.constantFrom(Number.NaN, Infinity, -Infinity, 1e308, -0),
    );
    const reportArbitrary = fc.record({
      running: numberArbitrary,
      waiting: numberArbitrary,
      observedAt: numberArbitrary,
    });
    fc.assert(
      fc.property(fc.array(reportArbitrary), fc.nat(5), (reports, own) => {
        const view = trackedView();
        const now = instant(20_000);
        for (let sent = 0; sent < own; sent += 1) {
          view.onRequestStarted(engine, instant(100));
        }
        for (const entry of reports) {
          const at = instant(entry.observedAt);
          view.applyReport(engine, { ...entry, observedAt: at }, now);
        }
        const estimate = view.estimate(engine, now);
        expect(estimate).to.be.within(
          own,
          own + CAPACITY * MAX_CAPACITY_MULTIPLE,
        );
      }),
      { seed: 4, numRuns: 500 },
    );
  });

  it('rejects reports that are not counts or above the maximum for the capacity', () => {
    const view = trackedView();
    const now = instant(100);
    const kinds = [-1, 0.5, Number.NaN, 1e308, 41].map(
      running =>
        view.applyReport(engine, { running, waiting: 0, observedAt: now }, now)
          .kind,
    );
    const notACount = ['not-a-count', 'not-a-count', 'not-a-count'];
    expect(kinds).to.eql([...notACount, 'not-a-count', 'above-capacity']);
  });

  it('rejects reports from the future and peer counts that are too high or fractional', () => {
    const view = trackedView();
    const future = { running: 9, waiting: 0, observedAt: instant(101) };
    expect(view.applyReport(engine, future, instant(100)).kind).to.equal(
      'from-the-future',
    );
    expect(view.applyPeerCount(peer, engine, 41, 1, instant(0))).to.equal(
      false,
    );
    expect(view.applyPeerCount(peer, engine, 0.5, 2, instant(0))).to.equal(
      false,
    );
    expect(view.estimate(engine, instant(100))).to.equal(0);
  });
});
