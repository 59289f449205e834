import { expect } from 'chai';

import { LeaseRules } from '@sesamegrade/core/leases/lease-rules';
import { Random } from '@sesamegrade/core/random/random';
import type { Violation } from '../simulation/fault';
import { randomPlan } from '../simulation/random-plan';
import { ENGINE_ORDER_STEPS } from './engine-order-router';
import { EngineOrderSimulation } from './engine-order-simulation';

const HISTORIES = 300;

class IgnoresLeaseExpiry extends LeaseRules {
  override canSend() {
    return true;
  }
}

class TakesWithoutWaiting extends LeaseRules {
  override canTake() {
    return true;
  }
}

/** Returns the distinct promises that the histories violate. */
function violatedPromises(rules: LeaseRules): Set<Violation['promise']> {
  const violated = new Set<Violation['promise']>();
  for (let seed = 1; seed <= HISTORIES; seed += 1) {
    const plan = randomPlan(new Random(seed), ENGINE_ORDER_STEPS);
    const { violations } = new EngineOrderSimulation({
      seed,
      plan,
      rules,
    }).run();
    for (const { promise } of violations) {
      violated.add(promise);
    }
  }
  return violated;
}

describe('histories of engine orders', () => {
  it('violate no promise with the production rules', () => {
    expect([...violatedPromises(new LeaseRules())]).to.deep.equal([]);
  });

  it('detect two lease holders when lease expiry is ignored', () => {
    expect(violatedPromises(new IgnoresLeaseExpiry())).to.include('one-holder');
  });

  it('detect two lease holders when a successor does not wait for the expiry', () => {
    expect(violatedPromises(new TakesWithoutWaiting())).to.include(
      'one-holder',
    );
  });
});
