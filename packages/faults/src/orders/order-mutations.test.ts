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
  override committedVersion(_order: Order, response: WriteResponse) {
    return response.kind === 'committed' ? response.versions[0] : 0;
  }
}

class SkipsTokenCheck extends OrderRules {
  override isOwnRow(order: Order, row: OrderRow) {
    return row.fingerprint === order.fingerprint;
  }
}

class WithdrawsSentOrders extends OrderRules {
  override lostResponseState() {
    return { kind: 'withdrawn' } as const;
  }
}

class AlwaysReportsNotRun extends OrderRules {
  override outcomeIfAbandoned() {
    return 'not_run' as const;
  }
}

/** Returns the distinct promises that the histories violate. */
function violatedPromises(rules: OrderRules): Set<Violation['promise']> {
  const violated = new Set<Violation['promise']>();
  for (let seed = 1; seed <= HISTORIES; seed += 1) {
    const plan = randomPlan(new Random(seed), ORDER_STEPS);
    const { violations } = new OrderSimulation({ seed, plan, rules }).run();
    for (const { promise } of violations) {
      violated.add(promise);
    }
  }
  return violated;
}

describe('histories of orders', () => {
  it('violate no promise with the production rules', () => {
    expect([...violatedPromises(new OrderRules())]).to.deep.equal([]);
  });

  it('detect a second run when an order is sent before the insert of its claim is confirmed', () => {
    const violated = violatedPromises(new SendsBeforeConfirmation());
    expect(violated).to.include('at-most-once');
  });

  it('detect a second run when the token of the stored row is not compared', () => {
    expect(violatedPromises(new SkipsTokenCheck())).to.include('at-most-once');
  });

  it('detect a second run when an order is withdrawn after its call was sent', () => {
    expect(violatedPromises(new WithdrawsSentOrders())).to.include(
      'at-most-once',
    );
  });

  it('detect a false not_run when it is reported after a send', () => {
    expect(violatedPromises(new AlwaysReportsNotRun())).to.include(
      'true-outcome',
    );
  });
});
