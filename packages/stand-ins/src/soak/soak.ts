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

import { Random } from '@sesamegrade/core/random/random';
import { manifest } from '../deployment/deployment-documents';
import { RouterProcess } from '../deployment/router-process';
import { RowStoreServer } from '../deployment/row-store-server';
import { SoakCallers } from './soak-callers';
import { DOWN_MS, SoakEndpoints } from './soak-endpoints';
import { SoakInvariantChecker } from './soak-invariant-checker';
import type { SoakViolation } from './soak-invariant-checker';

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

/** Time before the first request, in which the routers connect to each other. */
const WARM_UP_MS = 1500;
const REQUEST_INTERVAL_MS = 20;
const FAULT_INTERVAL_MS = 500;
const MAX_FAULT_MS = 1500;
/** Time without faults after which every router must know which content ends endpoints. */
const PROPAGATION_MS = 3000;
/** How often each router gets each such content after that time. */
const LAST_SENDS = 5;

export class Soak {
  readonly #options: SoakOptions;
  readonly #random: Random;
  readonly #checker = new SoakInvariantChecker();
  readonly #store = new RowStoreServer();
  readonly #routers: RouterProcess[] = [];
  readonly #folder = mkdtempSync(join(tmpdir(), 'soak-'));
  readonly #faults: string[] = [];
  readonly #pending: Promise<void>[] = [];
  readonly #startedAt = performance.now();
  readonly #endpoints: SoakEndpoints;
  readonly #callers: SoakCallers;
  #version = 1;

  constructor(options: SoakOptions) {
    this.#options = options;
    this.#random = new Random(options.seed);
    this.#endpoints = new SoakEndpoints({
      random: this.#random,
      checker: this.#checker,
      store: this.#store,
      now: () => this.#now(),
      track: task => {
        this.#pending.push(task);
      },
    });
    this.#callers = new SoakCallers({
      seed: options.seed,
      random: this.#random,
      checker: this.#checker,
      routers: this.#routers,
    });
  }

  async run(): Promise<SoakResult> {
    await this.#open();
    await pause(WARM_UP_MS);
    const end = this.#now() + this.#options.seconds * 1000;
    let nextFaultAt = this.#now();
    while (this.#now() < end) {
      this.#pending.push(this.#callers.sendAny());
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

  /** Sends content that ends endpoints once all routers must know it. */
  async #sendCrashingContentAfterFaults(): Promise<void> {
    await pause(PROPAGATION_MS);
    this.#checker.recordFaultsOver();
    for (let count = 0; count < LAST_SENDS; count += 1) {
      // All endpoints may have ended in the round before.
      await pause(2 * DOWN_MS);
      for (const router of this.#routers) {
        await this.#callers.sendCrashing('request', router);
        await this.#callers.sendCrashing('part', router);
      }
    }
    await Promise.all(this.#pending);
  }

  #now(): number {
    return performance.now() - this.#startedAt;
  }

  async #open(): Promise<void> {
    await this.#store.start();
    this.#store.write('op', 'config', manifest(this.#version));
    await this.#endpoints.start();
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
    await this.#endpoints.stop();
    await this.#store.stop();
    await this.#callers.stop();
    const violations = this.#checker.violations();
    if (violations.length === 0) {
      rmSync(this.#folder, { recursive: true });
    }
    return {
      asked: this.#callers.requestCount,
      served: this.#checker.served,
      faults: this.#faults,
      violations,
      folder: this.#folder,
    };
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
        this.#endpoints.writeForeignEntry();
        return;
      case 'release':
        return this.#endpoints.release();
      case 'configuration':
        this.#version += 1;
        this.#store.write('op', 'config', manifest(this.#version));
        return;
      case 'leave':
        return this.#endpoints.replaceServer();
      case 'limit':
        return this.#endpoints.limitServer();
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
}
