/** Decides when this router's updates are sent to the peers that subscribed to it. */
import type { TopicEntries } from '@sesamegrade/core/gossip/gossip-scheduler';
import {
  loadUpdateDelay,
  promptPartUpdateDelay,
} from '@sesamegrade/core/peers/update-delays';
import type { PeerUpdates } from '@sesamegrade/core/peers/peer-updates';
import type { RouterDirectory } from '@sesamegrade/core/peers/router-directory';
import type { TimerService } from '@sesamegrade/core/time/timer-service';
import {
  addTime,
  elapsed,
  milliseconds,
  seconds,
} from '@sesamegrade/core/types/units';
import type { Instant, Milliseconds } from '@sesamegrade/core/types/units';

/** How often pending load updates are checked. */
const CHECK_PERIOD: Milliseconds = milliseconds(100);
/** Batching delay of departures and configuration versions. */
const URGENT_DELAY: Milliseconds = milliseconds(25);
/** A router without updates sends an empty message this often as a heartbeat. */
const HEARTBEAT_PERIOD: Milliseconds = seconds(1);

export interface UpdateSenderOptions {
  readonly peerUpdates: PeerUpdates;
  readonly routerDirectory: RouterDirectory;
  readonly timers: TimerService;
  readonly send: (topics: TopicEntries) => void;
}

export class UpdateSender {
  readonly #options: UpdateSenderOptions;
  /** Latest time of the next message; undefined when no update waits. */
  #flushAt: Instant | undefined;
  #sentAt: Instant | undefined;

  constructor(options: UpdateSenderOptions) {
    this.#options = options;
  }

  start(): void {
    this.#options.timers.every(CHECK_PERIOD, now => {
      this.#flushLoads(now);
    });
  }

  /** Sends pending updates after a short delay, together with those that arrive meanwhile. */
  flushSoon(): void {
    const { peerUpdates, routerDirectory, timers } = this.#options;
    const delay = peerUpdates.isUrgent
      ? URGENT_DELAY
      : promptPartUpdateDelay(routerDirectory.fleetSize);
    const flushAt = addTime(timers.now(), delay);
    if (this.#flushAt !== undefined && this.#flushAt <= flushAt) {
      return;
    }
    this.#flushAt = flushAt;
    timers.after(delay, now => {
      if (this.#flushAt === flushAt) {
        this.#flush(now);
      }
    });
  }

  /** Sends load updates whose batching delay is over, or a heartbeat. */
  #flushLoads(now: Instant): void {
    const period = loadUpdateDelay(this.#options.routerDirectory.fleetSize);
    if (this.#sentAt === undefined || elapsed(this.#sentAt, now) >= period) {
      this.#flush(now);
    }
  }

  #flush(now: Instant): void {
    const { peerUpdates, send } = this.#options;
    this.#flushAt = undefined;
    const changes = peerUpdates.takeChanges();
    const isHeartbeatDue =
      this.#sentAt === undefined ||
      elapsed(this.#sentAt, now) >= HEARTBEAT_PERIOD;
    if (!changes && !isHeartbeatDue) {
      return;
    }
    this.#sentAt = now;
    send(changes ?? {});
  }
}
