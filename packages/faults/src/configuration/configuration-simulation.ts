/**
 * One seeded history of configuration changes: operators that race and send
 * again, routers that tell each other, the table service, planned faults.
 */
import type {
  Proposal,
  ProposalResult,
} from '@sesamegrade/core/configuration/proposal';
import {
  CONFIGURATION_TABLE,
  CONTENT_KEY,
} from '@sesamegrade/core/configuration/configuration-rows';
import { VersionHistory } from '@sesamegrade/core/configuration/version-history';
import { Random } from '@sesamegrade/core/random/random';
import { changeId } from '@sesamegrade/core/types/ids';
import { instant, milliseconds, seconds } from '@sesamegrade/core/types/units';
import type {
  ExchangeFault,
  Fault,
  Injection,
  Violation,
} from '../simulation/fault';
import { isExchangeFault } from '../simulation/fault';
import { FaultyStore } from '../simulation/faulty-store';
import { FaultInjector } from '../simulation/fault-injector';
import { Schedule } from '../simulation/schedule';
import { VersionObserver, checkResults } from './configuration-checks';
import type {
  ConfigurationStep,
  ConfigurationEnvironment,
  VersionUpdate,
} from './configuration-router';
import { ConfigurationRouter } from './configuration-router';

export interface ConfigurationHistoryOptions {
  readonly seed: number;
  readonly plan: readonly Injection<ConfigurationStep>[];
  /** Makes the versions of each router; the real ones when absent. */
  readonly newVersionHistory?: () => VersionHistory;
}

export interface ConfigurationHistoryReport {
  readonly violations: readonly Violation[];
  /** Faults of the plan whose step was reached. */
  readonly injected: number;
}

const ROUTERS = 3;
const CHANGES = 5;
const LAST_CHANGE_MS = 30_000;
const LONGEST_LIMIT = 1000;
const OUTAGE = seconds(10);
const PAUSE = seconds(30);
const RESTART = seconds(1);
const OPERATOR_PATIENCE = seconds(3);
const LATE_MESSAGE = seconds(25);
const HISTORY_END = instant(150_000);

export class ConfigurationSimulation implements ConfigurationEnvironment {
  readonly schedule = new Schedule();
  readonly random: Random;
  readonly store: FaultyStore;
  readonly newVersionHistory: () => VersionHistory;
  readonly #injector: FaultInjector<ConfigurationStep>;
  readonly #watch = new VersionObserver();
  readonly #routers: ConfigurationRouter[] = [];
  readonly #results: ProposalResult[] = [];
  readonly #isolated = new Set<string>();
  #lastProcess = 0;
  #lastChange = 0;

  constructor(options: ConfigurationHistoryOptions) {
    this.random = new Random(options.seed);
    this.newVersionHistory =
      options.newVersionHistory ?? (() => new VersionHistory());
    this.store = new FaultyStore(this.schedule, this.random);
    this.#injector = new FaultInjector(options.plan);
    for (let index = 0; index < ROUTERS; index += 1) {
      this.#routers.push(this.#newRouter());
    }
  }

  run(): ConfigurationHistoryReport {
    for (let change = 0; change < CHANGES; change += 1) {
      const delay = milliseconds(this.random.integer(0, LAST_CHANGE_MS));
      this.schedule.after(delay, () => {
        this.#operate();
      });
    }
    this.schedule.runUntil(HISTORY_END);
    const stored = this.store.tables.read(CONFIGURATION_TABLE, CONTENT_KEY);
    const content = stored.kind === 'found' ? stored.row.value : undefined;
    return {
      violations: [
        ...this.#watch.violations,
        ...checkResults(content, this.#results),
        ...this.#behind(),
      ],
      injected: this.#injector.injectedCount,
    };
  }

  reach(
    step: ConfigurationStep,
    router: ConfigurationRouter,
  ): ExchangeFault | undefined {
    let exchangeFault: ExchangeFault | undefined;
    for (const fault of this.#injector.reach(step)) {
      if (isExchangeFault(fault)) {
        exchangeFault = fault;
      } else {
        this.#inject(fault, router);
      }
    }
    return exchangeFault;
  }

  sendToPeers(router: ConfigurationRouter, message: VersionUpdate): void {
    for (const peer of this.#routers) {
      if (peer !== router) {
        this.#carry(router, peer, message);
      }
    }
  }

  observe(router: ConfigurationRouter): void {
    this.#watch.observe(router.name, router.replica.snapshot);
  }

  onProposalResult(_router: ConfigurationRouter, result: ProposalResult): void {
    this.#results.push(result);
  }

  #newRouter(): ConfigurationRouter {
    this.#lastProcess += 1;
    return new ConfigurationRouter(`router-${this.#lastProcess}`, this);
  }

