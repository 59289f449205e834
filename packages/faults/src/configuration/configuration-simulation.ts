/**
 * Simulates one seeded history of configuration changes with planned faults:
 * concurrent operators that retry, routers that update each other, and the
 * table service.
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
  /** Makes the version history of each router; the production class by default. */
  readonly newVersionHistory?: () => VersionHistory;
}

export interface ConfigurationHistoryReport {
  readonly violations: readonly Violation[];
  /** Number of planned faults whose step was reached. */
  readonly injected: number;
}

const ROUTERS = 3;
const CHANGES = 5;
const LAST_CHANGE_MS = 30_000;
const MAX_TEAM_LIMIT = 1000;
const OUTAGE_DURATION = seconds(10);
const PAUSE_DURATION = seconds(30);
const RESTART_DELAY = seconds(1);
const OPERATOR_TIMEOUT = seconds(3);
const LATE_UPDATE_DELAY = seconds(25);
const HISTORY_END = instant(150_000);

export class ConfigurationSimulation implements ConfigurationEnvironment {
  readonly schedule = new Schedule();
  readonly random: Random;
  readonly store: FaultyStore;
  readonly newVersionHistory: () => VersionHistory;
  readonly #injector: FaultInjector<ConfigurationStep>;
  readonly #versionObserver = new VersionObserver();
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
        this.#proposeChange();
      });
    }
    this.schedule.runUntil(HISTORY_END);
    const stored = this.store.tables.read(CONFIGURATION_TABLE, CONTENT_KEY);
    const content = stored.kind === 'found' ? stored.row.value : undefined;
    return {
      violations: [
        ...this.#versionObserver.violations,
        ...checkResults(content, this.#results),
        ...this.#checkConvergence(),
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

  sendToPeers(router: ConfigurationRouter, update: VersionUpdate): void {
    for (const peer of this.#routers) {
      if (peer !== router) {
        this.#deliver(router, peer, update);
      }
    }
  }

  observe(router: ConfigurationRouter): void {
    this.#versionObserver.observe(router.name, router.replica.snapshot);
  }

  onProposalResult(_router: ConfigurationRouter, result: ProposalResult): void {
    this.#results.push(result);
  }

  #newRouter(): ConfigurationRouter {
    this.#lastProcess += 1;
    return new ConfigurationRouter(`router-${this.#lastProcess}`, this);
  }

  /**
   * Proposes a change as an operator, sometimes with the expected current
   * version.
   */
  #proposeChange(): void {
    this.#lastChange += 1;
    const router = this.random.pick(this.#routers);
    const values = { teamLimit: this.random.integer(1, MAX_TEAM_LIMIT) };
    const expectation =
      this.random.fraction() < 0.3
        ? { expected: router.replica.version }
        : undefined;
    this.#sendProposal(router, {
      changeId: changeId(`change-${this.#lastChange}`),
      who: 'operator',
      when: this.#lastChange,
      change: { kind: 'set-defaults', values },
      ...expectation,
    });
  }

  /**
   * Sends a proposal; an operator that gets no response sends it again to a
   * random router.
   */
  #sendProposal(router: ConfigurationRouter, proposal: Proposal): void {
    const fault = this.reach('propose', router);
    const retry = () => {
      this.random.pick(this.#routers).propose(proposal);
    };
    switch (fault) {
      case 'connection-refused':
        retry();
        return;
      case 'reset-before-headers':
      case 'reset-mid-answer':
      case 'stall':
      case 'late-answer':
        router.propose(proposal);
        this.schedule.after(OPERATOR_TIMEOUT, retry);
        return;
      case 'duplicated-answer':
        router.propose(proposal);
        router.propose(proposal);
        return;
      case 'slow':
        this.schedule.after(OPERATOR_TIMEOUT, () => {
          router.propose(proposal);
        });
        return;
      case undefined:
        router.propose(proposal);
    }
  }

  #deliver(
    from: ConfigurationRouter,
    to: ConfigurationRouter,
    update: VersionUpdate,
  ): void {
    const fault = this.reach('tell-peer', from);
    const isPartitioned =
      this.#isolated.has(from.name) !== this.#isolated.has(to.name);
    if (isPartitioned) {
      return;
    }
    const deliver = () => {
      to.onPeerUpdate(update);
    };
    switch (fault) {
      case 'connection-refused':
      case 'reset-before-headers':
      case 'reset-mid-answer':
        return;
      case 'stall':
      case 'late-answer':
        this.schedule.after(LATE_UPDATE_DELAY, deliver);
        return;
      case 'duplicated-answer':
        this.#transmit(deliver);
        this.schedule.after(LATE_UPDATE_DELAY, deliver);
        return;
      case 'slow':
        this.schedule.after(seconds(2), deliver);
        return;
      case undefined:
        this.#transmit(deliver);
    }
  }

  #transmit(action: () => void): void {
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
        this.schedule.after(PAUSE_DURATION, () => {
          router.process.resume();
        });
        return;
      case 'store-down':
        this.store.makeUnavailableFor(OUTAGE_DURATION);
        return;
      case 'store-slow':
        this.store.slowFor(OUTAGE_DURATION);
        return;
      case 'store-answer-lost':
        this.store.loseResponsesFor(seconds(1));
        return;
      case 'store-rate-limited':
        this.store.rateLimitFor(OUTAGE_DURATION);
        return;
      case 'stale-list':
      case 'split-views':
        this.#isolate(router);
        return;
      case 'operators-racing':
        this.#proposeChange();
        this.#proposeChange();
        return;
      case 'engine-crash':
      case 'poison-request':
      case 'flapping-endpoint':
    }
  }

  /** Kills a router and starts a new process without state in its place. */
  #replace(router: ConfigurationRouter): void {
    router.process.kill();
    const index = this.#routers.indexOf(router);
    this.schedule.after(RESTART_DELAY, () => {
      if (index >= 0) {
        this.#routers[index] = this.#newRouter();
      }
    });
  }

  /**
   * Drops the updates between a router and its peers for the duration of an
   * outage.
   */
  #isolate(router: ConfigurationRouter): void {
    this.#isolated.add(router.name);
    this.schedule.after(OUTAGE_DURATION, () => {
      this.#isolated.delete(router.name);
    });
  }

  /**
   * Returns a violation for each router that lacks the highest version or is
   * not ready at the end.
   */
  #checkConvergence(): Violation[] {
    const now = this.schedule.now;
    const versions = this.#routers.map(router => router.replica.version);
    const highest = Math.max(...versions);
    return this.#routers
      .filter(
        ({ replica }) => replica.version < highest || !replica.isReady(now),
      )
      .map(({ name, replica }) => ({
        promise: 'converges',
        detail: `${name} is at version ${replica.version} of ${highest}, or is not ready`,
      }));
  }
}
