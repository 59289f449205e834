import { expect } from 'chai';

import { milliseconds } from '../types/units';
import { connectTimeout } from './connect-timeout';

describe('connectTimeout', () => {
  it('leaves a call with a short deadline time for other endpoints when one does not respond', () => {
    const [goal, deadline] = [milliseconds(122), milliseconds(601)];
    expect(3 * connectTimeout(goal, 3)).to.be.below(deadline / 2);
  });

  it('waits longer if there is no other endpoint', () => {
    const goal = milliseconds(122);
    expect(connectTimeout(goal, 0)).to.be.above(connectTimeout(goal, 1));
  });

  it('does not time out within a few round trips between regions', () => {
    expect(connectTimeout(milliseconds(1), 5)).to.be.at.least(3 * 24);
  });
});