  /** An operator sends a change, sometimes with the version that it saw. */
  #operate(): void {
    this.#lastChange += 1;
    const router = this.random.pick(this.#routers);
    const values = { teamLimit: this.random.integer(1, LONGEST_LIMIT) };
    const seen =
      this.random.fraction() < 0.3
        ? { expected: router.replica.version }
        : undefined;
    this.#propose(router, {
      changeId: changeId(`change-${this.#lastChange}`),
      who: 'operator',
      when: this.#lastChange,
      change: { kind: 'set-defaults', values },
      ...seen,
    });
  }

  /** An operator without an answer sends the same change to another router. */
  #propose(router: ConfigurationRouter, proposal: Proposal): void {
    const fault = this.reach('propose', router);
    const sendAgain = () => {
      this.random.pick(this.#routers).propose(proposal);
    };
    switch (fault) {
      case 'connection-refused':
        sendAgain();
        return;
      case 'reset-before-headers':
      case 'reset-mid-answer':
      case 'stall':
      case 'late-answer':
        router.propose(proposal);
        this.schedule.after(OPERATOR_PATIENCE, sendAgain);
        return;
      case 'duplicated-answer':
        router.propose(proposal);
        router.propose(proposal);
        return;
      case 'slow':
        this.schedule.after(OPERATOR_PATIENCE, () => {
          router.propose(proposal);
        });
        return;
      case undefined:
        router.propose(proposal);
    }
  }

  #carry(
    from: ConfigurationRouter,
    to: ConfigurationRouter,
    message: VersionUpdate,
  ): void {
    const fault = this.reach('tell-peer', from);
    const isSplit =
      this.#isolated.has(from.name) !== this.#isolated.has(to.name);
    if (isSplit) {
      return;
    }
    const hear = () => {
      to.onPeerUpdate(message);
    };
    switch (fault) {
      case 'connection-refused':
      case 'reset-before-headers':
      case 'reset-mid-answer':
        return;
      case 'stall':
      case 'late-answer':
        this.schedule.after(LATE_MESSAGE, hear);
        return;
      case 'duplicated-answer':
        this.#travel(hear);
        this.schedule.after(LATE_MESSAGE, hear);
        return;
      case 'slow':
        this.schedule.after(seconds(2), hear);
        return;
      case undefined:
        this.#travel(hear);
    }
  }

  #travel(action: () => void): void {
    this.schedule.after(milliseconds(this.random.integer(1, 5)), action);
  }

  #inject(
    fault: Exclude<Fault, ExchangeFault>,
    router: ConfigurationRouter,
  ): void {
    switch (fault) {
      case 'router-kill':
      case 'router-stop':
        this.#replace(router);
        return;
      case 'router-pause':
        router.process.pause();
        this.schedule.after(PAUSE, () => {
          router.process.resume();
        });
        return;
      case 'store-down':
        this.store.makeUnavailableFor(OUTAGE);
        return;
      case 'store-slow':
        this.store.slowFor(OUTAGE);
        return;
      case 'store-answer-lost':
        this.store.loseResponsesFor(seconds(1));
        return;
      case 'store-rate-limited':
        this.store.rateLimitFor(OUTAGE);
        return;
      case 'stale-list':
      case 'split-views':
        this.#isolate(router);
        return;
      case 'operators-racing':
        this.#operate();
        this.#operate();
        return;
      case 'engine-crash':
      case 'poison-request':
      case 'flapping-endpoint':
    }
  }

  /** A router that ends is replaced by a new process that knows nothing. */
  #replace(router: ConfigurationRouter): void {
    router.process.kill();
    const index = this.#routers.indexOf(router);
    this.schedule.after(RESTART, () => {
      if (index >= 0) {
        this.#routers[index] = this.#newRouter();
      }
    });
  }

  /** The router and the others do not see each other for a while. */
  #isolate(router: ConfigurationRouter): void {
    this.#isolated.add(router.name);
    this.schedule.after(OUTAGE, () => {
      this.#isolated.delete(router.name);
    });
  }

  /** Routers that lack the accepted version, or are not ready, in the end. */
  #behind(): Violation[] {
    const now = this.schedule.now;
    const versions = this.#routers.map(router => router.replica.version);
    const highest = Math.max(...versions);
    return this.#routers
      .filter(
        ({ replica: keeper }) =>
          keeper.version < highest || !keeper.isReady(now),
      )
      .map(({ name, replica: keeper }) => ({
        promise: 'converges',
        detail: `${name} is at ${keeper.version} of ${highest}`,
      }));
  }
}
