import { expect } from 'chai';

import { endpointId, routerId } from '../types/ids';
import { instant } from '../types/units';
import { LoadEstimate } from './load-estimate';

const engine = endpointId('e');
const peer = routerId('r');

describe('LoadEstimate', () => {
  it("adds the peers' counts to its own requests", () => {
    const loads = new LoadEstimate();
    loads.onRequestStarted(engine);
    loads.onRequestStarted(engine);
    loads.onRequestEnded(engine);
    loads.applyPeerCount(peer, engine, 4, instant(0));
    loads.applyPeerCount(routerId('s'), engine, 2, instant(0));
    expect(loads.total(engine, instant(10))).to.equal(7);
  });

  it('ignores counts that were not refreshed in time, and removes a peer that is gone', () => {
    const loads = new LoadEstimate();
    loads.applyPeerCount(peer, engine, 4, instant(0));
    loads.onPeerHeard(peer, instant(2000));
    expect(loads.total(engine, instant(4000))).to.equal(4);
    expect(loads.total(engine, instant(6000))).to.equal(0);
    loads.onPeerHeard(peer, instant(6000));
    loads.removePeer(peer);
    expect(loads.total(engine, instant(6000))).to.equal(0);
  });

  it("uses the endpoint's own report without peers, with a weight that falls with its age", () => {
    const loads = new LoadEstimate();
    loads.onRequestStarted(engine);
    loads.onLoadReport(engine, 9, instant(0));
    expect(loads.total(engine, instant(0))).to.equal(9);
    expect(loads.total(engine, instant(1000))).to.equal(5);
    expect(loads.total(engine, instant(9000))).to.equal(1);
  });

  it('retains its own requests when an endpoint restarts', () => {
    const loads = new LoadEstimate();
    loads.onRequestStarted(engine);
    loads.applyPeerCount(peer, engine, 4, instant(0));
    loads.removeEndpoint(engine);
    expect(loads.total(engine, instant(0))).to.equal(1);
  });

  describe('with two relays', () => {
    const [first, standby] = [routerId('relay-1'), routerId('relay-2')];
    let loads: LoadEstimate;

    beforeEach(() => {
      loads = new LoadEstimate();
      loads.applyRelayTotal(first, engine, 9, instant(0));
      loads.applyRelayTotal(standby, engine, 9, instant(0));
    });

    // Guards against totals of the slower relay that keep an idle endpoint looking busy.
    it('uses the totals of the one heard last if the other was heard much earlier', () => {
      loads.applyRelayTotal(first, engine, 2, instant(400));
      expect(loads.total(engine, instant(400))).to.equal(2);
    });

    it('uses the higher totals of two heard at about the same time', () => {
      loads.applyRelayTotal(first, engine, 2, instant(200));
      expect(loads.total(engine, instant(200))).to.equal(9);
    });

    it('uses the totals of the other one when the first one is gone', () => {
      loads.applyRelayTotal(first, engine, 2, instant(400));
      loads.removePeer(first);
      expect(loads.total(engine, instant(400))).to.equal(9);
    });
  });

  // Guards against a changed placement where engines state no speed: three figures are used as before.
  it("ignores a report without slowdown while it hears a peer's counts", () => {
    const loads = new LoadEstimate();
    loads.applyPeerCount(peer, engine, 4, instant(0));
    loads.onLoadReport(engine, 20, instant(0));
    expect(loads.view(engine, instant(0))).to.deep.equal({
      own: 0,
      others: 4,
      correction: 0,
      speed: undefined,
    });
  });

  // Guards against reports that reach other routers, or the requests that a limit counts.
  it('corrects only its own placements by a report with a slowdown', () => {
    const loads = new LoadEstimate();
    loads.applyPeerCount(peer, engine, 4, instant(0));
    loads.onRequestStarted(engine);
    loads.onLoadReport(engine, 11, instant(0), 2.5);
    const view = loads.view(engine, instant(0));
    expect(view).to.include({ own: 1, others: 4 });
    expect(view.correction).to.be.within(3, 6);
    expect(view.speed).to.be.below(1);
    expect(loads.total(engine, instant(0))).to.equal(5);
    expect(loads.sum(engine)).to.equal(5);
  });

  // Guards against the report being counted twice, as the others and as their correction.
  it('uses a report with a slowdown only once without peers', () => {
    const loads = new LoadEstimate();
    loads.onLoadReport(engine, 9, instant(0), 1);
    expect(loads.view(engine, instant(0))).to.include({
      others: 9,
      correction: 0,
    });
  });

  // Guards against a router that refuses requests by what it heard of the others long ago.
  it('states the age of what it heard last, from a peer or a relay', () => {
    const loads = new LoadEstimate();
    expect(loads.viewAge(instant(0))).to.equal(undefined);
    loads.applyPeerCount(peer, engine, 4, instant(0));
    expect(loads.viewAge(instant(900))).to.equal(900);
    loads.applyRelayTotal(routerId('s'), engine, 4, instant(500));
    expect(loads.viewAge(instant(900))).to.equal(400);
    loads.onPeerHeard(peer, instant(800));
    expect(loads.viewAge(instant(900))).to.equal(100);
    loads.removePeer(peer);
    loads.removePeer(routerId('s'));
    expect(loads.viewAge(instant(900))).to.equal(undefined);
  });
});
