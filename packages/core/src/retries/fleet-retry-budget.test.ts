import { expect } from 'chai';

import { serviceId } from '../types/ids';
import { instant, seconds } from '../types/units';
import { FleetRetryBudget } from './fleet-retry-budget';

const service = serviceId('s');
/** Limits of a deployment with 135 routers. */
const ratio = 0.2;
const slack = 334;
const window = seconds(10);

/** Returns the number of retries that a fleet sends in one window when every attempt fails. */
function retriesInBrownOut(size: number, requests: number): number {
  let taken = 0;
  for (let router = 0; router < size; router += 1) {
    const budget = new FleetRetryBudget({
      limits: () => ({ ratio, slack, window }),
      routers: () => size,
    });
    for (let count = 0; count < requests; count += 1) {
      budget.onRequestStarted(service, instant(count));
      taken += budget.take(service, instant(count)) ? 1 : 0;
    }
  }
  return taken;
}

describe('FleetRetryBudget', () => {
  for (const size of [1, 17, 135, 370]) {
    it(`keeps the retries of ${size} routers within the fleet's budget when every attempt fails`, () => {
      const requests = 40;
      const allowed = ratio * size * requests + slack;
      expect(retriesInBrownOut(size, requests)).to.be.at.most(allowed);
    });
  }

  it('reduces the slack of each router when the fleet grows', () => {
    let size = 2;
    const budget = new FleetRetryBudget({
      limits: () => ({ ratio: 0, slack: 10, window }),
      routers: () => size,
    });
    expect(budget.take(service, instant(0))).to.equal(true);
    size = 100;
    expect(budget.take(service, instant(1))).to.equal(false);
  });
});
