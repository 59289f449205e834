import { expect } from 'chai';

import { endpointId, routerId } from '../types/ids';
import { instant } from '../types/units';
import { LoadEstimate } from './load-estimate';

const engine = endpointId('e');
const peer = routerId('r');

describe('LoadEstimate', () => {
  it('adds what peers told to its own requests', () => {
    const loads = new LoadEstimate();
    loads.onRequestStarted(engine);
    loads.onRequestStarted(engine);
    loads.onRequestEnded(engine);
    loads.applyPeerCount(peer, engine, 4, instant(0));
    loads.applyPeerCount(routerId('s'), engine, 2, instant(0));
    expect(loads.total(engine, instant(10))).to.equal(7);
  });

  it('does not believe a peer that was silent for too long, and forgets one that is gone', () => {
    const loads = new LoadEstimate();
    loads.applyPeerCount(peer, engine, 4, instant(0));
    loads.refreshPeerCounts(instant(2000));
    expect(loads.total(engine, instant(4000))).to.equal(4);
    expect(loads.total(engine, instant(6000))).to.equal(0);
    loads.refreshPeerCounts(instant(6000));
    loads.removePeer(peer);
    expect(loads.total(engine, instant(6000))).to.equal(0);
  });

  it("without peers takes the endpoint's own word, which loses weight with age", () => {
    const loads = new LoadEstimate();
    loads.onRequestStarted(engine);
    loads.onLoadReport(engine, 9, instant(0));
    expect(loads.total(engine, instant(0))).to.equal(9);
    expect(loads.total(engine, instant(1000))).to.equal(5);
    expect(loads.total(engine, instant(9000))).to.equal(1);
  });

  it('keeps its own requests when an endpoint starts anew', () => {
    const loads = new LoadEstimate();
    loads.onRequestStarted(engine);
    loads.applyPeerCount(peer, engine, 4, instant(0));
    loads.removeEndpoint(engine);
    expect(loads.total(engine, instant(0))).to.equal(1);
  });
});
