import { expect } from 'chai';

import type { Order } from '@sesamegrade/core/orders/order';
import type { OrderRow } from '@sesamegrade/core/orders/order-row';
import { OrderRules } from '@sesamegrade/core/orders/order-rules';
import { Random } from '@sesamegrade/core/random/random';
import type { WriteResponse } from '@sesamegrade/core/types/platform';
import type { Violation } from '../simulation/fault';
import { randomPlan } from '../simulation/random-plan';
import { ORDER_STEPS } from './order-router';
import { OrderSimulation } from './order-simulation';

const HISTORIES = 2000;

class SendsBeforeConfirmation extends OrderRules {
  override committedVersion(_order: Order, answer: WriteResponse) {
    return answer.kind === 'committed' ? answer.versions[0] : 0;
  }
}

class SkipsReadBack extends OrderRules {
  override isOwnRow(order: Order, row: OrderRow) {
    return row.fingerprint === order.fingerprint;
  }
}

class ForgetsThatItSent extends OrderRules {
  override lostResponseState() {
    return { kind: 'withdrawn' } as const;
  }
}

class AlwaysSaysNotRun extends OrderRules {
  override outcomeIfAbandoned() {
    return 'not_run' as const;
  }
}

/** Promises broken in the histories, each named once. */
function brokenPromises(rules: OrderRules): Set<Violation['promise']> {
  const broken = new Set<Violation['promise']>();
  for (let seed = 1; seed <= HISTORIES; seed += 1) {
    const plan = randomPlan(new Random(seed), ORDER_STEPS);
    const { violations } = new OrderSimulation({ seed, plan, rules }).run();
    for (const { promise } of violations) {
      broken.add(promise);
    }
  }
  return broken;
}

describe('histories of orders', () => {
  it('keep every promise with the real rules', () => {
    expect([...brokenPromises(new OrderRules())]).to.deep.equal([]);
  });

  it('show a second run when a claim is sent before its insert is confirmed', () => {
    const broken = brokenPromises(new SendsBeforeConfirmation());
    expect(broken).to.include('at-most-once');
  });

  it('show a second run when the read-back is skipped', () => {
    expect(brokenPromises(new SkipsReadBack())).to.include('at-most-once');
  });

  it('show a second run when a sent call is withdrawn', () => {
    expect(brokenPromises(new ForgetsThatItSent())).to.include('at-most-once');
  });

  it('show a false not_run when it is said after a send', () => {
    expect(brokenPromises(new AlwaysSaysNotRun())).to.include('true-outcome');
  });
});
