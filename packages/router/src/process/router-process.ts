/** Runs one router: starts its components and shuts them down gracefully. */
import type { AwilixContainer } from 'awilix';

import type { Address } from '@sesamegrade/core/types/endpoint';
import { milliseconds } from '@sesamegrade/core/types/units';
import type { Milliseconds } from '@sesamegrade/core/types/units';
import type { Cradle } from '../composition/cradle';

/** Addresses on which a router listens. */
export interface RouterAddresses {
  readonly callers: Address;
  readonly peers: Address;
  readonly operators: Address;
}

/** Result of a graceful shutdown. */
export type StopResult =
  | { readonly kind: 'drained' }
  | { readonly kind: 'cut-off'; readonly requests: number };

const STORE_FLUSH_TIMEOUT = milliseconds(10_000);
const STORE_FLUSH_POLL_PERIOD = milliseconds(20);

export class RouterProcess {
  readonly #cradle: Cradle;
  readonly #cancels: (() => void)[] = [];

  constructor(container: AwilixContainer<Cradle>) {
    this.#cradle = container.cradle;
  }

  async start(): Promise<RouterAddresses> {
    const {
      dispatcher,
      attemptRunner,
      orderCommandRunner,
      vmListPoller,
      prober,
    } = this.#cradle;
    const {
      configurationStore,
      controlMeter,
      callerServer,
      engineCommandRunner,
    } = this.#cradle;
    this.#cancels.push(
      dispatcher.start(attemptRunner, orderCommandRunner),
      orderCommandRunner.start(),
      vmListPoller.start(),
      prober.start(),
      configurationStore.start(),
      controlMeter.start(),
      engineCommandRunner.start(),
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

  /** Waits for running requests to finish, then closes everything; a `stopWait` of 0 means no time limit. */
  async stop(): Promise<StopResult> {
    const { readiness, callerServer, dispatcher, logger } = this.#cradle;
    const { settings, events, routers, peers, policy } = this.#cradle;
    readiness.stop();
    routers.leave();
    peers.flush();
    events.record('process-stopping', { router: settings.router.id });
    logger.info('router stopping', { inFlight: dispatcher.inFlight });
    this.#cradle.engineCommandRunner.releaseAll();
    await this.#pause(milliseconds(settings.limits.drain_notice_ms));
    callerServer.stopAccepting();
    await this.#waitUntilIdle(policy.stopWait);
    const remaining = dispatcher.inFlight;
    await this.#waitForStore();
    events.record('process-stopped', { router: settings.router.id });
    await this.#close();
    logger.info('router stopped', { cutOff: remaining });
    await this.#cradle.logOutput.close(this.#cradle.timers);
    this.#cradle.timers.stop();
    return remaining === 0
      ? { kind: 'drained' }
      : { kind: 'cut-off', requests: remaining };
  }

  #waitUntilIdle(limit: Milliseconds): Promise<void> {
    const { dispatcher } = this.#cradle;
    if (limit === 0) {
      return dispatcher.waitUntilIdle();
    }
    return Promise.race([dispatcher.waitUntilIdle(), this.#pause(limit)]);
  }

  #pause(length: Milliseconds): Promise<void> {
    return new Promise(resolve => {
      this.#cradle.timers.after(length, () => {
        resolve();
      });
    });
  }

  /** Waits, for a limited time, until the last states of orders and leases are stored. */
  async #waitForStore(): Promise<void> {
    const { orderCommandRunner, engineCommandRunner, timers } = this.#cradle;
    const unstoredCount = () =>
      orderCommandRunner.openOrderCount +
      engineCommandRunner.unreleasedLeaseCount;
    const deadline = timers.now() + STORE_FLUSH_TIMEOUT;
    while (unstoredCount() > 0 && timers.now() < deadline) {
      await this.#pause(STORE_FLUSH_POLL_PERIOD);
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
  }
}
