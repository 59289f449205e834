import { expect } from 'chai';

import { milliseconds } from '../types/units';
import { connectLimit } from './connect-limit';

describe('connectLimit', () => {
  it('leaves a call with a short deadline time for other endpoints when one fell silent', () => {
    const [goal, deadline] = [milliseconds(122), milliseconds(601)];
    expect(3 * connectLimit(goal, 3)).to.be.below(deadline / 2);
  });

  it('waits longer where there is no other endpoint', () => {
    const goal = milliseconds(122);
    expect(connectLimit(goal, 0)).to.be.above(connectLimit(goal, 1));
  });

  it('never gives up within a few round trips between regions', () => {
    expect(connectLimit(milliseconds(1), 5)).to.be.at.least(3 * 24);
  });
});
