/** The endpoints of a soak: what they respond, and how they come and go. */
import { setTimeout as pause } from 'node:timers/promises';

import type { Random } from '@sesamegrade/core/random/random';
import { serverEntry } from '../deployment/deployment-documents';
import {
  sendEndlessStream,
  sendRandomStream,
} from '../deployment/broken-stream';
import type { RowStoreServer } from '../deployment/row-store-server';
import {
  asksForReport,
  completeResponse,
  notExecutedResponse,
  reportResponse,
  ScriptedServer,
} from '../deployment/scripted-server';
import type { Script } from '../deployment/scripted-server';
import { SoakInvariantChecker } from './soak-invariant-checker';

const SERVERS = 4;
/** Time for which an endpoint states a limit, and the limits in requests a second. */
const LIMIT_MS = 7000;
const LIMITS = [1, 2, 4];
/** Time without a store fault or a router out of touch after which all have read the store again. */
const STABLE_STORE_MS = 1200;
/** Time for which a leaving endpoint still records the requests that reach it. */
const LEAVING_MS = 4000;
const POLL_MS = 50;
/** Shares of the endpoints' responses that are faulty, by fault. */
const FAULTY_RESPONSE_SHARES = {
  lost: 0.03,
  duplicated: 0.03,
  truncated: 0.03,
  rejected: 0.05,
};
/** Share of the streams that an endpoint breaks off. */
const BROKEN_STREAM_SHARE = 0.3;
/** Time from the end of an endpoint to the start of its successor. */
export const DOWN_MS = 1000;
/** Addresses of entries that another program writes. */
const FOREIGN_ADDRESSES = ['http://127.0.0.1:80', '10.0.0.300:80', 'a:b:80'];
/** Part of the path of requests that end the endpoint that runs them. */
export const CRASHING_WORD = 'crashing';
const STREAM_TARGET = /^\/(?:draft|summary)\//u;
const STATUS_OK = 200;

export interface SoakEndpointsOptions {
  readonly random: Random;
  readonly checker: SoakInvariantChecker;
  readonly store: RowStoreServer;
  /** Whether any router is out of touch. */
  readonly isOutOfTouch: () => boolean;
  /** Milliseconds since the start of the soak. */
  readonly now: () => number;
  /** Lets the soak wait for something at its end. */
  readonly track: (task: Promise<void>) => void;
}

export class SoakEndpoints {
  readonly #options: SoakEndpointsOptions;
  readonly #servers = new Map<string, ScriptedServer>();
  readonly #softwareVersions = new Map<string, string>();
  readonly #limits = new Map<string, number>();
  #nextServer = 0;
  #softwareVersion = 1;
  #foreignEntries = 0;

  constructor(options: SoakEndpointsOptions) {
    this.#options = options;
  }

  async start(): Promise<void> {
    for (let count = 0; count < SERVERS; count += 1) {
      await this.#addServer();
    }
  }

  async stop(): Promise<void> {
    await Promise.all([...this.#servers.values()].map(each => each.stop()));
  }

  async #addServer(): Promise<void> {
    this.#nextServer += 1;
    await this.#startServer(`s-${this.#nextServer}`);
  }

  /** Starts an endpoint of the newest software version, which the store lists once it answers. */
  async #startServer(name: string, port = 0): Promise<void> {
    const { store } = this.#options;
    const version = `v${this.#softwareVersion}`;
    const born = Date.now();
    const script = this.#endpointScript(name, version, born);
    const server = await new ScriptedServer(script).start(port);
    this.#servers.set(name, server);
    this.#softwareVersions.set(name, version);
    while (store.fault !== 'none') {
      await pause(POLL_MS);
    }
    if (this.#servers.get(name) === server) {
      const entry = serverEntry(server.address, { version, born });
      store.write('servers', name, entry);
    }
  }

