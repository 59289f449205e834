/**
 * Soak test: runs real routers in their own processes against stand-ins of the
 * store and the endpoints, under overlapping faults, and checks the invariants
 * from outside the routers.
 */
import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { performance } from 'node:perf_hooks';
import { setTimeout as pause } from 'node:timers/promises';

import { Agent, request } from 'undici';

import { Random } from '@sesamegrade/core/random/random';
import {
  manifest,
  serverEntry,
  TEST_HOST,
  TEST_KEY,
} from '../deployment/deployment-documents';
import {
  sendEndlessStream,
  sendRandomStream,
} from '../deployment/broken-stream';
import { callOverHttp } from '../deployment/http-caller';
import { RouterProcess } from '../deployment/router-process';
import { RowStoreServer } from '../deployment/row-store-server';
import {
  notExecutedResponse,
  ScriptedServer,
  completeResponse,
} from '../deployment/scripted-server';
import type { Script } from '../deployment/scripted-server';
import { SoakInvariantChecker } from './soak-invariant-checker';
import type { CrashingContent, SoakViolation } from './soak-invariant-checker';

export interface SoakOptions {
  readonly seed: number;
  readonly seconds: number;
  readonly routers: number;
}

export interface SoakResult {
  readonly asked: number;
  readonly served: number;
  readonly faults: readonly string[];
  readonly violations: readonly SoakViolation[];
  /** Folder with the routers' logs; deleted unless an invariant was violated. */
  readonly folder: string;
}

const SERVERS = 4;
/** Time before the first request, in which the routers connect to each other. */
const WARM_UP_MS = 1500;
const REQUEST_INTERVAL_MS = 20;
const FAULT_INTERVAL_MS = 500;
const DEADLINE_MS = 1500;
/** Time for which an endpoint states a limit, and the limits in requests a second. */
const LIMIT_MS = 7000;
const LIMITS = [1, 2, 4];
const MAX_FAULT_MS = 1500;
/** Time without a store fault after which every router has read the store again. */
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

/** Share of the requests that ask for a stream. */
const STREAM_SHARE = 0.4;
/** Share of the streams that an endpoint breaks off. */
const BROKEN_STREAM_SHARE = 0.3;
/** Requests in which a caller tries to get the whole of a stream. */
const MAX_STREAM_ATTEMPTS = 3;
/** Share of the streams that do not end and whose caller reads nothing and leaves. */
const ENDLESS_SHARE = 0.05;
/** Share of the requests that end the endpoint that runs them, for each of two contents. */
const CRASHING_SHARE = 0.02;
/** Time from the end of an endpoint to the start of its successor. */
const DOWN_MS = 1000;
/** Time without faults after which every router must know which content ends endpoints. */
const PROPAGATION_MS = 3000;
/** How often each router gets each such content after that time. */
const LAST_SENDS = 5;
/** Addresses of entries that another program writes. */
const FOREIGN_ADDRESSES = ['http://127.0.0.1:80', '10.0.0.300:80', 'a:b:80'];
const CRASHING_WORD = 'crashing';
const CRASHING_PART = 'bad';
const STREAM_TARGET = /^\/(?:draft|summary)\//u;
const STATUS_OK = 200;

export class Soak {
  readonly #options: SoakOptions;
  readonly #random: Random;
  readonly #checker = new SoakInvariantChecker();
  readonly #store = new RowStoreServer();
  readonly #servers = new Map<string, ScriptedServer>();
  readonly #routers: RouterProcess[] = [];
  readonly #agent = new Agent({ pipelining: 1 });
  readonly #folder = mkdtempSync(join(tmpdir(), 'soak-'));
  readonly #faults: string[] = [];
  readonly #pending: Promise<void>[] = [];
  readonly #softwareVersions = new Map<string, string>();
  readonly #limits = new Map<string, number>();
  readonly #startedAt = performance.now();
  #nextServer = 0;
  #version = 1;
  #softwareVersion = 1;
  #requestCount = 0;

  constructor(options: SoakOptions) {
    this.#options = options;
    this.#random = new Random(options.seed);
  }

