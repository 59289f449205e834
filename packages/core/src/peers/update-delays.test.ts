import { expect } from 'chai';

import {
  loadUpdateDelay,
  promptPartUpdateDelay,
  standbyUpdateDelay,
} from './update-delays';

/** Relays from which each router receives updates. */
const RELAYS = 2;

describe('update delays', () => {
  it('uses the minimum delays in a small fleet', () => {
    expect(promptPartUpdateDelay(18)).to.equal(25);
    expect(loadUpdateDelay(18)).to.equal(200);
  });

  // Guards against a fleet of 32 routers that spends more processor time on frames than on requests.
  it('sends each router at most 17 messages a second in fleets of 32 to 370 routers', () => {
    for (const fleet of [32, 64, 131, 370]) {
      const first = 1000 / promptPartUpdateDelay(fleet);
      const standby = 1000 / standbyUpdateDelay(fleet);
      expect(first + standby, `${fleet} routers`).to.be.at.most(17);
    }
  });

  // Guards against a late first relay whose routers go by loads that are older than a placement may use.
  it('lets a standby relay send before its last totals no longer count', () => {
    expect(standbyUpdateDelay(131)).to.be.below(300);
  });

  it('sends the updates of both relays alike in a small fleet', () => {
    expect(standbyUpdateDelay(18)).to.equal(0);
  });

  it('sends each router of 135 at most a third of the 80 messages a second of a small fleet', () => {
    const delaySeconds = promptPartUpdateDelay(135) / 1000;
    expect(RELAYS / delaySeconds).to.be.at.most(80 / 3);
  });

  it('sends loads over a relay before a busy engine with 20 requests a second exceeds the load limit', () => {
    const mean = 6;
    const spareRequests = 2 * mean + 3 - (1.6 * mean + 2);
    const relayedDelay = 2 * promptPartUpdateDelay(135);
    expect((relayedDelay / 1000) * 20).to.be.below(spareRequests);
  });
});
