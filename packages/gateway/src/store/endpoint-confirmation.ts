/**
 * Makes sure that this router knows every endpoint which another one may already use,
 * by a read of the store that begins after the call.
 */
import type { FeedTable } from '@sesamegrade/core/peers/feed-updates';
import type { FeedCoverage } from '@sesamegrade/core/store/feed-coverage';
import type { BackgroundTasks } from '@sesamegrade/core/tasks/background-tasks';
import type { TimerService } from '@sesamegrade/core/time/timer-service';
import { milliseconds } from '@sesamegrade/core/types/units';
import type { Milliseconds } from '@sesamegrade/core/types/units';
import type { FeedSource } from './feed-source';
import type { FleetReplica } from './fleet-replica';

/** Time in which further calls share the read of the first one. */
const BATCH_DELAY: Milliseconds = milliseconds(5);
const NO_WAIT: Milliseconds = milliseconds(0);

export interface EndpointConfirmationOptions {
  readonly endpointFeed: Pick<FeedSource, 'readChanges'>;
  readonly coverage: Readonly<
    Pick<Record<FeedTable, FeedCoverage>, 'endpoints'>
  >;
  readonly fleetReplica: Pick<
    FleetReplica,
    'isHealthy' | 'applyEndpointChanges'
  >;
  readonly timers: TimerService;
  readonly backgroundTasks: BackgroundTasks;
}

export class EndpointConfirmation {
  readonly #options: EndpointConfirmationOptions;
  #waiting: ((isConfirmed: boolean) => void)[] = [];

  constructor(options: EndpointConfirmationOptions) {
    this.#options = options;
  }

  /** Resolves with whether the store answered. */
  confirm(): Promise<boolean> {
    return new Promise(resolve => {
      this.#waiting.push(resolve);
      if (this.#waiting.length === 1) {
        this.#options.timers.after(BATCH_DELAY, () => {
          this.#startRead();
        });
      }
    });
  }

  #startRead(): void {
    const waiting = this.#waiting;
    this.#waiting = [];
    this.#options.backgroundTasks.run('endpoint-confirmation', async () => {
      let isConfirmed = false;
      try {
        isConfirmed = await this.#read();
      } finally {
        waiting.forEach(resolve => {
          resolve(isConfirmed);
        });
      }
    });
  }

  async #read(): Promise<boolean> {
    const { endpointFeed, coverage, fleetReplica, timers } = this.#options;
    const after = coverage.endpoints.position;
    if (after === undefined || !fleetReplica.isHealthy) {
      return false;
    }
    const sentAt = timers.now();
    const changes = await endpointFeed.readChanges(after.revision, NO_WAIT);
    if (!changes.ok || changes.value.position.era !== after.era) {
      return false;
    }
    fleetReplica.applyEndpointChanges(changes.value, sentAt);
    return true;
  }
}
