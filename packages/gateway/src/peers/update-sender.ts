/** Decides when this router's news go out to those that subscribed to it. */
import type { TopicEntries } from '@sesamegrade/core/gossip/gossip-scheduler';
import { loadDelay, partDelay } from '@sesamegrade/core/peers/news-pace';
import type { PeerNews } from '@sesamegrade/core/peers/peer-news';
import type { RouterRoster } from '@sesamegrade/core/peers/router-roster';
import type { TimerService } from '@sesamegrade/core/time/timer-service';
import {
  addTime,
  elapsed,
  milliseconds,
  seconds,
} from '@sesamegrade/core/types/units';
import type { Instant, Milliseconds } from '@sesamegrade/core/types/units';

/** How often it is looked whether news are due. */
const TICK: Milliseconds = milliseconds(100);
/** Departures and versions wait this long for others of their kind. */
const URGENT_DELAY: Milliseconds = milliseconds(25);
/** A router without news says at least that it is there. */
const SIGN_PERIOD: Milliseconds = seconds(1);

export interface UpdateSenderOptions {
  readonly peerUpdates: PeerNews;
  readonly routerDirectory: RouterRoster;
  readonly timers: TimerService;
  readonly send: (topics: TopicEntries) => void;
}

export class UpdateSender {
  readonly #options: UpdateSenderOptions;
  /** When the next message goes out at the latest; undefined when nothing waits. */
  #dueAt: Instant | undefined;
  #toldAt: Instant | undefined;

  constructor(options: UpdateSenderOptions) {
    this.#options = options;
  }

  start(): void {
    this.#options.timers.every(TICK, now => {
      this.#tellLoads(now);
    });
  }

  /** Tells news shortly, with those that come meanwhile. */
  flushSoon(): void {
    const { peerUpdates, routerDirectory, timers } = this.#options;
    const delay = peerUpdates.isUrgent
      ? URGENT_DELAY
      : partDelay(routerDirectory.fleetSize);
    const due = addTime(timers.now(), delay);
    if (this.#dueAt !== undefined && this.#dueAt <= due) {
      return;
    }
    this.#dueAt = due;
    timers.after(delay, now => {
      if (this.#dueAt === due) {
        this.#tell(now);
      }
    });
  }

  /** Tells loads when they have waited long enough, and that this router is there. */
  #tellLoads(now: Instant): void {
    const period = loadDelay(this.#options.routerDirectory.fleetSize);
    if (this.#toldAt === undefined || elapsed(this.#toldAt, now) >= period) {
      this.#tell(now);
    }
  }

  #tell(now: Instant): void {
    const { peerUpdates, send } = this.#options;
    this.#dueAt = undefined;
    const changes = peerUpdates.takeChanges();
    const isSignDue =
      this.#toldAt === undefined || elapsed(this.#toldAt, now) >= SIGN_PERIOD;
    if (!changes && !isSignDue) {
      return;
    }
    this.#toldAt = now;
    send(changes ?? {});
  }
}
