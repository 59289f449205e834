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
import {
  manifest,
  TEST_KEY,
  TEST_ROUTES,
} from '../deployment/deployment-documents';
import { RouterProcess } from '../deployment/router-process';
import { RowStoreServer } from '../deployment/row-store-server';
import { ContactLossScenario } from './contact-loss-scenario';
import { DISTURBING_FAULTS, FAULT_KINDS, FLEET_FAULTS } from './fault-kinds';
import type { FaultKind } from './fault-kinds';
import { PlannedStopRecord } from './planned-stop-record';
import { PlannedStopScenario } from './planned-stop-scenario';
import { REDIRECTION_FLAGS, RouterLinks } from './router-links';
import { ResumptionShare } from './resumption-share';
import type { ShareCounts } from './resumption-share';
import { SLOW_SERVICE, SlowEndpoints } from './slow-endpoints';
import { SoakCallers } from './soak-callers';
import { DOWN_MS, SoakEndpoints } from './soak-endpoints';
import { SoakInvariantChecker } from './soak-invariant-checker';
import type { SoakViolation } from './soak-invariant-checker';
import { StoreOutageScenario } from './store-outage-scenario';
import { StoreSilenceScenario } from './store-silence-scenario';
import { TakeUpRecord } from './take-up-record';
import type { TakeUpCounts } from './take-up-record';
import { ZoneEvacuationScenario } from './zone-evacuation-scenario';

export interface SoakOptions {
  readonly seed: number;
  readonly seconds: number;
  readonly routers: number;
  readonly graceSeconds: number;
  /** Open connections of callers to each router during planned stops. */
  readonly stopCallers: number;
  /** Whether all routers share one processor core. */
  readonly isOnOneCore: boolean;
}

export interface SoakResult {
  readonly asked: number;
  readonly served: number;
  readonly faults: readonly string[];
  /** Streams that callers took up, by the contact of the router and what became of them. */
  readonly takeUps: TakeUpCounts;
  /** Streams at routers in touch after an outage of the store. */
  readonly afterOutage: Readonly<Record<'begun' | 'resumed', ShareCounts>>;
  /** Streams taken up at other routers in an outage of the store. */
  readonly inOutage: TakeUpCounts;
  /** Calls at routers that were stopping, by what the callers got. */
  readonly callsAtStops: Record<string, number>;
  readonly violations: readonly SoakViolation[];
  /** Folder with the routers' logs; deleted unless an invariant was violated. */
  readonly folder: string;
}

/** Time before the first request, in which the routers connect to each other. */
const WARM_UP_MS = 1500;
const REQUEST_INTERVAL_MS = 20;
const FAULT_INTERVAL_MS = 500;
const MAX_FAULT_MS = 1500;
/** Of so many disturbed readers of a router's log one closes, and the others stall. */
const LOG_READERS_PER_CLOSE = 3;
/** Time from one router's loss of contact to that of another. */
const CONTACT_LOSS_INTERVAL_MS = 2000;
/** Time without faults after which every router must know which content ends endpoints. */
const PROPAGATION_MS = 3000;
/** How often each router gets each such content after that time. */
const LAST_SENDS = 5;

