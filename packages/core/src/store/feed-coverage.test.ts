import { expect } from 'chai';

import { Random } from '../random/random';
import { routerId } from '../types/ids';
import { instant, seconds } from '../types/units';
import { FeedCoverage } from './feed-coverage';
import { revision, storeEra } from './feed-position';

const reader = routerId('reader');
const BOUND = seconds(2);

const confirmation = (at: number, version: number, era = 1) => ({
  origin: reader,
  position: { era: storeEra(era), revision: revision(version) },
  confirmedAt: instant(at),
});

const open = (random = new Random(1)) =>
  new FeedCoverage({ bound: BOUND, random });

describe('FeedCoverage', () => {
  it('asks for a read well before the bound after the last confirmation', () => {
    const random = new Random(1);
    for (let round = 1; round <= 200; round += 1) {
      const coverage = open(random);
      expect(coverage.dueAt()).to.equal(undefined);
      coverage.record(confirmation(1000, 5));
      expect(coverage.dueAt()).to.be.within(1000 + 960, 1000 + 1300);
    }
  });

  it('spreads the reads of a fleet that lost its readers, so that few read before they hear of the first', () => {
    const HEARD_AFTER_MS = 60;
    const ROUTERS = 195;
    const random = new Random(1);
    const dueTimes = Array.from({ length: ROUTERS }, () => {
      const coverage = open(random);
      coverage.record(confirmation(0, 5));
      return Number(coverage.dueAt());
    }).sort((left, right) => left - right);
    const first = dueTimes[0] ?? 0;
    const early = dueTimes.filter(due => due < first + HEARD_AFTER_MS);
    expect(early.length).to.be.at.most(ROUTERS * 0.05);
  });

  it('keeps the latest confirmation and the highest position, in whatever order they arrive', () => {
    const coverage = open();
    expect(coverage.record(confirmation(1000, 9))).to.equal(true);
    expect(coverage.record(confirmation(900, 12))).to.equal(false);
    expect(coverage.record(confirmation(1100, 8))).to.equal(true);
    expect(coverage.position?.revision).to.equal(12);
    expect(coverage.age(instant(1500))).to.equal(400);
  });

  it('takes the lower position of a newer era and nothing more from an older one', () => {
    const coverage = open();
    coverage.record(confirmation(1000, 50, 1));
    expect(coverage.record(confirmation(990, 20, 2))).to.equal(true);
    expect(coverage.position).to.deep.equal({ era: 2, revision: 20 });
    expect(coverage.record(confirmation(1200, 60, 1))).to.equal(false);
    expect(coverage.position).to.deep.equal({ era: 2, revision: 20 });
  });
});
