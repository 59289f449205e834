import { expect } from 'chai';

import { measurePropagation } from './propagation-report';

const SEED = 20_261_203;

describe('propagation of a configuration by gossip alone', () => {
  it('reaches every router in time and within the byte limit, reproducibly for a seed', () => {
    const options = { seed: SEED, sizes: [3, 17, 60], changes: 3 };
    const figures = measurePropagation(options);
    for (const row of figures) {
      expect(row.incomplete).to.equal(0);
      expect(row.worstMs).to.be.below(row.routers <= 17 ? 5000 : 12_000);
      expect(row.bytesPerRouterSecond).to.be.below(2500);
    }
    expect(measurePropagation(options)).to.deep.equal(figures);
  });
});
