import { expect } from 'chai';

import { measureVariants } from './measurement';
import type { VariantResult } from './measurement';
import { resultRows } from './result-table';
import { CURRENT_FLEET_SCENARIO } from './scenario';
import { PLACEMENT_VARIANTS } from './placement-variant';

const scenario = { ...CURRENT_FLEET_SCENARIO, seconds: 120, warmUpSeconds: 60 };

function variantsNamed(...names: readonly string[]) {
  return PLACEMENT_VARIANTS.filter(({ name }) => names.includes(name));
}

function measuresOf(results: readonly VariantResult[], name: string) {
  const result = results.find(({ way }) => way === name);
  if (!result) {
    throw new Error(`no result for ${name}`);
  }
  return result.measures;
}

describe('measureVariants', () => {
  it('gives the same measures for the same seed', () => {
    const variants = variantsNamed('bounded', 'returning (reuse), asked');
    const [first, second] = [1, 2].map(() =>
      measureVariants(scenario, variants, 1).map(({ way, measures }) => ({
        way,
        ...measures,
        decisionMicroseconds: 0,
      })),
    );
    expect(first).to.eql(second);
  });

  it('finds less skew and more reuse for affinity with load checks than for bounded hashing on late reports', () => {
    const results = measureVariants(
      scenario,
      variantsNamed('bounded', 'returning (reuse), asked', 'rendezvous'),
      2,
    );
    const late = measuresOf(results, 'bounded');
    const checked = measuresOf(results, 'returning (reuse), asked');
    expect(checked.reuse).to.be.above(late.reuse);
    expect(checked.skewP99).to.be.below(late.skewP99);
    expect(checked.engineSecondsAbove).to.be.below(late.engineSecondsAbove);
    expect(checked.bytesOfBusiestRouter).to.be.below(5000);
    expect(measuresOf(results, 'rendezvous').reuse).to.be.above(0.5);
    expect(resultRows(results)[0]).to.include({ way: 'rendezvous' });
  });
});
