/**
 * A silent store while a service has endpoints of two versions. Callers lose their connections,
 * in some seeds as a router is killed, and take up their streams within the silence at routers
 * that have not relayed them.
 */
import { setTimeout as pause } from 'node:timers/promises';

import type { Random } from '@sesamegrade/core/random/random';
import { serverEntry } from '../deployment/deployment-documents';
import type { TestRoute } from '../deployment/deployment-documents';
import type { ReceivedResponse } from '../deployment/http-caller';
import type { RouterProcess } from '../deployment/router-process';
import type { RowStoreServer } from '../deployment/row-store-server';
import { ScriptedServer } from '../deployment/scripted-server';
import {
  callAndLose,
  outcomeOf,
  pacedRoute,
  pacedScript,
} from './paced-streams';
import { completeEvents, receivedStream, resumption } from './soak-callers';
import type { SoakInvariantChecker } from './soak-invariant-checker';
import type { TakeUpRecord } from './take-up-record';

const SERVICE = 'silence';
/** Endpoints of each version, and the requests that each may run at once. */
const ENDPOINTS = 4;
const SLOTS = 20;
/** Time from the first endpoint of the second version to the first stream. */
const JOIN_MS = 2000;
/** Time before the silence in which streams begin. */
const LEAD_MS = 500;
const SILENCE_MS = { min: 3000, max: 5000 };
/** Share of the silences in which a router is killed, and the time from their begin to that. */
const KILL_SHARE = 0.5;
const KILL_AFTER_MS = { min: 1000, max: 2500 };
/** Time before the end of the silence from which on take-ups may be answered after it. */
const ANSWER_MS = 1000;
const STREAM_INTERVAL_MS = 50;

export interface StoreSilenceScenarioOptions {
  readonly seed: number;
  readonly random: Random;
  readonly store: RowStoreServer;
  readonly routers: readonly RouterProcess[];
  readonly checker: SoakInvariantChecker;
  readonly takeUps: TakeUpRecord;
  /** Milliseconds since the start of the soak. */
  readonly now: () => number;
}

export class StoreSilenceScenario {
  static readonly service = SERVICE;
  static readonly route: TestRoute = pacedRoute(SERVICE);
  readonly #options: StoreSilenceScenarioOptions;
  readonly #servers: ScriptedServer[] = [];
  #killed: RouterProcess | undefined;
  /** Whether what begins now is answered in the silence. */
  #isSilent = false;
  #requestCount = 0;

  constructor(options: StoreSilenceScenarioOptions) {
    this.#options = options;
  }

  get requestCount(): number {
    return this.#requestCount;
  }

  open(): Promise<void> {
    return this.#addEndpoints('v1');
  }

  async close(): Promise<void> {
    await Promise.all(this.#servers.map(server => server.stop()));
  }

  async run(): Promise<void> {
    const { random, store } = this.#options;
    const lengthMs = random.integer(SILENCE_MS.min, SILENCE_MS.max);
    await this.#addEndpoints('v2');
    await pause(JOIN_MS);
    const streams = this.#sendStreams(LEAD_MS + lengthMs);
    await pause(LEAD_MS);
    store.fault = 'silent';
    this.#isSilent = true;
    const kill = this.#killRouter();
    await pause(lengthMs - ANSWER_MS);
    this.#isSilent = false;
    await pause(ANSWER_MS);
    store.fault = 'none';
    await Promise.all([streams, kill]);
  }

  async #addEndpoints(version: string): Promise<void> {
    const { random, store } = this.#options;
    for (let count = 0; count < ENDPOINTS; count += 1) {
      const born = Date.now();
      const script = pacedScript({ service: SERVICE, version, born, random });
      const server = await new ScriptedServer(script).start();
      this.#servers.push(server);
      const fields = { service: SERVICE, version, born, slots: SLOTS };
      const entry = serverEntry(server.address, fields);
      store.write('servers', `${SERVICE}-${version}-${count}`, entry);
    }
  }

  async #killRouter(): Promise<void> {
    const { random, routers, takeUps, now } = this.#options;
    if (random.fraction() >= KILL_SHARE) {
      return;
    }
    await pause(random.integer(KILL_AFTER_MS.min, KILL_AFTER_MS.max));
    const killed = random.pick(routers);
    // It has lost its peers as well, and takes up no streams of the scenario any more.
    this.#killed = killed;
    takeUps.disturb('disturbed', killed.name, now());
    await killed.restart('SIGKILL');
  }

  async #sendStreams(lengthMs: number): Promise<void> {
    const streams: Promise<void>[] = [];
    for (let at = 0; at < lengthMs; at += STREAM_INTERVAL_MS) {
      streams.push(this.#sendStream());
      await pause(STREAM_INTERVAL_MS);
    }
    await Promise.all(streams);
  }

  /** Begins a stream, and takes it up at one router after the other until it is complete. */
  async #sendStream(): Promise<void> {
    const { random, routers, checker } = this.#options;
    const first = this.#newRequestId();
    const at = random.integer(0, routers.length - 1);
    let received = '';
    for (const router of [...routers.slice(at), ...routers.slice(0, at)]) {
      if (router === this.#killed) {
        continue;
      }
      const response = await this.#call(router, first, received);
      if (!response || outcomeOf(response) !== 'went-on') {
        return;
      }
      checker.recordStream(receivedStream(first, received, response));
      received += completeEvents(response.body);
      if (response.isComplete || received === '') {
        return;
      }
    }
  }

  async #call(
    router: RouterProcess,
    first: string,
    received: string,
  ): Promise<ReceivedResponse | undefined> {
    const { random, takeUps, now } = this.#options;
    const isTakeUp = received !== '';
    const isJudged = isTakeUp && this.#isSilent;
    const from = now();
    const response = await callAndLose({
      ...{ service: SERVICE, router, random },
      id: isTakeUp ? this.#newRequestId() : first,
      headers: isTakeUp ? resumption(first, received) : {},
    });
    if (isJudged) {
      takeUps.record({
        ...{ router: router.name, from, to: now(), isServed: true },
        outcome: outcomeOf(response),
      });
    }
    return response;
  }

  #newRequestId(): string {
    this.#requestCount += 1;
    return `${this.#options.seed.toString(16)}-${SERVICE}-${this.#requestCount}`;
  }
}
