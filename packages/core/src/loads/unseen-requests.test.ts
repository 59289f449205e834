import { expect } from 'chai';

import { promptPartId } from '../types/ids';
import { instant } from '../types/units';
import { SubjectShares } from './subject-shares';
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

describe('SubjectShares', () => {
  const subjects = ['hot', 'cold'].map(promptPartId);
  const [hot, cold] = subjects as [(typeof subjects)[0], (typeof subjects)[0]];

  it('follows the share of a subject in the requests of the last seconds', () => {
    const shares = new SubjectShares();
    for (let count = 0; count < 200; count += 1) {
      const subject = count % 5 === 0 ? hot : promptPartId(`s${count}`);
      shares.record(subject, instant(100 * count));
    }
    expect(shares.shareOfOthers(hot, instant(20_000))).to.be.closeTo(0.2, 0.02);
    shares.record(cold, instant(20_000));
    expect(shares.shareOfOthers(cold, instant(20_000))).to.be.below(0.01);
    expect(shares.shareOfOthers(hot, instant(80_000))).to.be.closeTo(0.1, 0.02);
  });
});
