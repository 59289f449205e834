import { expect } from 'chai';

import { promptPartId, serviceId } from '../types/ids';
import { instant } from '../types/units';
import { SubjectShares } from './subject-shares';

const service = serviceId('a');
const other = serviceId('b');
const hot = promptPartId('hot');
const cold = promptPartId('cold');

describe('SubjectShares', () => {
  it('follows the share of a subject in the requests of the last seconds', () => {
    const shares = new SubjectShares();
    for (let count = 0; count < 200; count += 1) {
      const subject = count % 5 === 0 ? hot : promptPartId(`s${count}`);
      shares.record(service, subject, instant(100 * count));
    }
    const shareOf = (subject: typeof hot, at: number) =>
      shares.shareOfOthers(service, subject, instant(at));
    expect(shareOf(hot, 20_000)).to.be.closeTo(0.2, 0.02);
    shares.record(service, cold, instant(20_000));
    expect(shareOf(cold, 20_000)).to.be.below(0.01);
    expect(shareOf(hot, 80_000)).to.be.closeTo(0.1, 0.02);
  });

  // Guards against engines above the limit on uneven load, as a subject's share seems small beside the requests of other services.
  it('counts the requests of each service by themselves', () => {
    const shares = new SubjectShares();
    for (let count = 0; count < 400; count += 1) {
      const now = instant(50 * count);
      if (count % 4 === 0) {
        shares.record(service, hot, now);
      } else {
        shares.record(other, promptPartId(`s${count}`), now);
      }
    }
    const share = shares.shareOfOthers(service, hot, instant(20_000));
    expect(share).to.be.above(0.9);
  });
});
