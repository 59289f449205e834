/** Measures the cost of recording one event of the timeline. */
import { EventBuffer } from '@sesamegrade/core/timeline/event-buffer';
import { HybridClock } from '@sesamegrade/core/timeline/hybrid-clock';

const EVENTS_PER_RUN = 500_000;
const BUFFER_CAPACITY = 20_000;
const NS_PER_MS = 1_000_000;

/** Figures of one run. */
export interface EventCost {
  readonly nanosecondsPerEvent: number;
  /** Size of one event in the JSON that readers receive, in bytes. */
  readonly jsonBytes: number;
}

function record(buffer: EventBuffer, index: number): void {
  buffer.record(
    'request-sent',
    { request: `request-${index}`, endpoint: 'engine-7', team: 'cooperative' },
    { attempt: 1 },
  );
}

/** Records many events and returns the mean cost; the first run warms up. */
export function measureEvents(runs: number): EventCost[] {
  const costs: EventCost[] = [];
  for (let run = 0; run <= runs; run += 1) {
    const clock = new HybridClock(() => Date.now());
    const buffer = new EventBuffer({
      process: 'router-1',
      incarnation: 1,
      clock,
      capacity: BUFFER_CAPACITY,
    });
    const start = performance.now();
    for (let index = 0; index < EVENTS_PER_RUN; index += 1) {
      record(buffer, index);
    }
    const elapsedNs = (performance.now() - start) * NS_PER_MS;
    const page = buffer.after(0, 1);
    const jsonBytes = JSON.stringify(page.events[0]).length;
    if (run > 0) {
      costs.push({
        nanosecondsPerEvent: elapsedNs / EVENTS_PER_RUN,
        jsonBytes,
      });
    }
  }
  return costs;
}
