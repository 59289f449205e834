/**
 * Simulates one seeded history of engine orders with planned faults: routers with
 * different clocks that contend for the lease, and engines that check the fencing
 * number or ignore it.
 */
import type { EngineResponse } from '@sesamegrade/core/engine-orders/engine-row';
import type { EngineOrder } from '@sesamegrade/core/engine-orders/engine-state';
import { LeaseRules } from '@sesamegrade/core/leases/lease-rules';
import { Random } from '@sesamegrade/core/random/random';
import type { EndpointId } from '@sesamegrade/core/types/ids';
import { endpointId, modelId } from '@sesamegrade/core/types/ids';
import type { Milliseconds } from '@sesamegrade/core/types/units';
import {
  addTime,
  instant,
  milliseconds,
  seconds,
} from '@sesamegrade/core/types/units';
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
import { FenceObserver } from './engine-order-checks';
import type {
  EngineOrderStep,
  EngineOrderEnvironment,
} from './engine-order-router';
import { EngineOrderRouter } from './engine-order-router';
import { FakeEngine } from './fake-engine';

export interface EngineOrderHistoryOptions {
  readonly seed: number;
  readonly plan: readonly Injection<EngineOrderStep>[];
  readonly rules?: LeaseRules;
  /** Whether engines refuse old fencing numbers; chosen by the seed if absent. */
  readonly enginesCheckFence?: boolean;
}

export interface EngineOrderHistoryReport {
  readonly violations: readonly Violation[];
  /** Number of planned faults whose step was reached. */
  readonly injected: number;
  readonly orders: number;
}

const ROUTERS = 3;
const ENGINES = 4;
const PLANS = [
  { model: modelId('a'), version: '1', adapters: [], role: '', engines: 2 },
  { model: modelId('b'), version: '1', adapters: [], role: '', engines: 1 },
];
const EXCHANGE_TIMEOUT = seconds(2);
/** Max time until an order reaches its engine when the connection stalls. */
const MAX_STALL_MS = 20_000;
const SLOW_DELAY = milliseconds(1500);
const OUTAGE_DURATION = seconds(20);
const PAUSE_DURATION = seconds(40);
const CRASH_DOWNTIME = seconds(3);
const ASSIGNMENT_CHANGES = 3;
const ASSIGNMENT_CHANGES_END_MS = 60_000;
const HISTORY_END = instant(160_000);

export class EngineOrderSimulation implements EngineOrderEnvironment {
  readonly schedule = new Schedule();
  readonly random: Random;
  readonly store: FaultyStore;
  readonly rules: LeaseRules;
  readonly enginesCheckFence: boolean;
  readonly #injector: FaultInjector<EngineOrderStep>;
  readonly #fenceObserver = new FenceObserver();
  readonly #engines = new Map<EndpointId, FakeEngine>();
  readonly #routers: EngineOrderRouter[] = [];
  #orders = 0;
  #lastProcess = 0;

  constructor(options: EngineOrderHistoryOptions) {
    this.random = new Random(options.seed);
    this.rules = options.rules ?? new LeaseRules();
    const checkFenceBySeed = this.random.fraction() < 0.5;
    this.enginesCheckFence = options.enginesCheckFence ?? checkFenceBySeed;
    this.store = new FaultyStore(this.schedule, this.random);
    this.#injector = new FaultInjector(options.plan);
    for (let index = 1; index <= ENGINES; index += 1) {
      const id = endpointId(`engine-${index}`);
      this.#engines.set(id, new FakeEngine(id, this.enginesCheckFence));
    }
    for (let index = 0; index < ROUTERS; index += 1) {
      this.#routers.push(this.#newRouter());
    }
  }

  run(): EngineOrderHistoryReport {
    this.#scheduleAssignmentChanges();
    this.schedule.runUntil(HISTORY_END);
    return {
      violations: [...this.#fenceObserver.violations, ...this.#unmetPlans()],
      injected: this.#injector.injectedCount,
      orders: this.#orders,
    };
  }

  reach(
    step: EngineOrderStep,
    router: EngineOrderRouter,
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

  readEngine(
    id: EndpointId,
    fault: ExchangeFault | undefined,
    reply: (response: EngineResponse) => void,
  ): void {
    const engine = this.#engines.get(id);
    this.#transmit(fault, () => {
      const isUp = engine && engine.downUntil <= this.schedule.now;
      if (isUp && !isResponseLost(fault)) {
        const value = engine.report(this.schedule.now);
        this.#respond({ kind: 'reported', value }, fault, reply);
      } else {
        this.#respondFailed(reply);
      }
    });
  }

  onOrderPermitted(router: EngineOrderRouter, order: EngineOrder): void {
    this.#fenceObserver.onPermitted(router.name, order.fence);
  }