  async run(): Promise<SoakResult> {
    await this.#open();
    await pause(WARM_UP_MS);
    const end = this.#now() + this.#options.seconds * 1000;
    let nextFaultAt = this.#now();
    while (this.#now() < end) {
      this.#pending.push(this.#sendAny());
      if (this.#now() >= nextFaultAt) {
        nextFaultAt = this.#now() + FAULT_INTERVAL_MS;
        this.#pending.push(this.#injectFault());
      }
      await pause(REQUEST_INTERVAL_MS);
    }
    await Promise.all(this.#pending);
    await this.#sendCrashingContentAfterFaults();
    return this.#close();
  }

  #sendAny(): Promise<void> {
    const sample = this.#random.fraction();
    if (sample < 2 * CRASHING_SHARE) {
      const content = sample < CRASHING_SHARE ? 'request' : 'part';
      return this.#sendCrashing(content, this.#random.pick(this.#routers));
    }
    return this.#random.fraction() < STREAM_SHARE
      ? this.#sendStreamRequest()
      : this.#sendRequest();
  }

  /** Sends the same request again, or a new one with the same prompt part. */
  async #sendCrashing(
    content: CrashingContent,
    router: RouterProcess,
  ): Promise<void> {
    this.#requestCount += 1;
    const id = `${this.#options.seed.toString(16)}-${this.#requestCount}`;
    const own = this.#requestCount.toString(16);
    const isPart = content === 'part';
    await callOverHttp({
      url: `http://${router.callerAddress}`,
      path: isPart
        ? `/summary/${CRASHING_WORD}-${own}`
        : `/lookup/${CRASHING_WORD}`,
      headers: {
        host: TEST_HOST,
        'sesamegrade-request-id': id,
        'sesamegrade-deadline-ms': String(DEADLINE_MS),
        authorization: `Bearer ${TEST_KEY}`,
        ...(isPart
          ? {
              'sesamegrade-model': 'm',
              'sesamegrade-token-usage': '300,20',
              'sesamegrade-prompt-prefix': `a1:100,${CRASHING_PART}:100,${own}:100`,
            }
          : {}),
      },
    });
  }

  /** Sends content that ends endpoints once all routers must know it. */
  async #sendCrashingContentAfterFaults(): Promise<void> {
    await pause(PROPAGATION_MS);
    this.#checker.recordFaultsOver();
    for (let count = 0; count < LAST_SENDS; count += 1) {
      // All endpoints may have ended in the round before.
      await pause(2 * DOWN_MS);
      for (const router of this.#routers) {
        await this.#sendCrashing('request', router);
        await this.#sendCrashing('part', router);
      }
    }
    await Promise.all(this.#pending);
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
    this.#store.remove('servers', name);
    await this.#addServer();
  }

  #now(): number {
    return performance.now() - this.#startedAt;
  }

  async #open(): Promise<void> {
    await this.#store.start();
    this.#store.write('op', 'config', manifest(this.#version));
    for (let count = 0; count < SERVERS; count += 1) {
      await this.#addServer();
    }
    for (let count = 0; count < this.#options.routers; count += 1) {
      const router = new RouterProcess({
        name: `r${count}`,
        folder: this.#folder,
        store: this.#store.address,
        seeds: () =>
          this.#routers.slice(0, 3).map(({ peerAddress }) => peerAddress),
      });
      await router.open();
      this.#routers.push(router);
    }
  }

  async #close(): Promise<SoakResult> {
    await Promise.all(this.#routers.map(router => router.close()));
    for (const router of this.#routers) {
      for (const ending of router.unexpectedExits) {
        this.#checker.recordDeath(router.name, ending);
      }
    }
    await Promise.all([...this.#servers.values()].map(each => each.stop()));
    await this.#store.stop();
    await this.#agent.destroy();
    const violations = this.#checker.violations();
    if (violations.length === 0) {
      rmSync(this.#folder, { recursive: true });
    }
    return {
      asked: this.#requestCount,
      served: this.#checker.served,
      faults: this.#faults,
      violations,
      folder: this.#folder,
    };
  }

  /**
   * Requests a stream; the caller may read slowly or leave, and resumes one that may be
   * resumed at any router.
   */
  async #sendStreamRequest(): Promise<void> {
    const path = this.#random.pick(['draft', 'summary'] as const);
    const isEndless = this.#random.fraction() < ENDLESS_SHARE;
    const first = this.#newRequestId();
    this.#checker.recordRequest(first, path === 'summary');
    let received = '';
    for (let attempt = 0; attempt < MAX_STREAM_ATTEMPTS; attempt += 1) {
      const id = attempt === 0 ? first : this.#newRequestId();
      const response = await this.#requestStream(
        `/${path}/${isEndless ? 'endless' : '1'}`,
        id,
        received === '' ? {} : resumption(first, received),
        isEndless,
      );
      if (!response || isEndless) {
        return;
      }
      const { status, headers, body, isComplete } = response;
      if (status !== STATUS_OK) {
        this.#checker.recordResponse({ request: id, status, body });
        return;
      }
      this.#checker.recordStream({
        request: first,
        body: received + body,
        isComplete,
        isFramed:
          headers['content-length'] !== undefined ||
          headers['transfer-encoding'] !== undefined,
      });
      received += body.slice(0, body.lastIndexOf('\n\n') + 2);
      if (isComplete || received === '' || path === 'summary') {
        return;
      }
    }
  }

  #newRequestId(): string {
    this.#requestCount += 1;
    return `${this.#options.seed.toString(16)}-${this.#requestCount}`;
  }

  #requestStream(
    path: string,
    id: string,
    headers: Readonly<Record<string, string>>,
    leaves: boolean,
  ): ReturnType<typeof callOverHttp> {
    const router = this.#random.pick(this.#routers);
    const pauseMs = this.#random.pick([0, 0, 100, 400]);
    return callOverHttp({
      url: `http://${router.callerAddress}`,
      path,
      headers: {
        host: TEST_HOST,
        'sesamegrade-request-id': id,
        'sesamegrade-deadline-ms': String(DEADLINE_MS),
        authorization: `Bearer ${TEST_KEY}`,
        ...headers,
      },
      onResponse: received => {
        received.pause();
        setTimeout(() => {
          if (leaves) {
            received.destroy();
          } else {
            received.resume();
          }
        }, pauseMs);
      },
    });
  }

  async #sendRequest(): Promise<void> {
    this.#requestCount += 1;
    const id = `${this.#options.seed.toString(16)}-${this.#requestCount}`;
    const isAtMostOnce = this.#random.fraction() < 0.5;
    const router = this.#random.pick(this.#routers);
    this.#checker.recordRequest(id, isAtMostOnce);
    try {
      const response = await request(
        `http://${router.callerAddress}/${isAtMostOnce ? 'order' : 'lookup'}/1`,
        {
          dispatcher: this.#agent,
          method: 'POST',
          headers: {
            host: TEST_HOST,
            'sesamegrade-request-id': id,
            'sesamegrade-deadline-ms': String(DEADLINE_MS),
            authorization: `Bearer ${TEST_KEY}`,
          },
          signal: AbortSignal.timeout(DEADLINE_MS),
        },
      );
      const { statusCode: status } = response;
      const body = await response.body.text().catch(() => undefined);
      this.#checker.recordResponse({ request: id, status, body });
    } catch {
      // The router is down or too slow; a closed connection guarantees nothing.
    }
  }

  #endpointScript(name: string, version: string): Script {
    return (scriptedRequest, socket) => {
      const id = scriptedRequest.headers.get('sesamegrade-request-id') ?? '';
      const sample = this.#random.fraction();
      const headers = this.#statedLimit(name);
      this.#checker.recordArrival(name, this.#now());
      const { lost, duplicated, truncated, rejected } = FAULTY_RESPONSE_SHARES;
      const isCrashing = scriptedRequest.target.includes(CRASHING_WORD);
      // An endpoint with a limit has to outlast it.
      if (sample < rejected || (isCrashing && this.#limits.has(name))) {
        socket.write(notExecutedResponse(scriptedRequest, 503, headers));
        return;
      }
      this.#checker.recordRun({ request: id, endpoint: name, at: this.#now() });
      if (isCrashing) {
        const isPart = STREAM_TARGET.test(scriptedRequest.target);
        this.#checker.recordCrash(isPart ? 'part' : 'request');
        this.#pending.push(this.#endServer(name));
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
          this.#random,
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

  #statedLimit(name: string): string[] {
    const limit = this.#limits.get(name);
    return limit === undefined ? [] : [`Server-Limit: ${limit}`];
  }

  /** Lets an endpoint state a limit for a while. */
  async #limitServer(): Promise<void> {
    const name = this.#random.pick([...this.#servers.keys()]);
    if (this.#limits.has(name)) {
      return;
    }
    const perSecond = this.#random.pick(LIMITS);
    this.#limits.set(name, perSecond);
    const from = this.#now();
    await pause(LIMIT_MS);
    this.#limits.delete(name);
    this.#checker.recordLimit({
      endpoint: name,
      perSecond,
      from,
      to: this.#now(),
    });
  }

  async #addServer(): Promise<void> {
    this.#nextServer += 1;
    const name = `s-${this.#nextServer}`;
    const version = `v${this.#softwareVersion}`;
    const script = this.#endpointScript(name, version);
    const server = await new ScriptedServer(script).start();
    this.#servers.set(name, server);
    this.#softwareVersions.set(name, version);
    this.#store.write(
      'servers',
      name,
      serverEntry(server.address, { version }),
    );
  }

  /** Writes an entry that names no usable endpoint, for an engine or a plain service. */
  #writeForeignEntry(): void {
    const address = this.#random.pick(FOREIGN_ADDRESSES);
    const service = this.#random.pick(['registry', 'drafting']);
    const name = `foreign-${this.#faults.length}`;
    this.#store.write('servers', name, serverEntry(address, { service }));
  }

  /** Injects one fault. Faults overlap, as they can last longer than the interval between them. */
  async #injectFault(): Promise<void> {
    const router = this.#random.pick(this.#routers);
    const durationMs = this.#random.integer(200, MAX_FAULT_MS);
    const kind = this.#random.pick([
      'term',
      'kill',
      'freeze',
      'hang-up',
      'store',
      'configuration',
      'leave',
      'kill-all',
      'limit',
      'foreign-entry',
      'release',
    ] as const);
    this.#faults.push(kind);
    this.#recordDisturbance(kind);
    switch (kind) {
      case 'term':
        return router.restart('SIGTERM');
      case 'kill':
        return router.restart('SIGKILL');
      case 'kill-all':
        await Promise.all(this.#routers.map(each => each.restart('SIGKILL')));
        return;
      case 'freeze':
        router.sendSignal('SIGSTOP');
        await pause(durationMs);
        router.sendSignal('SIGCONT');
        return;
      case 'hang-up':
        router.sendSignal('SIGHUP');
        return;
      case 'store':
        this.#store.fault = this.#random.pick(['silent', 'busy', 'reset']);
        await pause(durationMs);
        this.#store.fault = 'none';
        return;
      case 'foreign-entry':
        this.#writeForeignEntry();
        return;
      case 'release':
        return this.#release();
      case 'configuration':
        this.#version += 1;
        this.#store.write('op', 'config', manifest(this.#version));
        return;
      case 'leave':
        return this.#replaceServer();
      case 'limit':
        return this.#limitServer();
    }
  }

  #recordDisturbance(kind: string): void {
    const count = kind === 'kill-all' ? this.#routers.length : 1;
    if (['term', 'kill', 'freeze', 'kill-all'].includes(kind)) {
      for (let router = 0; router < count; router += 1) {
        this.#checker.recordDisturbance(this.#now());
      }
    }
  }

  async #waitForStableStore(): Promise<void> {
    let since = this.#now();
    while (this.#now() - since < STABLE_STORE_MS) {
      if (this.#store.fault !== 'none') {
        since = this.#now();
      }
      await pause(POLL_MS);
    }
  }

  /** Replaces half of the endpoints by ones of a newer software version. */
  async #release(): Promise<void> {
    this.#softwareVersion += 1;
    for (let count = 0; count < SERVERS / 2; count += 1) {
      await this.#replaceServer();
    }
  }

  /** Adds an endpoint, then lets the oldest one leave. */
  async #replaceServer(): Promise<void> {
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
    this.#store.write('servers', name, entry);
    await this.#waitForStableStore();
    this.#checker.recordLeaving(name, this.#now());
    await pause(LEAVING_MS);
    await server.stop();
  }
}

/** Headers with which a caller resumes a stream after the events that it has. */
function resumption(first: string, received: string): Record<string, string> {
  const ids = [...received.matchAll(/^id: (\d+)$/gmu)];
  return { resumes: first, 'last-event-id': ids.at(-1)?.[1] ?? '0' };
}
