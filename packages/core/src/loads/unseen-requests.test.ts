import { expect } from 'chai';

import { estimateUnseen } from './unseen-requests';

describe('estimateUnseen', () => {
  it('takes a view that is new for complete', () => {
    expect(estimateUnseen(0, 40)).to.deep.equal({ persistence: 1, running: 0 });
  });

  it('replaces requests that have ended by as many that have begun', () => {
    const { persistence, running } = estimateUnseen(20, 40);
    expect(persistence).to.be.closeTo(0.61, 0.01);
    expect(persistence * 40 + running).to.be.closeTo(40, 1e-9);
  });

  // Guards against a fleet that herds at its start, when no requests are seen yet.
  it('expects requests that have begun also while none are seen', () => {
    expect(estimateUnseen(20, 0).running).to.be.above(10);
  });
});