  sendOrder(
    router: EngineOrderRouter,
    order: EngineOrder,
    id: EndpointId,
    fault: ExchangeFault | undefined,
    reply: (response: EngineResponse) => void,
  ): void {
    this.#orders += 1;
    if (fault === 'connection-refused') {
      this.#respondFailed(reply);
      return;
    }
    const isLate = fault === 'stall' || fault === 'late-answer';
    if (isLate) {
      const delay = milliseconds(this.random.integer(0, MAX_STALL_MS));
      this.schedule.after(delay, () => {
        this.#receiveOrder(router, order, id, true);
      });
      this.schedule.after(EXCHANGE_TIMEOUT, () => {
        reply({ kind: 'failed' });
      });
      return;
    }
    this.#transmit(fault, () => {
      const neverArrives =
        fault === 'reset-before-headers' && this.random.fraction() < 0.5;
      const value = neverArrives
        ? undefined
        : this.#receiveOrder(router, order, id, false);
      if (value === undefined || isResponseLost(fault)) {
        this.#respondFailed(reply);
      } else {
        this.#respond({ kind: 'reported', value }, fault, reply);
      }
    });
  }

  /**
   * Delivers the order to the engine; returns its report, or undefined if it is
   * down.
   */
  #receiveOrder(
    router: EngineOrderRouter,
    order: EngineOrder,
    id: EndpointId,
    isLate: boolean,
  ): unknown {
    const engine = this.#engines.get(id);
    if (!engine || engine.downUntil > this.schedule.now) {
      return undefined;
    }
    const isAccepted = engine.receive(order, this.schedule.now);
    // The lease rules assume a maximum send delay. An order delayed beyond it can
    // reach an engine without a fence check after newer ones, so it is not counted.
    if (isAccepted && (this.enginesCheckFence || !isLate)) {
      this.#fenceObserver.onAccepted(id, order.fence);
    }
    this.reach('load', router);
    return engine.report(this.schedule.now);
  }

  #respond(
    response: EngineResponse,
    fault: ExchangeFault | undefined,
    reply: (response: EngineResponse) => void,
  ): void {
    this.#transmit(undefined, () => {
      reply(response);
    });
    if (fault === 'duplicated-answer') {
      this.schedule.after(seconds(3), () => {
        reply(response);
      });
    }
  }

  #respondFailed(reply: (response: EngineResponse) => void): void {
    this.#transmit(undefined, () => {
      reply({ kind: 'failed' });
    });
  }

  #transmit(fault: ExchangeFault | undefined, action: () => void): void {
    const base = fault === 'slow' ? SLOW_DELAY : milliseconds(0);
    const delay = milliseconds(base + this.random.integer(1, 5));
    this.schedule.after(delay, action);
  }

  #newRouter(): EngineOrderRouter {
    this.#lastProcess += 1;
    const router = new EngineOrderRouter(`router-${this.#lastProcess}`, this);
    router.start([...this.#engines.keys()], PLANS);
    return router;
  }

  /**
   * Makes the routers' views of which of them is assigned differ until
   * `ASSIGNMENT_CHANGES_END_MS`.
   */
  #scheduleAssignmentChanges(): void {
    for (let change = 0; change < ASSIGNMENT_CHANGES; change += 1) {
      const delay = milliseconds(
        this.random.integer(0, ASSIGNMENT_CHANGES_END_MS),
      );
      this.schedule.after(delay, () => {
        this.#toggleAssignment();
      });
    }
    this.schedule.after(milliseconds(ASSIGNMENT_CHANGES_END_MS), () => {
      for (const router of this.#routers) {
        router.isAssigned = true;
      }
    });
  }

  #toggleAssignment(): void {
    const router = this.random.pick(this.#routers);
    router.isAssigned = !router.isAssigned;
  }

  #inject(
    fault: Exclude<Fault, ExchangeFault>,
    router: EngineOrderRouter,
  ): void {
    switch (fault) {
      case 'router-kill':
        this.#kill(router);
        return;
      case 'router-pause':
        router.process.pause();
        this.schedule.after(PAUSE_DURATION, () => {
          router.process.resume();
        });
        return;
      case 'router-stop':
        router.isAssigned = false;
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
      case 'engine-crash':
      case 'poison-request':
        this.#crashEngine(CRASH_DOWNTIME);
        return;
      case 'flapping-endpoint':
        this.#flapEngine();
        return;
      case 'stale-list':
        this.#hideEngine(router);
        return;
      case 'split-views':
      case 'operators-racing':
        this.#toggleAssignment();
    }
  }

  /** Kills a router process and starts a new one with another name in its place. */
  #kill(router: EngineOrderRouter): void {
    router.process.kill();
    const index = this.#routers.indexOf(router);
    if (index >= 0) {
      this.#routers[index] = this.#newRouter();
    }
  }

  #crashEngine(downtime: Milliseconds): void {
    const engine = this.random.pick([...this.#engines.values()]);
    engine.crash(addTime(this.schedule.now, downtime));
    this.#fenceObserver.onCrash(engine.id);
  }

  #flapEngine(): void {
    for (let round = 0; round < 4; round += 1) {
      this.schedule.after(seconds(round * 2), () => {
        this.#crashEngine(seconds(1));
      });
    }
  }

  /** Removes an engine from the router's list for the duration of an outage. */
  #hideEngine(router: EngineOrderRouter): void {
    const ids = [...this.#engines.keys()];
    const hidden = this.random.pick(ids);
    router.reconciler.setEngines(ids.filter(id => id !== hidden));
    this.schedule.after(OUTAGE_DURATION, () => {
      router.reconciler.setEngines(ids);
    });
  }

  /**
   * Returns a violation for each plan that is not met at the end, long after
   * the last fault.
   */
  #unmetPlans(): Violation[] {
    const states = [...this.#engines.values()].map(engine => engine.state);
    return PLANS.filter(plan => {
      const matching = states.filter(
        state => state.model === plan.model && state.version === plan.version,
      );
      return matching.length < plan.engines;
    }).map(plan => ({
      promise: 'converges',
      detail: `model ${plan.model} has fewer than ${plan.engines} engines`,
    }));
  }
}

function isResponseLost(fault: ExchangeFault | undefined): boolean {
  return (
    fault !== undefined && fault !== 'slow' && fault !== 'duplicated-answer'
  );
}
