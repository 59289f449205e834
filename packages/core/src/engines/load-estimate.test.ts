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