/** The router that reaches the first endpoints of the planned stops only through others. */
const DETOURED_ROUTER = 'r0';
/** One in so many seeds loses no contact, as an endpoint that left may get requests of routers out of touch. */
const SEEDS_PER_RUN_IN_TOUCH = 4;
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
  readonly #links = new RouterLinks();
  readonly #takeUps = new TakeUpRecord();
  readonly #share = new ResumptionShare();
  readonly #outageTakeUps = new TakeUpRecord('resumption-in-outage');
  readonly #plannedStops: PlannedStopRecord;
  readonly #slowEndpoints: SlowEndpoints;
  readonly #stopScenario: PlannedStopScenario;
  readonly #scenarios: readonly ContactLossScenario[];
  readonly #outageScenario: StoreOutageScenario;
  readonly #silenceScenario: StoreSilenceScenario;
  readonly #evacuationScenario: ZoneEvacuationScenario;
  readonly #faultKinds: readonly FaultKind[];
  /** Endpoints that one router reaches only through others. */
  #detoured: ReadonlySet<string> = new Set();
  #version = 1;

  constructor(options: SoakOptions) {
    this.#options = options;
    this.#random = new Random(options.seed);
    this.#plannedStops = new PlannedStopRecord({
      graceMs: options.graceSeconds * 1000,
      isDetoured: (router, endpoint) =>
        router === DETOURED_ROUTER && this.#detoured.has(endpoint),
    });
    this.#faultKinds =
      options.seed % 2 === 0
        ? FAULT_KINDS
        : FAULT_KINDS.filter(kind => !FLEET_FAULTS.has(kind));
    this.#endpoints = new SoakEndpoints({
      random: this.#random,
      checker: this.#checker,
      store: this.#store,
      isOutOfTouch: () =>
        this.#scenarios.some(({ isOutOfTouch }) => isOutOfTouch),
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
    const shared = {
      random: new Random(options.seed),
      checker: this.#checker,
      record: this.#plannedStops,
      now: () => this.#now(),
    };
    this.#slowEndpoints = new SlowEndpoints({ ...shared, store: this.#store });
    this.#stopScenario = new PlannedStopScenario({
      ...shared,
      seed: options.seed,
      routers: this.#routers,
      callersPerRouter: options.stopCallers,
      onStop: router => {
        this.#faults.push(`${router.name} planned stop`);
        const now = this.#now();
        this.#checker.recordDisturbance(now);
        const onEnd = this.#takeUps.disturb('disturbed', router.name, now);
        return () => {
          onEnd(this.#now());
        };
      },
    });
    const outage = {
      seed: options.seed,
      store: this.#store,
      routers: this.#routers,
      checker: this.#checker,
    };
    this.#outageScenario = new StoreOutageScenario({
      ...outage,
      random: new Random(options.seed),
      share: this.#share,
    });
    this.#silenceScenario = new StoreSilenceScenario({
      ...outage,
      random: new Random(options.seed),
      takeUps: this.#outageTakeUps,
      now: () => this.#now(),
    });
    this.#evacuationScenario = new ZoneEvacuationScenario({
      store: this.#store,
      routers: this.#routers,
      checker: this.#checker,
      isOutOfTouch: () =>
        this.#scenarios.some(({ isOutOfTouch }) => isOutOfTouch),
      now: () => this.#now(),
    });
    const scenarios =
      options.seed % SEEDS_PER_RUN_IN_TOUCH === 0
        ? 0
        : Math.floor((options.seconds * 1000) / CONTACT_LOSS_INTERVAL_MS);
    this.#scenarios = Array.from(
      { length: scenarios },
      (_value, index) =>
        new ContactLossScenario({
          index,
          seed: options.seed,
          random: new Random(this.#random.seed()),
          store: this.#store,
          routers: this.#routers,
          links: this.#links,
          checker: this.#checker,
          takeUps: this.#takeUps,
          now: () => this.#now(),
        }),
    );
  }

  async run(): Promise<SoakResult> {
    await this.#open();
    await pause(WARM_UP_MS);
    const end = this.#now() + this.#options.seconds * 1000;
    this.#pending.push(
      this.#loseContacts(),
      this.#disturbLogReaders(end),
      this.#stopScenario.run(end),
      this.#slowEndpoints.run(end),
      this.#evacuationScenario.run(),
    );
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
    await this.#outageScenario.run();
    await this.#silenceScenario.run();
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

  /** Lets one router after the other lose contact. */
  async #loseContacts(): Promise<void> {
    const order = new Random(this.#random.seed());
    const first = order.integer(0, this.#routers.length - 1);
    const losses = this.#scenarios.map(async (scenario, index) => {
      await pause((index + 0.5) * CONTACT_LOSS_INTERVAL_MS);
      const router = this.#routers[(first + index) % this.#routers.length];
      if (router) {
        this.#faults.push(`${router.name} ${scenario.toString()}`);
        await scenario.run(router);
      }
    });
    await Promise.all(losses);
  }

  /** Lets readers of the routers' logs stall or close, one after the other. */
  async #disturbLogReaders(end: number): Promise<void> {
    const random = new Random(this.#options.seed);
    while (this.#now() < end) {
      const router = random.pick(this.#routers);
      const durationMs = random.integer(200, MAX_FAULT_MS);
      if (random.integer(1, LOG_READERS_PER_CLOSE) === 1) {
        this.#faults.push(`${router.name} log reader closed`);
        router.closeLogReader();
        await pause(durationMs);
      } else {
        this.#faults.push(`${router.name} log reader stalled`);
        await router.stallLogReader(durationMs);
      }
    }
  }

  #now(): number {
    return performance.now() - this.#startedAt;
  }

  async #open(): Promise<void> {
    await this.#store.start();
    this.#writeConfiguration();
    await this.#endpoints.start();
    await this.#slowEndpoints.open();
    await this.#outageScenario.open();
    await this.#silenceScenario.open();
    await this.#evacuationScenario.open();
    for (const scenario of this.#scenarios) {
      await scenario.open();
    }
    for (let count = 0; count < this.#options.routers; count += 1) {
      const name = `r${count}`;
      if (name === DETOURED_ROUTER) {
        this.#detoured = new Set(this.#slowEndpoints.names);
        this.#links.refuseDirect(name, this.#slowEndpoints.addresses);
      }
      const router = new RouterProcess({
        name,
        folder: this.#folder,
        store: await this.#links.openStoreLink(name, this.#store.address),
        flags: REDIRECTION_FLAGS,
        environment: () => this.#links.environmentOf(name),
        isFirstStart: true,
        graceSeconds: this.#options.graceSeconds,
        ...(this.#options.isOnOneCore ? { core: 0 } : {}),
        onEvent: event => {
          this.#plannedStops.recordEvent(name, event, this.#now());
        },
        seeds: () =>
          this.#routers.slice(0, 3).map(({ peerAddress }) => peerAddress),
      });
      await router.reservePorts();
      this.#routers.push(router);
    }
    await this.#links.openPeerLinks(this.#routers);
    for (const router of this.#routers) {
      router.start();
    }
  }

  #writeConfiguration(): void {
    const document = manifest(
      this.#version,
      [
        ...TEST_ROUTES,
        ...PlannedStopScenario.routes,
        StoreOutageScenario.route,
        StoreSilenceScenario.route,
        ZoneEvacuationScenario.route,
        ...this.#scenarios.map(({ route }) => route),
      ],
      [TEST_KEY],
      [
        SLOW_SERVICE,
        StoreOutageScenario.service,
        StoreSilenceScenario.service,
        ZoneEvacuationScenario.service,
        ...this.#scenarios.map(({ service }) => service),
      ],
    );
    this.#store.write('op', 'config', document);
  }

  async #close(): Promise<SoakResult> {
    await Promise.all(this.#routers.map(router => router.close()));
    for (const router of this.#routers) {
      for (const ending of router.unexpectedExits) {
        this.#checker.recordDeath(router.name, ending);
      }
    }
    await this.#endpoints.stop();
    await this.#slowEndpoints.close();
    await this.#outageScenario.close();
    await this.#silenceScenario.close();
    await this.#evacuationScenario.close();
    await Promise.all(this.#scenarios.map(scenario => scenario.close()));
    await this.#links.close();
    await this.#store.stop();
    await this.#callers.stop();
    const violations = [
      ...this.#checker.violations(),
      ...this.#takeUps.violations(),
      ...this.#share.violations(),
      ...this.#outageTakeUps.violations(),
      ...this.#plannedStops.violations(),
    ];
    if (violations.length === 0) {
      rmSync(this.#folder, { recursive: true });
    }
    return {
      asked: this.#scenarios.reduce(
        (sum, { requestCount }) => sum + requestCount,
        this.#callers.requestCount +
          this.#stopScenario.requestCount +
          this.#outageScenario.requestCount +
          this.#silenceScenario.requestCount +
          this.#evacuationScenario.requestCount,
      ),
      served: this.#checker.served,
      faults: this.#faults,
      takeUps: this.#takeUps.counts(),
      afterOutage: this.#share.counts(),
      inOutage: this.#outageTakeUps.counts(),
      callsAtStops: this.#plannedStops.counts(),
      violations,
      folder: this.#folder,
    };
  }

  /** Injects one fault. Faults overlap, as they can last longer than the interval between them. */
  async #injectFault(): Promise<void> {
    const router = this.#random.pick(this.#routers);
    const durationMs = this.#random.integer(200, MAX_FAULT_MS);
    const kind = this.#random.pick(this.#faultKinds);
    this.#faults.push(kind);
    this.#recordDisturbance(kind);
    const affected = FLEET_FAULTS.has(kind) ? undefined : router.name;
    const onEnd = DISTURBING_FAULTS.has(kind)
      ? this.#takeUps.disturb(
          kind === 'freeze' ? 'out-of-step' : 'disturbed',
          affected,
          this.#now(),
        )
      : undefined;
    await this.#bringAbout(kind, router, durationMs);
    onEnd?.(this.#now());
  }

  async #bringAbout(
    kind: FaultKind,
    router: RouterProcess,
    durationMs: number,
  ): Promise<void> {
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
      case 'restart':
        return this.#endpoints.restartServer();
      case 'configuration':
        this.#version += 1;
        this.#writeConfiguration();
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
