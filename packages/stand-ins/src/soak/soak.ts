/**
 * Real routers as processes of their own before a stand-in of the store and of
 * endpoints, under faults that overlap, with a ledger outside the routers.
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
import { RowStoreServer } from '../deployment/row-store-server';
import {
  notExecutedResponse,
  ScriptedServer,
  completeResponse,
} from '../deployment/scripted-server';
import type { Script } from '../deployment/scripted-server';
import { SoakInvariantChecker } from './soak-invariant-checker';
import type { SoakViolation } from './soak-invariant-checker';
import { SoakRouter } from './soak-router';

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
  /** Folder with the routers' logs; kept when a promise was broken. */
  readonly folder: string;
}

const SERVERS = 4;
/** Time before the first request, in which the routers meet. */
const WARM_UP_MS = 1500;
const CALL_GAP_MS = 20;
const FAULT_GAP_MS = 500;
const DEADLINE_MS = 1500;
const LONGEST_FAULT_MS = 1500;
/** Time without a fault of the store after which every router has read it again. */
const STABLE_MS = 1200;
/** Time for which a leaving endpoint stays to see who still comes. */
const LEAVING_MS = 4000;
const POLL_MS = 50;
/** Shares of the endpoints' answers that go wrong. */
const SPOILT_SHARES = { lost: 0.03, twice: 0.03, cut: 0.03, declined: 0.05 };

export class Soak {
  readonly #options: SoakOptions;
  readonly #random: Random;
  readonly #ledger = new SoakInvariantChecker();
  readonly #store = new RowStoreServer();
  readonly #servers = new Map<string, ScriptedServer>();
  readonly #routers: SoakRouter[] = [];
  readonly #agent = new Agent({ pipelining: 1 });
  readonly #folder = mkdtempSync(join(tmpdir(), 'soak-'));
  readonly #faults: string[] = [];
  readonly #pending: Promise<void>[] = [];
  readonly #begun = performance.now();
  #nextServer = 0;
  #version = 1;
  #asked = 0;

  constructor(options: SoakOptions) {
    this.#options = options;
    this.#random = new Random(options.seed);
  }

  async run(): Promise<SoakResult> {
    await this.#open();
    await pause(WARM_UP_MS);
    const end = this.#now() + this.#options.seconds * 1000;
    let faultAt = this.#now();
    while (this.#now() < end) {
      this.#pending.push(this.#call());
      if (this.#now() >= faultAt) {
        faultAt = this.#now() + FAULT_GAP_MS;
        this.#pending.push(this.#fault());
      }
      await pause(CALL_GAP_MS);
    }
    await Promise.all(this.#pending);
    return this.#close();
  }

  #now(): number {
    return performance.now() - this.#begun;
  }

  async #open(): Promise<void> {
    await this.#store.start();
    this.#store.write('op', 'config', manifest(this.#version));
    for (let count = 0; count < SERVERS; count += 1) {
      await this.#addServer();
    }
    for (let count = 0; count < this.#options.routers; count += 1) {
      const router = new SoakRouter({
        name: `r${count}`,
        folder: this.#folder,
        store: this.#store.address,
        seeds: () =>
          this.#routers.slice(0, 3).map(({ peerAddress: peers }) => peers),
      });
      await router.open();
      this.#routers.push(router);
    }
  }

  async #close(): Promise<SoakResult> {
    await Promise.all(this.#routers.map(router => router.close()));
    await Promise.all([...this.#servers.values()].map(each => each.stop()));
    await this.#store.stop();
    await this.#agent.destroy();
    const violations = this.#ledger.violations();
    if (violations.length === 0) {
      rmSync(this.#folder, { recursive: true });
    }
    return {
      asked: this.#asked,
      served: this.#ledger.served,
      faults: this.#faults,
      violations,
      folder: this.#folder,
    };
  }

  async #call(): Promise<void> {
    this.#asked += 1;
    const id = `${this.#options.seed.toString(16)}-${this.#asked}`;
    const once = this.#random.fraction() < 0.5;
    const router = this.#random.pick(this.#routers);
    this.#ledger.recordRequest(id, once);
    try {
      const answer = await request(
        `http://${router.callerAddress}/${once ? 'order' : 'lookup'}/1`,
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
      const { statusCode: status } = answer;
      const body = await answer.body.text().catch(() => undefined);
      this.#ledger.recordResponse({ request: id, status, body });
    } catch {
      // The router is down or too slow; a closed connection promises nothing.
    }
  }

  #script(name: string): Script {
    return (received, socket) => {
      const id = received.headers.get('sesamegrade-request-id') ?? '';
      const draw = this.#random.fraction();
      const { lost, twice, cut, declined: refused } = SPOILT_SHARES;
      if (draw < refused) {
        socket.write(notExecutedResponse(received));
        return;
      }
      this.#ledger.recordRun({ request: id, endpoint: name, at: this.#now() });
      const answer = completeResponse(
        received,
        SoakInvariantChecker.responseBody(id),
      );
      if (draw < refused + lost) {
        socket.destroy();
      } else if (draw < refused + lost + cut) {
        socket.end(answer.slice(0, -3));
      } else {
        socket.write(answer);
      }
      if (draw > 1 - twice) {
        socket.write(answer);
      }
    };
  }

  async #addServer(): Promise<void> {
    this.#nextServer += 1;
    const name = `s-${this.#nextServer}`;
    const server = await new ScriptedServer(this.#script(name)).start();
    this.#servers.set(name, server);
    this.#store.write('servers', name, serverEntry(server.address));
  }

  /** Lets one fault happen; they overlap, as each lasts longer than the gap. */
  async #fault(): Promise<void> {
    const router = this.#random.pick(this.#routers);
    const length = this.#random.integer(200, LONGEST_FAULT_MS);
    const kind = this.#random.pick([
      'term',
      'kill',
      'freeze',
      'hang-up',
      'store',
      'configuration',
      'leave',
      'kill-all',
    ] as const);
    this.#faults.push(kind);
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
        await pause(length);
        router.sendSignal('SIGCONT');
        return;
      case 'hang-up':
        router.sendSignal('SIGHUP');
        return;
      case 'store':
        this.#store.fault = this.#random.pick(['silent', 'busy', 'reset']);
        await pause(length);
        this.#store.fault = 'none';
        return;
      case 'configuration':
        this.#version += 1;
        this.#store.write('op', 'config', manifest(this.#version));
        return;
      case 'leave':
        return this.#replaceServer();
    }
  }

  async #storeIsStable(): Promise<void> {
    let since = this.#now();
    while (this.#now() - since < STABLE_MS) {
      if (this.#store.fault !== 'none') {
        since = this.#now();
      }
      await pause(POLL_MS);
    }
  }

  /** A new endpoint comes, then the oldest one leaves. */
  async #replaceServer(): Promise<void> {
    await this.#addServer();
    const [name, server] = [...this.#servers][0] ?? [];
    if (!name || !server) {
      return;
    }
    this.#servers.delete(name);
    const entry = serverEntry(server.address, { state: 'draining' });
    this.#store.write('servers', name, entry);
    await this.#storeIsStable();
    this.#ledger.recordLeaving(name, this.#now());
    await pause(LEAVING_MS);
    await server.stop();
  }
}
