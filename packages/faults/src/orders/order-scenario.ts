/** Scenario of the fault matrix: calls that must run at most once. */
import type { HistoryReport } from '../matrix/scenario';
import { Scenario } from '../matrix/scenario';
import type { Fault, Injection } from '../simulation/fault';
import { isExchangeFault } from '../simulation/fault';
import type { OrderStep } from './order-router';
import { ORDER_STEPS } from './order-router';
import { OrderSimulation } from './order-simulation';

export class OrderScenario extends Scenario<OrderStep> {
  override readonly name = 'order';
  override readonly steps = ORDER_STEPS;

  override exemption(fault: Fault, step: OrderStep): string | undefined {
    if (fault === 'operators-racing') {
      return 'an order reads no configuration after it is accepted';
    }
    const isLocal = step === 'begin' || step === 'place';
    if (isExchangeFault(fault) && isLocal) {
      return 'the router has no exchange in progress at this step';
    }
    const isConnected = step === 'run' || step === 'answer';
    if (fault === 'connection-refused' && isConnected) {
      return 'the connection is already open at this step';
    }
    return undefined;
  }

  override prerequisites(step: OrderStep): readonly Injection<OrderStep>[] {
    if (step === 'withdraw') {
      return [1, 2, 3].map(occurrence => ({
        fault: 'connection-refused',
        step: 'send',
        occurrence,
      }));
    }
    return step === 'read'
      ? [{ fault: 'reset-mid-answer', step: 'claim', occurrence: 1 }]
      : [];
  }

  override run(
    seed: number,
    plan: readonly Injection<OrderStep>[],
  ): HistoryReport {
    return new OrderSimulation({ seed, plan }).run();
  }
}
