/**
 * A silent store, near whose end all routers are killed, while a service has endpoints of two
 * versions, some of which restart under their ids with the other one. Callers resume the
 * streams that began in the outage once the routers are in touch again.
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
  versionIn,
} from './paced-streams';
import type { ResumptionShare } from './resumption-share';
import { completeEvents, receivedStream, resumption } from './soak-callers';
import type { SoakInvariantChecker } from './soak-invariant-checker';

const SERVICE = 'outage';
/** Endpoints of each version, and the requests that each may run at once. */
const ENDPOINTS = 4;
const SLOTS = 20;
/** Endpoints of each version that restart with the other one. */
const RESTARTS = 1;
/** Time from the first endpoint of the second version to the begin of the outage. */
const JOIN_BEFORE_MS = { min: 0, max: 3000 };
const OUTAGE_MS = { min: 2500, max: 4500 };
/** Time from the kill to the end of the outage. */
const KILL_BEFORE_END_MS = { min: 100, max: 1000 };
/** Time before the kill in which endpoints restart. */
const RESTART_WITHIN_MS = 1500;
/** Time after the restart and the outage after which every router is in touch. */
const CONTACT_MS = 3500;
const STREAM_INTERVAL_MS = 50;
/** Share of the broken streams that are resumed at once as well. */
const RESUMED_AT_ONCE_SHARE = 0.3;
/** New streams that begin once the routers are in touch. */
const NEW_STREAMS = 20;

export interface StoreOutageScenarioOptions {
  readonly seed: number;
  readonly random: Random;
  readonly store: RowStoreServer;
  readonly routers: readonly RouterProcess[];
  readonly checker: SoakInvariantChecker;
  readonly share: ResumptionShare;
}

interface OutageEndpoint {
  readonly id: string;
  readonly version: string;
  readonly server: ScriptedServer;
}

interface BrokenStream {
  readonly first: string;
  readonly received: string;
}

export class StoreOutageScenario {
  static readonly service = SERVICE;
  static readonly route: TestRoute = pacedRoute(SERVICE);
  readonly #options: StoreOutageScenarioOptions;
  #endpoints: OutageEndpoint[] = [];
  readonly #broken: BrokenStream[] = [];
  #requestCount = 0;

  constructor(options: StoreOutageScenarioOptions) {
    this.#options = options;
  }

  get requestCount(): number {
    return this.#requestCount;
  }

  open(): Promise<void> {
    return this.#addEndpoints('v1');
  }

  async close(): Promise<void> {
    await Promise.all(this.#endpoints.map(({ server }) => server.stop()));
  }

  async run(): Promise<void> {
    const { random, store, routers } = this.#options;
    const lengthMs = random.integer(OUTAGE_MS.min, OUTAGE_MS.max);
    const { min, max } = KILL_BEFORE_END_MS;
    const killBeforeEndMs = random.integer(min, max);
    const restartBeforeKillMs = random.integer(0, RESTART_WITHIN_MS);
    await this.#addEndpoints('v2');
    await pause(random.integer(JOIN_BEFORE_MS.min, JOIN_BEFORE_MS.max));
    store.fault = 'silent';
    const streams = this.#beginStreams(lengthMs - killBeforeEndMs);
    await pause(lengthMs - killBeforeEndMs - restartBeforeKillMs);
    const restarted = await this.#restartEndpoints();
    await pause(restartBeforeKillMs);
    await Promise.all([
      Promise.all(routers.map(router => router.restart('SIGKILL'))),
      pause(killBeforeEndMs),
    ]);
    store.fault = 'none';
    restarted.forEach(endpoint => {
      this.#list(endpoint);
    });
    await streams;
    await pause(CONTACT_MS);
    await this.#resumeBroken();
  }

  async #addEndpoints(version: string): Promise<void> {
    for (let count = 0; count < ENDPOINTS; count += 1) {
      const id = `${SERVICE}-${this.#endpoints.length + 1}`;
      const endpoint = await this.#startEndpoint(id, version);
      this.#endpoints.push(endpoint);
      this.#list(endpoint);
    }
  }

