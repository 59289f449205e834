import { expect } from 'chai';
import fc from 'fast-check';

import { endpointId } from '../types/ids';
import { instant, milliseconds, seconds } from '../types/units';
import { RefusalHolds } from './refusal-holds';

const endpoint = endpointId('e');

describe('RefusalHolds', () => {
  it('holds requests back for the time that the endpoint asked for, and no longer', () => {
    const holds = new RefusalHolds();
    holds.hold(endpoint, milliseconds(1500), instant(1000));
    expect(holds.remaining(endpoint, instant(1000))).to.equal(1500);
    expect(holds.remaining(endpoint, instant(2499))).to.equal(1);
    expect(holds.remaining(endpoint, instant(2500))).to.equal(0);
    expect(holds.remaining(endpointId('other'), instant(1000))).to.equal(0);
  });

  it('does not end a hold early because of a shorter one', () => {
    const holds = new RefusalHolds();
    holds.hold(endpoint, seconds(4), instant(0));
    holds.hold(endpoint, seconds(1), instant(500));
    expect(holds.remaining(endpoint, instant(1000))).to.equal(3000);
  });

  it('ends a hold when the endpoint restarts', () => {
    const holds = new RefusalHolds();
    holds.hold(endpoint, seconds(4), instant(0));
    holds.remove(endpoint);
    expect(holds.remaining(endpoint, instant(1))).to.equal(0);
  });

  it('never holds for more than a minute, nor for a duration that is no positive number', () => {
    fc.assert(
      fc.property(fc.double(), duration => {
        const holds = new RefusalHolds();
        holds.hold(endpoint, milliseconds(duration), instant(0));
        const remaining = holds.remaining(endpoint, instant(0));
        expect(remaining).to.be.within(0, 60_000);
        expect(duration > 0 || remaining === 0).to.equal(true);
      }),
      { seed: 20 },
    );
  });
});
