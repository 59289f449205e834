/**
 * Simulates a fleet with two relays that exchange loads, without sockets. Requests
 * start at random routers and endpoints; messages arrive after a delay and in
 * order.
 */
import { encode } from '@msgpack/msgpack';

import type { TopicEntries } from '@sesamegrade/core/gossip/gossip-scheduler';
import { loadUpdateDelay } from '@sesamegrade/core/peers/update-delays';
import { Random } from '@sesamegrade/core/random/random';
import { ManualTimerService } from '@sesamegrade/core/time/manual-timer-service';
import { endpointId, routerId } from '@sesamegrade/core/types/ids';
import type { EndpointId, RouterId } from '@sesamegrade/core/types/ids';
import { milliseconds, seconds } from '@sesamegrade/core/types/units';
import { CountsExchange, TotalsExchange } from './load-exchange';
import type { LoadExchange } from './load-exchange';

/** The ways that are compared. */
export type ExchangeWay = 'totals' | 'counts';

const RELAYS = 2;
/** WebSocket, tRPC and TCP/IP headers of one message, without its acknowledgement. */
const HEADER_BYTES = 138 - 80 + 52;
const MIN_DELAY_MS = 1;
const MAX_DELAY_MS = 15;
const REQUEST_SECONDS = 0.6;
const SAMPLE_PERIOD = milliseconds(50);

export interface ExchangeFleetOptions {
  readonly way: ExchangeWay;
  readonly routers: number;
  readonly endpoints: number;
  readonly requestsPerRouterSecond: number;
  readonly seed: number;
}

interface SimulatedRouter {
  readonly id: RouterId;
  readonly isRelay: boolean;
  readonly exchange: LoadExchange;
  messagesReceived: number;
  bytesReceived: number;
  bytesSent: number;
}

export class ExchangeFleet {
  readonly #options: ExchangeFleetOptions;
  readonly #timers = new ManualTimerService();
  readonly #random: Random;
  readonly #routers: SimulatedRouter[];
  readonly #endpoints: readonly EndpointId[];
  readonly #errors: number[] = [];

  constructor(options: ExchangeFleetOptions) {
    this.#options = options;
    this.#random = new Random(options.seed);
    this.#endpoints = Array.from({ length: options.endpoints }, (_, at) =>
      endpointId(`i-${String(at).padStart(10, '0')}`),
    );
    this.#routers = Array.from({ length: options.routers }, (_, at) =>
      this.#createRouter(at),
    );
  }

  /** Differences between a router's view of an endpoint and the truth, in requests. */
  get errors(): readonly number[] {
    return this.#errors;
  }

  get routers(): readonly SimulatedRouter[] {
    return this.#routers;
  }

  run(duration: number): void {
    const period = loadUpdateDelay(this.#options.routers);
    for (const router of this.#routers) {
      const phase = milliseconds(this.#random.fraction() * period);
      this.#timers.after(phase, () => {
        this.#timers.every(period, () => {
          this.#flush(router);
        });
      });
      this.#scheduleRequest(router);
    }
    this.#timers.every(SAMPLE_PERIOD, () => {
      this.#sample();
    });
    this.#timers.advance(seconds(duration));
  }

  #createRouter(at: number): SimulatedRouter {
    const id = routerId(`front-zone-${at}`);
    const isRelay = at < RELAYS;
    const exchange =
      this.#options.way === 'totals'
        ? new TotalsExchange(isRelay)
        : new CountsExchange(id, isRelay);
    return {
      id,
      isRelay,
      exchange,
      messagesReceived: 0,
      bytesReceived: 0,
      bytesSent: 0,
    };
  }

  #scheduleRequest(router: SimulatedRouter): void {
    const rate = this.#options.requestsPerRouterSecond;
    const wait = -Math.log(1 - this.#random.fraction()) / rate;
    this.#timers.after(seconds(wait), () => {
      const endpoint = this.#randomItem(this.#endpoints);
      router.exchange.change(endpoint, 1);
      const duration = REQUEST_SECONDS * (0.5 + this.#random.fraction());
      this.#timers.after(seconds(duration), () => {
        router.exchange.change(endpoint, -1);
      });
      this.#scheduleRequest(router);
    });
  }

  #flush(sender: SimulatedRouter): void {
    const changes = sender.exchange.takeChanges();
    for (const receiver of this.#routers) {
      const isLinked = sender.isRelay || receiver.isRelay;
      if (receiver === sender || !isLinked) {
        continue;
      }
      const topics = {
        ...changes,
        ...sender.exchange.takeChangesFor(receiver.id),
      };
      if (Object.keys(topics).length > 0) {
        this.#send(sender, receiver, topics);
      }
    }
  }

  #send(
    sender: SimulatedRouter,
    receiver: SimulatedRouter,
    topics: TopicEntries,
  ): void {
    const size = encode(topics).length + HEADER_BYTES;
    sender.bytesSent += size;
    const delay =
      MIN_DELAY_MS + this.#random.fraction() * (MAX_DELAY_MS - MIN_DELAY_MS);
    this.#timers.after(milliseconds(delay), now => {
      receiver.messagesReceived += 1;
      receiver.bytesReceived += size;
      receiver.exchange.receive(sender.id, topics, now);
    });
  }

  /** Compares the view of one router with the truth at one endpoint. */
  #sample(): void {
    const now = this.#timers.now();
    const router = this.#randomItem(this.#routers);
    const endpoint = this.#randomItem(this.#endpoints);
    const truth = this.#routers.reduce(
      (sum, { exchange }) => sum + exchange.ownInFlight(endpoint),
      0,
    );
    this.#errors.push(Math.abs(router.exchange.total(endpoint, now) - truth));
  }

  #randomItem<Item>(items: readonly Item[]): Item {
    const item = items[Math.floor(this.#random.fraction() * items.length)];
    if (item === undefined) {
      throw new RangeError('cannot pick from an empty list');
    }
    return item;
  }
}
