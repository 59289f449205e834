/** Random plans of faults for histories of orders. */
import type { Random } from '@sesamegrade/core/random/random';
import type { Injection } from '../simulation/fault';
import { FAULTS } from '../simulation/fault';
import type { OrderStep } from './order-router';
import { ORDER_STEPS } from './order-router';

const MAX_FAULTS = 4;
const MAX_OCCURRENCE = 4;

/** Returns up to four faults at any steps. */
export function randomOrderPlan(random: Random): Injection<OrderStep>[] {
  const plan: Injection<OrderStep>[] = [];
  const count = random.integer(0, MAX_FAULTS);
  for (let index = 0; index < count; index += 1) {
    plan.push({
      fault: random.pick(FAULTS),
      step: random.pick(ORDER_STEPS),
      occurrence: random.integer(1, MAX_OCCURRENCE),
    });
  }
  return plan;
}