  async #startEndpoint(
    id: string,
    version: string,
    port = 0,
  ): Promise<OutageEndpoint & { readonly born: number }> {
    const { random } = this.#options;
    const born = Date.now();
    const script = pacedScript({ service: SERVICE, version, born, random });
    const server = await new ScriptedServer(script).start(port);
    return { id, version, born, server };
  }

  #list({
    id,
    version,
    born,
    server,
  }: OutageEndpoint & { readonly born: number }): void {
    const fields = { service: SERVICE, version, born, slots: SLOTS };
    const entry = serverEntry(server.address, fields);
    this.#options.store.write('servers', id, entry);
  }

  /** Restarts endpoints under their ids and addresses, which the store does not take yet. */
  async #restartEndpoints() {
    const chosen = ['v1', 'v2'].flatMap(version =>
      this.#endpoints.filter(each => each.version === version).slice(-RESTARTS),
    );
    const restarted = await Promise.all(
      chosen.map(async ({ id, version, server }) => {
        const port = Number(server.address.split(':')[1]);
        await server.stop();
        return this.#startEndpoint(id, version === 'v1' ? 'v2' : 'v1', port);
      }),
    );
    this.#endpoints = [
      ...this.#endpoints.filter(each => !chosen.includes(each)),
      ...restarted,
    ];
    return restarted;
  }

  async #beginStreams(lengthMs: number): Promise<void> {
    const streams: Promise<void>[] = [];
    for (let at = 0; at < lengthMs; at += STREAM_INTERVAL_MS) {
      streams.push(this.#beginStream());
      await pause(STREAM_INTERVAL_MS);
    }
    await Promise.all(streams);
  }

  async #beginStream(): Promise<void> {
    const { random, checker } = this.#options;
    const first = this.#newRequestId();
    const response = await this.#call(first);
    if (!response || outcomeOf(response) !== 'went-on') {
      return;
    }
    checker.recordStream(receivedStream(first, '', response));
    const received = completeEvents(response.body);
    if (response.isComplete || received === '') {
      return;
    }
    if (random.fraction() < RESUMED_AT_ONCE_SHARE) {
      await this.#resume({ first, received });
    }
    this.#broken.push({ first, received });
  }

  /** Resumes all broken streams, and begins new ones beside them. */
  async #resumeBroken(): Promise<void> {
    const { share } = this.#options;
    const requests: Promise<void>[] = [];
    const count = Math.max(NEW_STREAMS, this.#broken.length);
    for (let index = 0; index < count; index += 1) {
      const stream = this.#broken[index];
      if (stream) {
        requests.push(this.#resumeInTouch(stream));
      }
      if (index < NEW_STREAMS) {
        const begun = this.#call(this.#newRequestId()).then(response => {
          const isServed = outcomeOf(response) === 'went-on';
          share.record({ isResumption: false, endpoints: 0, isServed });
        });
        requests.push(begun);
      }
      await pause(STREAM_INTERVAL_MS);
    }
    await Promise.all(requests);
  }

  async #resumeInTouch(stream: BrokenStream): Promise<void> {
    const version = versionIn(stream.received);
    const endpoints = this.#endpoints.filter(
      each => each.version === version,
    ).length;
    const response = await this.#resume(stream);
    const isServed = outcomeOf(response) === 'went-on';
    this.#options.share.record({ isResumption: true, endpoints, isServed });
  }

  async #resume({
    first,
    received,
  }: BrokenStream): Promise<ReceivedResponse | undefined> {
    const id = this.#newRequestId();
    const response = await this.#call(id, resumption(first, received));
    if (response && outcomeOf(response) === 'went-on') {
      const stream = receivedStream(first, received, response);
      this.#options.checker.recordStream(stream);
    }
    return response;
  }

  #call(
    id: string,
    headers: Readonly<Record<string, string>> = {},
  ): Promise<ReceivedResponse | undefined> {
    const { random, routers } = this.#options;
    const router = random.pick(routers);
    return callAndLose({ service: SERVICE, router, id, headers, random });
  }

  #newRequestId(): string {
    this.#requestCount += 1;
    return `${this.#options.seed.toString(16)}-${SERVICE}-${this.#requestCount}`;
  }
}
