/**
 * A service of which a newer version is released while one router is out of touch, and
 * callers who take up its streams at that router, also in the seconds after.
 */
import { setTimeout as pause } from 'node:timers/promises';

import type { Random } from '@sesamegrade/core/random/random';
import { serverEntry } from '../deployment/deployment-documents';
import type { TestRoute } from '../deployment/deployment-documents';
import type { ReceivedResponse } from '../deployment/http-caller';
import type { RouterProcess } from '../deployment/router-process';
import type { RowStoreServer } from '../deployment/row-store-server';
import { ScriptedServer } from '../deployment/scripted-server';
import { describeContactLoss, planContactLoss } from './contact-loss';
import type { ContactLoss } from './contact-loss';
import {
  callAndLose,
  outcomeOf,
  pacedRoute,
  pacedScript,
  versionIn,
} from './paced-streams';
import type { RouterLinks } from './router-links';
import { completeEvents, receivedStream, resumption } from './soak-callers';
import type { SoakInvariantChecker } from './soak-invariant-checker';
import type { TakeUpRecord } from './take-up-record';

/** Endpoints of each version, and the requests that each may run at once. */
const ENDPOINTS = 3;
const SLOTS = 20;
/** Share of the endpoints that crash. */
const CRASH_SHARE = 0.5;
/** Time from the crash of an endpoint to the removal of its row. */
const DOWN_MS = 1000;
/** Time before a loss in which streams begin. */
const LEAD_MS = 300;
/** Time after it in which streams are taken up at the router. */
const AFTER_MS = 2500;
const STREAM_INTERVAL_MS = 50;
const MAX_ATTEMPTS = 3;
/** Share of the broken streams that are taken up at the router that is out of touch. */
const TAKE_UP_SHARE = 0.7;
const STATUS_OK = 200;

export interface ContactLossScenarioOptions {
  readonly index: number;
  readonly seed: number;
  readonly random: Random;
  readonly store: RowStoreServer;
  readonly routers: readonly RouterProcess[];
  readonly links: RouterLinks;
  readonly checker: SoakInvariantChecker;
  readonly takeUps: TakeUpRecord;
  /** Milliseconds since the start of the soak. */
  readonly now: () => number;
}

interface ScenarioEndpoint {
  readonly name: string;
  readonly version: string;
  readonly server: ScriptedServer;
}

export class ContactLossScenario {
  readonly #options: ContactLossScenarioOptions;
  readonly #loss: ContactLoss;
  readonly #service: string;
  #endpoints: ScenarioEndpoint[] = [];
  #requestCount = 0;
  #isOutOfTouch = false;

  constructor(options: ContactLossScenarioOptions) {
    this.#options = options;
    this.#loss = planContactLoss(options.random);
    this.#service = `released-${options.index}`;
  }

  get service(): string {
    return this.#service;
  }