  /** Ends an endpoint with all of its connections; another one takes its place. */
  async #endServer(name: string): Promise<void> {
    const server = this.#servers.get(name);
    if (!server) {
      return;
    }
    this.#servers.delete(name);
    await server.stop();
    await pause(DOWN_MS);
    this.#options.store.remove('servers', name);
    await this.#addServer();
  }

  /** Lets an endpoint state a limit for a while. */
  async limitServer(): Promise<void> {
    const name = this.#options.random.pick([...this.#servers.keys()]);
    if (this.#limits.has(name)) {
      return;
    }
    const perSecond = this.#options.random.pick(LIMITS);
    this.#limits.set(name, perSecond);
    const from = this.#options.now();
    await pause(LIMIT_MS);
    this.#limits.delete(name);
    this.#options.checker.recordLimit({
      endpoint: name,
      perSecond,
      from,
      to: this.#options.now(),
    });
  }

  /** Replaces half of the endpoints by ones of a newer software version. */
  async release(): Promise<void> {
    this.#softwareVersion += 1;
    for (let count = 0; count < SERVERS / 2; count += 1) {
      await this.replaceServer();
    }
  }

  /** Restarts an endpoint under its id and address with a newer software version. */
  async restartServer(): Promise<void> {
    const [name, server] =
      [...this.#servers].findLast(([id]) => !this.#limits.has(id)) ?? [];
    if (!name || !server) {
      return;
    }
    this.#servers.delete(name);
    const port = Number(server.address.split(':')[1]);
    await server.stop();
    this.#softwareVersion += 1;
    await this.#startServer(name, port);
  }

  /** Adds an endpoint, then lets the oldest one leave. */
  async replaceServer(): Promise<void> {
    await this.#addServer();
    const [name, server] =
      [...this.#servers].find(([id]) => !this.#limits.has(id)) ?? [];
    if (!name || !server) {
      return;
    }
    this.#servers.delete(name);
    const entry = serverEntry(server.address, {
      state: 'draining',
      version: this.#softwareVersions.get(name),
    });
    this.#options.store.write('servers', name, entry);
    await this.#waitForStableStore();
    this.#options.checker.recordLeaving(name, this.#options.now());
    await pause(LEAVING_MS);
    await server.stop();
  }

  /** Writes an entry that names no usable endpoint, for an engine or a plain service. */
  writeForeignEntry(): void {
    const address = this.#options.random.pick(FOREIGN_ADDRESSES);
    const service = this.#options.random.pick(['registry', 'drafting']);
    this.#foreignEntries += 1;
    const name = `foreign-${this.#foreignEntries}`;
    this.#options.store.write(
      'servers',
      name,
      serverEntry(address, { service }),
    );
  }

  async #waitForStableStore(): Promise<void> {
    const { store, isOutOfTouch, now } = this.#options;
    let since = now();
    while (now() - since < STABLE_STORE_MS) {
      if (store.fault !== 'none' || isOutOfTouch()) {
        since = now();
      }
      await pause(POLL_MS);
    }
  }

  #statedLimit(name: string): string[] {
    const limit = this.#limits.get(name);
    return limit === undefined ? [] : [`Server-Limit: ${limit}`];
  }

  #endpointScript(name: string, version: string, born: number): Script {
    return (scriptedRequest, socket) => {
      if (asksForReport(scriptedRequest)) {
        socket.write(reportResponse(scriptedRequest, born));
        return;
      }
      const id = scriptedRequest.headers.get('sesamegrade-request-id') ?? '';
      const sample = this.#options.random.fraction();
      const headers = this.#statedLimit(name);
      this.#options.checker.recordArrival(name, this.#options.now());
      const { lost, duplicated, truncated, rejected } = FAULTY_RESPONSE_SHARES;
      const isCrashing = scriptedRequest.target.includes(CRASHING_WORD);
      // An endpoint with a limit has to outlast it.
      if (sample < rejected || (isCrashing && this.#limits.has(name))) {
        socket.write(notExecutedResponse(scriptedRequest, 503, headers));
        return;
      }
      this.#options.checker.recordRun({
        request: id,
        endpoint: name,
        at: this.#options.now(),
      });
      if (isCrashing) {
        const isPart = STREAM_TARGET.test(scriptedRequest.target);
        this.#options.checker.recordCrash(isPart ? 'part' : 'request');
        this.#options.track(this.#endServer(name));
        return;
      }
      if (scriptedRequest.target.endsWith('/endless')) {
        sendEndlessStream(scriptedRequest, socket, headers);
        return;
      }
      if (STREAM_TARGET.test(scriptedRequest.target)) {
        const origin = scriptedRequest.headers.get('resumes') ?? id;
        const events = SoakInvariantChecker.streamEvents(origin, version);
        sendRandomStream(
          scriptedRequest,
          socket,
          events,
          this.#options.random,
          BROKEN_STREAM_SHARE,
          headers,
        );
        return;
      }
      const response = completeResponse(
        scriptedRequest,
        SoakInvariantChecker.responseBody(id),
        STATUS_OK,
        headers,
      );
      if (sample < rejected + lost) {
        socket.destroy();
      } else if (sample < rejected + lost + truncated) {
        socket.end(response.slice(0, -3));
      } else {
        socket.write(response);
      }
      if (sample > 1 - duplicated) {
        socket.write(response);
      }
    };
  }
}
