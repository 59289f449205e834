/** Faults that a process trial injects while its load runs. */
import { setTimeout as sleep } from 'node:timers/promises';

import type { ProcessFleet } from './process-fleet';

/** A fault, with its begin and end as fractions of the load's duration. */
export interface TrialFault {
  readonly name: string;
  readonly at: number;
  readonly until?: number;
  begin(fleet: ProcessFleet): Promise<void>;
  end?(fleet: ProcessFleet): Promise<void>;
}

const LOST_RESPONSES_RATIO = 0.2;
const SLOW_FACTOR = 8;

async function stopGracefully(fleet: ProcessFleet, id: string): Promise<void> {
  const code = await fleet.stopRouter(id);
  if (code !== 0) {
    throw new Error(
      `${id} exited with ${code ?? 'a signal'} instead of 0 after SIGTERM`,
    );
  }
}

/** All faults of a process trial, in order of their begin. */
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
    begin: fleet =>
      fleet.setPlatformFaults({ lostAnswers: LOST_RESPONSES_RATIO }),
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
      fleet.controlEndpoint('service-1', { lostAnswers: LOST_RESPONSES_RATIO }),
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
    begin: fleet => stopGracefully(fleet, 'router-2'),
  },
];

/**
 * Injects a fault during a load of the given duration; resolves when the fault has ended.
 * @param onProgress receives a line when the fault begins and when it ends
 */
export async function injectFault(
  fault: TrialFault,
  fleet: ProcessFleet,
  durationMs: number,
  onProgress: (line: string) => void,
): Promise<void> {
  await sleep(fault.at * durationMs);
  onProgress(`${fault.name} begins`);
  await fault.begin(fleet);
  if (fault.until !== undefined && fault.end) {
    await sleep((fault.until - fault.at) * durationMs);
    await fault.end(fleet);
    onProgress(`${fault.name} ends`);
  }
}
