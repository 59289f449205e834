/** Makes the random fault plan of one history. */
import type { Random } from '@sesamegrade/core/random/random';
import type { Injection } from './fault';
import { FAULTS } from './fault';

const MAX_FAULTS = 4;
const MAX_OCCURRENCE = 4;

/** Returns up to four random faults, each at a random step. */
export function randomPlan<Step extends string>(
  random: Random,
  steps: readonly Step[],
): Injection<Step>[] {
  const plan: Injection<Step>[] = [];
  const count = random.integer(0, MAX_FAULTS);
  for (let index = 0; index < count; index += 1) {
    plan.push({
      fault: random.pick(FAULTS),
      step: random.pick(steps),
      occurrence: random.integer(1, MAX_OCCURRENCE),
    });
  }
  return plan;
}
