import { expect } from 'chai';
import * as fc from 'fast-check';

import { Random } from '@sesamegrade/core/random/random';
import { planContactLoss } from './contact-loss';
import { stallOf } from './router-links';

describe('losses of contact in the soak', () => {
  it('follow from the seed, cut something, and begin before the release', () => {
    fc.assert(
      fc.property(fc.nat(), seed => {
        const loss = planContactLoss(new Random(seed));
        expect(planContactLoss(new Random(seed))).to.deep.equal(loss);
        expect(loss.lengthMs).to.be.within(500, 3000);
        expect(loss.releaseAfterMs).to.be.within(300, 1000);
        expect(loss.crashAfterMs).to.be.within(1000, 2000);
        expect(loss.lateMs).to.be.within(0, 1000);
        if (loss.cut) {
          expect(loss.cut.store || loss.cut.peers).to.equal(true);
        }
      }),
    );
  });

  it('hold back the bytes of the directions that either end has lost', () => {
    const cut = (direction: 'in' | 'out' | 'both') => ({
      store: true,
      peers: true,
      direction,
    });
    expect(stallOf(undefined)).to.equal(false);
    expect(stallOf(cut('both'))).to.equal(true);
    expect(stallOf(cut('out'))).to.equal('to-target');
    expect(stallOf(cut('in'))).to.equal('to-client');
    expect(stallOf(undefined, cut('out'))).to.equal('to-client');
    expect(stallOf(undefined, cut('in'))).to.equal('to-target');
    expect(stallOf(cut('out'), cut('out'))).to.equal(true);
    expect(stallOf(cut('out'), cut('in'))).to.equal('to-target');
  });
});
