/** One running router: starts its parts, stops them without cutting anything off. */
import type { AwilixContainer } from 'awilix';

import type { Address } from '@sesamegrade/core/types/endpoint';
import { milliseconds } from '@sesamegrade/core/types/units';
import type { Milliseconds } from '@sesamegrade/core/types/units';
import type { Cradle } from '../composition/cradle';

/** Where a router can be reached. */
export interface RouterAddresses {
  readonly callers: Address;
  readonly peers: Address;
  readonly operators: Address;
}

/** How a planned stop ended. */
export type StopResult =
  | { readonly kind: 'drained' }
  | { readonly kind: 'cut-off'; readonly requests: number };

const STORE_WAIT = milliseconds(10_000);
const STORE_POLL = milliseconds(20);

export class RouterProcess {
  readonly #cradle: Cradle;
  readonly #cancels: (() => void)[] = [];

  constructor(container: AwilixContainer<Cradle>) {
    this.#cradle = container.cradle;
  }

  async start(): Promise<RouterAddresses> {
    const { dispatcher, runner, orderDesk, feed, prober } = this.#cradle;
    const { store, controlMeter, callerServer, engineOrderDesk } = this.#cradle;
    this.#cancels.push(
      dispatcher.start(runner, orderDesk),
      orderDesk.start(),
      feed.start(),
      prober.start(),
      store.start(),
      controlMeter.start(),
      engineOrderDesk.start(),
    );
    const peers = await this.#cradle.peers.start();
    const operators = await this.#cradle.operatorServer.listen();
    const callers = await callerServer.start();
    const { logger, events, settings } = this.#cradle;
    const addresses = { callers, peers, operators };
    events.record('process-started', { router: settings.router.id });
    logger.info('router started', addresses);
    return addresses;
  }

  /** Finishes what is under way, then ends; a limit of 0 waits without end. */
  async stop(): Promise<StopResult> {
    const { readiness, callerServer, dispatcher, logger } = this.#cradle;
    const { settings, events, routers, peers, policy } = this.#cradle;
    readiness.stop();
    routers.leave();
    peers.flush();
    events.record('process-stopping', { router: settings.router.id });
    logger.info('router stopping', { inFlight: dispatcher.inFlight });
    this.#cradle.engineOrderDesk.releaseAll();
    await this.#pause(milliseconds(settings.limits.drain_notice_ms));
    callerServer.stopAccepting();
    await this.#drained(policy.stopWait);
    const left = dispatcher.inFlight;
    await this.#storeSettled();
    events.record('process-stopped', { router: settings.router.id });
    await this.#close();
    logger.info('router stopped', { cutOff: left });
    return left === 0
      ? { kind: 'drained' }
      : { kind: 'cut-off', requests: left };
  }

  #drained(limit: Milliseconds): Promise<void> {
    const { dispatcher } = this.#cradle;
    if (limit === 0) {
      return dispatcher.idle();
    }
    return Promise.race([dispatcher.idle(), this.#pause(limit)]);
  }

  #pause(length: Milliseconds): Promise<void> {
    return new Promise(resolve => {
      this.#cradle.timers.after(length, () => {
        resolve();
      });
    });
  }

  /** Waits until the store has the last state of orders and leases, for a while at most. */
  async #storeSettled(): Promise<void> {
    const { orderDesk, engineOrderDesk, timers } = this.#cradle;
    const open = () => orderDesk.open + engineOrderDesk.open;
    const giveUpAt = timers.now() + STORE_WAIT;
    while (open() > 0 && timers.now() < giveUpAt) {
      await this.#pause(STORE_POLL);
    }
  }

  async #close(): Promise<void> {
    for (const cancel of this.#cancels) {
      cancel();
    }
    this.#cradle.callerServer.close();
    await this.#cradle.peers.stop();
    await this.#cradle.operatorServer.close();
    await this.#cradle.client.close();
    this.#cradle.statsd.close();
    this.#cradle.timers.stop();
  }
}
