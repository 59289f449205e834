import { expect } from 'chai';

import { measureVariants } from './measurement';
import type { VariantResult } from './measurement';
import { resultRows } from './result-table';
import { CURRENT_FLEET_SCENARIO } from './scenario';
import { PLACEMENT_VARIANTS } from './placement-variant';

const scenario = { ...CURRENT_FLEET_SCENARIO, seconds: 120, warmUpSeconds: 60 };

function chosen(...names: readonly string[]) {
  return PLACEMENT_VARIANTS.filter(({ name }) => names.includes(name));
}

function measuresOf(results: readonly VariantResult[], name: string) {
  const found = results.find(({ way }) => way === name);
  if (!found) {
    throw new Error(`no result for ${name}`);
  }
  return found.measures;
}

describe('measureWays', () => {
  it('gives the same figures for the same seed', () => {
    const ways = chosen('bounded', 'returning (reuse), asked');
    const [one, other] = [1, 2].map(() =>
      measureVariants(scenario, ways, 1).map(({ way, measures }) => ({
        way,
        ...measures,
        decisionMicroseconds: 0,
      })),
    );
    expect(one).to.eql(other);
  });

  it('finds the chosen way more even and with more reuse than late bounded hashing', () => {
    const results = measureVariants(
      scenario,
      chosen('bounded', 'returning (reuse), asked', 'rendezvous'),
      2,
    );
    const late = measuresOf(results, 'bounded');
    const asked = measuresOf(results, 'returning (reuse), asked');
    expect(asked.reuse).to.be.above(late.reuse);
    expect(asked.skewP99).to.be.below(late.skewP99);
    expect(asked.engineSecondsAbove).to.be.below(late.engineSecondsAbove);
    expect(asked.bytesOfBusiestRouter).to.be.below(5000);
    expect(measuresOf(results, 'rendezvous').reuse).to.be.above(0.5);
    expect(resultRows(results)[0]).to.include({ way: 'rendezvous' });
  });
});
