/** One running router: starts its parts, stops them without cutting anything off. */
import type { AwilixContainer } from 'awilix';

import type { Address } from '@sesamegrade/core/types/endpoint';
import { milliseconds } from '@sesamegrade/core/types/units';
import type { Milliseconds } from '@sesamegrade/core/types/units';
import type { Cradle } from '../composition/container';

/** Where a router can be reached. */
export interface RouterAddresses {
  readonly callers: Address;
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
    const { dispatcher, runner, orderDesk, feed, callerServer } = this.#cradle;
    this.#cancels.push(
      dispatcher.start(runner, orderDesk),
      orderDesk.start(),
      feed.start(),
      this.#cradle.prober.start(),
    );
    const callers = await callerServer.start();
    const { logger, recorder, settings } = this.#cradle;
    recorder.record('process-started', { router: settings.router.id });
    logger.info('router started', { callers });
    return { callers };
  }

  /** Finishes what is under way, then ends; a limit of 0 waits without end. */
  async stop(): Promise<StopResult> {
    const { readiness, callerServer, dispatcher, logger } = this.#cradle;
    const { settings, recorder } = this.#cradle;
    readiness.stop();
    recorder.record('process-stopping', { router: settings.router.id });
    logger.info('router stopping', { inFlight: dispatcher.inFlight });
    callerServer.stopAccepting();
    const limit = milliseconds(settings.limits.stop_wait_ms);
    await this.#drained(limit);
    const left = dispatcher.inFlight;
    await this.#storeSettled();
    this.#close();
    logger.info('router stopped', { cutOff: left });
    return left === 0
      ? { kind: 'drained' }
      : { kind: 'cut-off', requests: left };
  }

  #drained(limit: Milliseconds): Promise<void> {
    const { dispatcher, timers } = this.#cradle;
    if (limit === 0) {
      return dispatcher.idle();
    }
    const timeout = new Promise<void>(resolve => {
      timers.after(limit, () => {
        resolve();
      });
    });
    return Promise.race([dispatcher.idle(), timeout]);
  }

  /** Waits until the store has the last state of every order, for a while at most. */
  async #storeSettled(): Promise<void> {
    const { orderDesk, timers } = this.#cradle;
    const giveUpAt = timers.now() + STORE_WAIT;
    while (orderDesk.open > 0 && timers.now() < giveUpAt) {
      await new Promise<void>(resolve => {
        timers.after(STORE_POLL, () => {
          resolve();
        });
      });
    }
  }

  #close(): void {
    for (const cancel of this.#cancels) {
      cancel();
    }
    this.#cradle.callerServer.close();
    void this.#cradle.client.close();
    this.#cradle.statsd.close();
    this.#cradle.timers.stop();
  }
}
