import { expect } from 'chai';

import { fitLine, measureSlope, Slope } from './slope';

class LinearCost extends Slope {
  override readonly name = 'a cost';
  override readonly unit = 'us';
  override readonly role = 'entry';
  override readonly sizes = [1, 2, 3];
  override readonly target = 10;

  override measure(size: number, seed: number): number {
    return 5 + size * seed;
  }
}

describe('slopes', () => {
  it('fit a least-squares line through their points', () => {
    const points = [
      [1, 7],
      [2, 9],
      [4, 13],
    ] as const;
    const { perItem, fixed } = fitLine(points);
    expect(perItem).to.be.closeTo(2, 1e-9);
    expect(fixed).to.be.closeTo(5, 1e-9);
  });

  it('report the median of the runs, their range and the cost at the target size', () => {
    const result = measureSlope(new LinearCost(), 3, 2);
    expect(result.perItem).to.be.closeTo(3, 1e-9);
    expect(result.spread[0]).to.be.closeTo(2, 1e-9);
    expect(result.spread[1]).to.be.closeTo(4, 1e-9);
    expect(result.atTarget).to.be.closeTo(35, 1e-9);
  });
});
