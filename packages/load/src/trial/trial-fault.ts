/** Faults that a trial brings about while its load runs. */
import { setTimeout as sleep } from 'node:timers/promises';

import type { ProcessFleet } from './process-fleet';

/** When a fault begins and ends, as parts of the load's length. */
export interface TrialFault {
  readonly name: string;
  readonly at: number;
  readonly until?: number;
  begin(fleet: ProcessFleet): Promise<void>;
  end?(fleet: ProcessFleet): Promise<void>;
}

const LOST_ANSWERS = 0.2;
const SLOW_FACTOR = 8;

async function stopAsPlanned(fleet: ProcessFleet, id: string): Promise<void> {
  const code = await fleet.stopRouter(id);
  if (code !== 0) {
    throw new Error(`${id} exited with ${code ?? 'a signal'}`);
  }
}

/** Every fault that a trial knows, in order of time. */
export const TRIAL_FAULTS: readonly TrialFault[] = [
  {
    name: 'leave-engine',
    at: 0.1,
    begin: fleet => fleet.controlEndpoint('engine-2', { leaving: true }),
  },
  {
    name: 'lose-answers',
    at: 0.15,
    until: 0.45,
    begin: fleet => fleet.setPlatformFaults({ lostAnswers: LOST_ANSWERS }),
    end: fleet => fleet.setPlatformFaults({ lostAnswers: 0 }),
  },
  {
    name: 'slow-engine',
    at: 0.2,
    until: 0.5,
    begin: fleet =>
      fleet.controlEndpoint('engine-3', { slowFactor: SLOW_FACTOR }),
    end: fleet => fleet.controlEndpoint('engine-3', { slowFactor: 1 }),
  },
  {
    name: 'kill-router',
    at: 0.33,
    begin: fleet => fleet.killRouter('router-3'),
  },
  {
    name: 'cut-engine',
    at: 0.5,
    until: 0.63,
    begin: fleet =>
      fleet.setProxyFault('engine-1', { reset: true, refuse: true }),
    end: fleet => fleet.setProxyFault('engine-1', {}),
  },
  {
    name: 'lose-service-answers',
    at: 0.55,
    until: 0.75,
    begin: fleet =>
      fleet.controlEndpoint('service-1', { lostAnswers: LOST_ANSWERS }),
    end: fleet => fleet.controlEndpoint('service-1', { lostAnswers: 0 }),
  },
  {
    name: 'crash-engine',
    at: 0.7,
    begin: fleet => fleet.controlEndpoint('engine-4', { crash: true }),
  },
  {
    name: 'outage',
    at: 0.78,
    until: 0.88,
    begin: fleet => fleet.setPlatformFaults({ outage: true }),
    end: fleet => fleet.setPlatformFaults({ outage: false }),
  },
  {
    name: 'stop-router',
    at: 0.92,
    begin: fleet => stopAsPlanned(fleet, 'router-2'),
  },
];

/**
 * Brings a fault about during a load of the given length.
 * @param say told when the fault begins and ends
 */
export async function injectFault(
  fault: TrialFault,
  fleet: ProcessFleet,
  lengthMs: number,
  say: (line: string) => void,
): Promise<void> {
  await sleep(fault.at * lengthMs);
  say(`${fault.name} begins`);
  await fault.begin(fleet);
  if (fault.until !== undefined && fault.end) {
    await sleep((fault.until - fault.at) * lengthMs);
    await fault.end(fleet);
    say(`${fault.name} ends`);
  }
}
