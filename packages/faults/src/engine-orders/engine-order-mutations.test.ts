import { expect } from 'chai';

import { LeaseRules } from '@sesamegrade/core/leases/lease-rules';
import { Random } from '@sesamegrade/core/random/random';
import type { Violation } from '../simulation/fault';
import { randomPlan } from '../simulation/random-plan';
import { ENGINE_ORDER_STEPS } from './engine-order-router';
import { EngineOrderSimulation } from './engine-order-simulation';

const HISTORIES = 300;

class IgnoresLeaseTime extends LeaseRules {
  override canSend() {
    return true;
  }
}

class TakesWithoutWaiting extends LeaseRules {
  override canTake() {
    return true;
  }
}

/** Promises broken in the histories, each named once. */
function brokenPromises(rules: LeaseRules): Set<Violation['promise']> {
  const broken = new Set<Violation['promise']>();
  for (let seed = 1; seed <= HISTORIES; seed += 1) {
    const plan = randomPlan(new Random(seed), ENGINE_ORDER_STEPS);
    const { violations } = new EngineOrderSimulation({
      seed,
      plan,
      rules,
    }).run();
    for (const { promise } of violations) {
      broken.add(promise);
    }
  }
  return broken;
}

describe('histories of engine orders', () => {
  it('keep every promise with the real rules', () => {
    expect([...brokenPromises(new LeaseRules())]).to.deep.equal([]);
  });

  it('show two holders when the time of the lease is ignored', () => {
    expect(brokenPromises(new IgnoresLeaseTime())).to.include('one-holder');
  });

  it('show two holders when a successor does not wait', () => {
    expect(brokenPromises(new TakesWithoutWaiting())).to.include('one-holder');
  });
});
