import { expect } from 'chai';

import { endpointId, requestId } from '../types/ids';
import { instant, milliseconds } from '../types/units';
import { EndpointPermits } from './endpoint-permits';

const LIFETIME = milliseconds(1000);
const at = instant;
const limits = { id: endpointId('e'), perSecond: undefined, concurrent: 8 };

function open(earlier = 0) {
  const permits = new EndpointPermits(earlier, at(0));
  permits.update(limits, 1, at(0));
  let count = 0;
  /** Takes as many permits as there are; returns their ids. */
  const takeAll = (now: number) => {
    permits.update(limits, 1, at(now));
    const taken = [];
    for (;;) {
      count += 1;
      const id = requestId(String(count));
      if (!permits.take(id, LIFETIME, at(now))) {
        return taken;
      }
      taken.push(id);
    }
  };
  return { permits, takeAll };
}

describe('the permits of an endpoint that falls over under rejections', () => {
  it('are as many at a time as it has slots, and are given out again when they come back', () => {
    const { permits, takeAll } = open();
    const taken = takeAll(0);
    expect(taken).to.have.length(8);
    expect(permits.release(taken[0]!, false, at(10))).to.equal(true);
    expect(permits.release(taken[0]!, false, at(10))).to.equal(false);
    expect(takeAll(10)).to.have.length(1);
  });

  it('lapse if a router that held them is gone', () => {
    const { takeAll } = open();
    takeAll(0);
    expect(takeAll(999)).to.have.length(0);
    expect(takeAll(1000)).to.have.length(8);
  });

  it('leave room for what ran there before they were counted', () => {
    const { takeAll } = open(6);
    expect(takeAll(0)).to.have.length(2);
    expect(takeAll(1000)).to.have.length(8);
  });

  it('are fewer after a rejection, and come back one a second', () => {
    const { permits, takeAll } = open();
    const taken = takeAll(0);
    for (const id of taken) {
      permits.release(id, id === taken[5], at(10));
    }
    // It had rejected one of three that were left.
    expect(takeAll(20)).to.have.length(2);
    for (const id of taken) {
      permits.release(id, false, at(20));
    }
    expect(takeAll(2010)).to.have.length(8 - 4);
  });

  it('are a share of its slots while the fleet may be split, but one at least', () => {
    const permits = new EndpointPermits(0, at(0));
    permits.update(limits, 0.05, at(0));
    expect(permits.take(requestId('a'), LIFETIME, at(0))).to.equal(true);
    expect(permits.take(requestId('b'), LIFETIME, at(0))).to.equal(false);
  });
});