  get route(): TestRoute {
    return pacedRoute(this.#service);
  }

  /** Whether the router is stopped or cut off now. */
  get isOutOfTouch(): boolean {
    return this.#isOutOfTouch;
  }

  get requestCount(): number {
    return this.#requestCount;
  }

  toString(): string {
    return describeContactLoss(this.#loss);
  }

  open(): Promise<void> {
    return this.#addEndpoints('v1');
  }

  async close(): Promise<void> {
    await Promise.all(this.#endpoints.map(({ server }) => server.stop()));
  }

  /** Lets a router lose contact, and resolves when all streams have ended. */
  async run(router: RouterProcess): Promise<void> {
    const { releaseAfterMs, crashAfterMs, lengthMs, lateMs } = this.#loss;
    const lastsMs = Math.max(releaseAfterMs + crashAfterMs, lengthMs + lateMs);
    const end = this.#options.now() + LEAD_MS + lastsMs;
    const streams = this.#sendStreams(router, end + AFTER_MS);
    await pause(LEAD_MS);
    await Promise.all([
      this.#loseContact(router),
      this.#releaseAndCrash(),
      streams,
    ]);
  }

  async #loseContact(router: RouterProcess): Promise<void> {
    const { links, takeUps, checker, now } = this.#options;
    const { cut, lengthMs, lateLinks, lateMs } = this.#loss;
    const onEnd = takeUps.disturb('out-of-step', router.name, now());
    checker.recordDisturbance(now());
    this.#isOutOfTouch = true;
    if (cut) {
      links.cut(router.name, cut);
    } else {
      router.sendSignal('SIGSTOP');
    }
    await pause(lengthMs);
    if (cut) {
      const { direction } = cut;
      const none = { store: false, peers: false, direction };
      links.cut(router.name, { ...none, [lateLinks]: cut[lateLinks] });
      await pause(lateMs);
      links.heal(router.name);
    } else {
      router.sendSignal('SIGCONT');
    }
    this.#isOutOfTouch = false;
    checker.recordDisturbance(now());
    onEnd(now());
  }

  async #releaseAndCrash(): Promise<void> {
    const { random, store } = this.#options;
    const { releaseAfterMs, crashAfterMs } = this.#loss;
    await pause(releaseAfterMs);
    await this.#addEndpoints('v2');
    await pause(crashAfterMs);
    const crashed = this.#endpoints.filter(
      () => random.fraction() < CRASH_SHARE,
    );
    this.#endpoints = this.#endpoints.filter(each => !crashed.includes(each));
    await Promise.all(crashed.map(({ server }) => server.stop()));
    await pause(DOWN_MS);
    for (const { name } of crashed) {
      store.remove('servers', name);
    }
  }

  async #addEndpoints(version: string): Promise<void> {
    const { store, random } = this.#options;
    for (let count = 0; count < ENDPOINTS; count += 1) {
      const name = `${this.#service}-${version}-${count}`;
      const service = this.#service;
      const born = Date.now();
      const script = pacedScript({ service, version, born, random });
      const server = await new ScriptedServer(script).start();
      this.#endpoints.push({ name, version, server });
      const fields = { service, version, born, slots: SLOTS };
      store.write('servers', name, serverEntry(server.address, fields));
    }
  }

  async #sendStreams(router: RouterProcess, until: number): Promise<void> {
    const streams: Promise<void>[] = [];
    while (this.#options.now() < until) {
      streams.push(this.#sendStream(router));
      await pause(STREAM_INTERVAL_MS);
    }
    await Promise.all(streams);
  }

  /** Begins a stream at another router and takes it up until it is complete or refused. */
  async #sendStream(outOfTouch: RouterProcess): Promise<void> {
    const { random, routers, checker } = this.#options;
    const others = routers.filter(router => router !== outOfTouch);
    const first = this.#newRequestId();
    let received = '';
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt += 1) {
      const isThere = attempt > 0 && random.fraction() < TAKE_UP_SHARE;
      const router = isThere ? outOfTouch : random.pick(others);
      const response =
        attempt === 0
          ? await this.#call(router, first)
          : await this.#takeUp(router, first, received);
      if (response?.status !== STATUS_OK) {
        return;
      }
      checker.recordStream(receivedStream(first, received, response));
      received += completeEvents(response.body);
      if (response.isComplete || received === '') {
        return;
      }
    }
  }

  async #takeUp(
    router: RouterProcess,
    first: string,
    received: string,
  ): Promise<ReceivedResponse | undefined> {
    const { takeUps, now } = this.#options;
    const version = versionIn(received);
    const from = now();
    const wasServed = this.#serves(version);
    const id = this.#newRequestId();
    const response = await this.#call(router, id, resumption(first, received));
    takeUps.record({
      router: router.name,
      from,
      to: now(),
      outcome: outcomeOf(response),
      isServed: wasServed && this.#serves(version),
    });
    return response;
  }

  #serves(version: string): boolean {
    return this.#endpoints.some(endpoint => endpoint.version === version);
  }

  #call(
    router: RouterProcess,
    id: string,
    headers: Readonly<Record<string, string>> = {},
  ): Promise<ReceivedResponse | undefined> {
    const { random } = this.#options;
    return callAndLose({ service: this.#service, router, id, headers, random });
  }

  #newRequestId(): string {
    this.#requestCount += 1;
    const { seed, index } = this.#options;
    return `${seed.toString(16)}-${this.#service}-${index}-${this.#requestCount}`;
  }
}
