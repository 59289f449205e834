/** Decides when this router's updates are sent to the peers that subscribed to it. */
import type { TopicEntries } from '@sesamegrade/core/gossip/gossip-scheduler';
import {
  loadUpdateDelay,
  promptPartUpdateDelay,
  standbyUpdateDelay,
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

/** Batching delay of departures and configuration versions. */
const URGENT_DELAY: Milliseconds = milliseconds(25);
/** A router without updates sends an empty message this often as a heartbeat. */
const HEARTBEAT_PERIOD: Milliseconds = seconds(1);

export interface UpdateSenderOptions {
  readonly peerUpdates: PeerUpdates;
  readonly routerDirectory: RouterDirectory;
  readonly timers: TimerService;
  /** Whether another relay sends the same loads and prompt parts without this delay. */
  readonly isStandby: () => boolean;
  /** Sends updates to every subscriber; those that are not urgent may wait for some of them. */
  readonly send: (topics: TopicEntries, isUrgent: boolean) => void;
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
    this.#options.timers.every(HEARTBEAT_PERIOD, now => {
      this.#sendHeartbeat(now);
    });
  }

  /** Sends pending updates after a short delay, together with those that arrive meanwhile. */
  flushSoon(): void {
    const { peerUpdates, routerDirectory, timers } = this.#options;
    const delay = peerUpdates.isUrgent
      ? URGENT_DELAY
      : this.#atLeastStandby(promptPartUpdateDelay(routerDirectory.fleetSize));
    this.#flushAfter(delay, timers.now());
  }

  /** Sends pending load updates once the batching delay since the last message is over. */
  flushLoadsSoon(): void {
    const { routerDirectory, timers } = this.#options;
    const now = timers.now();
    const period = this.#atLeastStandby(
      loadUpdateDelay(routerDirectory.fleetSize),
    );
    const sinceSent =
      this.#sentAt === undefined ? period : elapsed(this.#sentAt, now);
    this.#flushAfter(milliseconds(Math.max(0, period - sinceSent)), now);
  }

  #atLeastStandby(delay: Milliseconds): Milliseconds {
    const { isStandby, routerDirectory } = this.#options;
    return isStandby()
      ? milliseconds(
          Math.max(delay, standbyUpdateDelay(routerDirectory.fleetSize)),
        )
      : delay;
  }

  #flushAfter(delay: Milliseconds, now: Instant): void {
    const flushAt = addTime(now, delay);
    if (this.#flushAt !== undefined && this.#flushAt <= flushAt) {
      return;
    }
    this.#flushAt = flushAt;
    this.#options.timers.after(delay, firedAt => {
      if (this.#flushAt === flushAt) {
        this.#flush(firedAt);
      }
    });
  }

  #sendHeartbeat(now: Instant): void {
    const isDue =
      this.#sentAt === undefined ||
      elapsed(this.#sentAt, now) >= HEARTBEAT_PERIOD;
    if (isDue) {
      this.#sentAt = now;
      // Without a message each second, peers take this router for unreachable.
      this.#options.send(this.#options.peerUpdates.takeChanges(now), true);
      this.#flushRest();
    }
  }

  #flush(now: Instant): void {
    const { peerUpdates, send } = this.#options;
    this.#flushAt = undefined;
    const { isUrgent } = peerUpdates;
    const changes = peerUpdates.takeChanges(now);
    if (Object.keys(changes).length > 0) {
      this.#sentAt = now;
      send(changes, isUrgent);
    }
    this.#flushRest();
  }

  /** Sends what one message did not hold. */
  #flushRest(): void {
    if (this.#options.peerUpdates.isUrgent) {
      this.flushSoon();
    }
  }
}
