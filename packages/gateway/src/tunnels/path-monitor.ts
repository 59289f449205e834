/** Checks the path to an endpoint that has sent nothing for a while although a request waits there. */
import type { EndpointEntry } from '@sesamegrade/core/endpoints/endpoint-entry';
import type { FleetState } from '@sesamegrade/core/forwarding/fleet-state';
import type { TimerService } from '@sesamegrade/core/time/timer-service';
import { elapsed, milliseconds } from '@sesamegrade/core/types/units';
import type { Milliseconds } from '@sesamegrade/core/types/units';
import type { PathDialer } from './path-dialer';

/** Silence after which a path is checked. */
const SUSPICIOUS_SILENCE: Milliseconds = milliseconds(500);

export interface PathMonitorOptions {
  readonly endpointDialer: Pick<PathDialer, 'check'>;
  readonly fleetState: FleetState;
  readonly timers: TimerService;
}

export class PathMonitor {
  readonly #options: PathMonitorOptions;

  constructor(options: PathMonitorOptions) {
    this.#options = options;
  }

  /** Watches a request that was just sent; returns the function to be called at its end. */
  watch({ id, address }: EndpointEntry): () => void {
    const { timers, fleetState, endpointDialer } = this.#options;
    const sentAt = timers.now();
    return timers.after(SUSPICIOUS_SILENCE, () => {
      const lastActivityAt = fleetState.lastActivityAt(id);
      const hasAnswered =
        lastActivityAt !== undefined && elapsed(sentAt, lastActivityAt) > 0;
      if (!hasAnswered) {
        endpointDialer.check(address);
      }
    });
  }
}
