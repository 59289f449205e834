import { expect } from 'chai';

import {
  changeFeedPause,
  loadUpdateDelay,
  promptPartUpdateDelay,
} from './update-delays';

/** Relays that each router hears. */
const RELAYS = 2;
/** Time in which a leaving endpoint must get nothing more, in the deployments. */
const LEAVING_BOUND = 2000;

describe('news pace', () => {
  it('tells a small fleet at once', () => {
    expect(promptPartUpdateDelay(18)).to.equal(25);
    expect(loadUpdateDelay(18)).to.equal(200);
    expect(changeFeedPause(18, false)).to.equal(0);
  });

  it('lets no router of 135 hear more than a third of the 80 messages a second of a small fleet', () => {
    const seconds = promptPartUpdateDelay(135) / 1000;
    expect(RELAYS / seconds).to.be.at.most(80 / 3);
  });

  it('tells loads over a relay before a busy engine of 20 requests a second passes the limit', () => {
    const mean = 6;
    const room = 2 * mean + 3 - (1.6 * mean + 2);
    const twoHops = 2 * promptPartUpdateDelay(135);
    expect((twoHops / 1000) * 20).to.be.below(room);
  });

  it('never makes the view of endpoints as late as a leaving one may get requests', () => {
    for (const size of [1, 20, 113, 135, 370, 5000]) {
      expect(changeFeedPause(size, false)).to.be.at.most(LEAVING_BOUND / 2);
    }
  });

  it('never lets a relay wait, as the others hear of departures from it', () => {
    expect(changeFeedPause(370, true)).to.equal(0);
  });

  it('wakes a fleet of 113 less than twice a second in a release of many endpoints', () => {
    expect(1000 / changeFeedPause(113, false)).to.be.below(2);
  });
});
