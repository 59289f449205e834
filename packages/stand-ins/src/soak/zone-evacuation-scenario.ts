/** The zone of one of a service's two endpoints is evacuated under requests, and taken back. */
import { setTimeout as pause } from 'node:timers/promises';

import {
  serverEntry,
  TEST_HOST,
  TEST_KEY,
} from '../deployment/deployment-documents';
import type { TestRoute } from '../deployment/deployment-documents';
import { callOverHttp } from '../deployment/http-caller';
import type { RouterProcess } from '../deployment/router-process';
import type { RowStoreServer } from '../deployment/row-store-server';
import {
  completeResponse,
  ScriptedServer,
} from '../deployment/scripted-server';
import type { SoakInvariantChecker } from './soak-invariant-checker';

const SERVICE = 'evacuated';
const EVACUATED_ZONE = 'zone-e';
const ZONES = [EVACUATED_ZONE, 'zone-a'];
const KEY = `evacuate/${EVACUATED_ZONE}`;
const LEAD_MS = 500;
/** Time after which no request may reach the endpoint, and for which that is checked at least. */
const BOUND_MS = 5000;
const CHECKED_MS = 1500;
/** Time without a store fault or a router out of touch after which all routers hear of changes. */
const STABLE_MS = 1200;
const POLL_MS = 50;
const REQUEST_INTERVAL_MS = 100;

export interface ZoneEvacuationScenarioOptions {
  readonly store: RowStoreServer;
  readonly routers: readonly RouterProcess[];
  readonly checker: SoakInvariantChecker;
  /** Whether any router is out of touch. */
  readonly isOutOfTouch: () => boolean;
  /** Milliseconds since the start of the soak. */
  readonly now: () => number;
}

export class ZoneEvacuationScenario {
  static readonly service = SERVICE;
  static readonly route: TestRoute = {
    name: SERVICE,
    prefix: `/${SERVICE}/`,
    kind: 'idempotent',
    service: SERVICE,
    maxAttempts: 2,
  };
  readonly #options: ZoneEvacuationScenarioOptions;
  readonly #servers: ScriptedServer[] = [];
  #requestCount = 0;
  #isOver = false;

  constructor(options: ZoneEvacuationScenarioOptions) {
    this.#options = options;
  }

  get requestCount(): number {
    return this.#requestCount;
  }

  async open(): Promise<void> {
    const { store, checker, now } = this.#options;
    for (const zone of ZONES) {
      const name = `${SERVICE}-${zone}`;
      const server = await new ScriptedServer((request, socket) => {
        checker.recordArrival(name, now());
        socket.write(completeResponse(request, 'done'));
      }).start();
      this.#servers.push(server);
      const entry = serverEntry(server.address, { service: SERVICE, zone });
      store.write('servers', name, entry);
    }
  }

  async close(): Promise<void> {
    await Promise.all(this.#servers.map(server => server.stop()));
  }

  async run(): Promise<void> {
    const requests = this.#sendRequests();
    await pause(LEAD_MS);
    await this.#evacuate();
    await pause(LEAD_MS);
    this.#isOver = true;
    await requests;
  }

  async #evacuate(): Promise<void> {
    const { store, checker, now } = this.#options;
    store.write('op', KEY, {});
    const acknowledgedAt = now();
    // A router out of touch need not hear of the evacuation before it is in touch again.
    const inTouchSince = await this.#waitForContact(acknowledgedAt);
    const from = inTouchSince + BOUND_MS;
    await pause(from + CHECKED_MS - now());
    checker.recordEvacuation({
      endpoint: `${SERVICE}-${EVACUATED_ZONE}`,
      from,
      to: now(),
    });
    store.remove('op', KEY);
  }

  /** Returns since when the store has responded to every router. */
  async #waitForContact(begin: number): Promise<number> {
    const { store, isOutOfTouch, now } = this.#options;
    let since = begin;
    while (now() - since < STABLE_MS) {
      if (store.fault !== 'none' || isOutOfTouch()) {
        since = now();
      }
      await pause(POLL_MS);
    }
    return since;
  }

  async #sendRequests(): Promise<void> {
    const calls: Promise<unknown>[] = [];
    while (!this.#isOver) {
      for (const { callerAddress } of this.#options.routers) {
        this.#requestCount += 1;
        const call = callOverHttp({
          url: `http://${callerAddress}`,
          path: `/${SERVICE}/1`,
          headers: {
            host: TEST_HOST,
            'sesamegrade-request-id': `${SERVICE}-${this.#requestCount}`,
            authorization: `Bearer ${TEST_KEY}`,
          },
        });
        calls.push(call);
      }
      await pause(REQUEST_INTERVAL_MS);
    }
    await Promise.all(calls);
  }
}
