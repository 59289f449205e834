/**
 * One seeded history of orders to engines: routers that contend for the lease,
 * their clocks apart, engines that check the number or do not, planned faults.
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
  /** Whether engines refuse old numbers; by the seed when absent. */
  readonly enginesCheckFence?: boolean;
}

export interface EngineOrderHistoryReport {
  readonly violations: readonly Violation[];
  /** Faults of the plan whose step was reached. */
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
/** How long an order may be under way when its connection stalls. */
const LONGEST_STALL_MS = 20_000;
const SLOW_DELAY = milliseconds(1500);
const OUTAGE = seconds(20);
const PAUSE = seconds(40);
const CRASH_LENGTH = seconds(3);
const DUTY_CHANGES = 3;
const DUTY_CHANGE_END_MS = 60_000;
const HISTORY_END = instant(160_000);

export class EngineOrderSimulation implements EngineOrderEnvironment {
  readonly schedule = new Schedule();
  readonly random: Random;
  readonly store: FaultyStore;
  readonly rules: LeaseRules;
  readonly enginesCheckFence: boolean;
  readonly #injector: FaultInjector<EngineOrderStep>;
  readonly #watch = new FenceObserver();
  readonly #engines = new Map<EndpointId, FakeEngine>();
  readonly #routers: EngineOrderRouter[] = [];
  #orders = 0;
  #lastProcess = 0;

  constructor(options: EngineOrderHistoryOptions) {
    this.random = new Random(options.seed);
    this.rules = options.rules ?? new LeaseRules();
    const isEven = this.random.fraction() < 0.5;
    this.enginesCheckFence = options.enginesCheckFence ?? isEven;
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
    this.#changeDuties();
    this.schedule.runUntil(HISTORY_END);
    return {
      violations: [...this.#watch.violations, ...this.#unmet()],
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
    reply: (answer: EngineResponse) => void,
  ): void {
    const engine = this.#engines.get(id);
    this.#travel(fault, () => {
      const isUp = engine && engine.downUntil <= this.schedule.now;
      if (isUp && !isCut(fault)) {
        const value = engine.report(this.schedule.now);
        this.#answer({ kind: 'reported', value }, fault, reply);
      } else {
        this.#fail(reply);
      }
    });
  }

  onOrderPermitted(router: EngineOrderRouter, order: EngineOrder): void {
    this.#watch.onPermitted(router.name, order.fence);
  }

  sendOrder(
    router: EngineOrderRouter,
    order: EngineOrder,
    id: EndpointId,
    fault: ExchangeFault | undefined,
    reply: (answer: EngineResponse) => void,
  ): void {
    this.#orders += 1;
    if (fault === 'connection-refused') {
      this.#fail(reply);
      return;
    }
    const isLate = fault === 'stall' || fault === 'late-answer';
    if (isLate) {
      const delay = milliseconds(this.random.integer(0, LONGEST_STALL_MS));
      this.schedule.after(delay, () => {
        this.#take(router, order, id, true);
      });
      this.schedule.after(EXCHANGE_TIMEOUT, () => {
        reply({ kind: 'failed' });
      });
      return;
    }
    this.#travel(fault, () => {
      const neverArrives =
        fault === 'reset-before-headers' && this.random.fraction() < 0.5;
      const value = neverArrives
        ? undefined
        : this.#take(router, order, id, false);
      if (value === undefined || isCut(fault)) {
        this.#fail(reply);
      } else {
        this.#answer({ kind: 'reported', value }, fault, reply);
      }
    });
  }

  /** The engine gets the order; returns its report, unless it is down. */
  #take(
    router: EngineOrderRouter,
    order: EngineOrder,
    id: EndpointId,
    isLate: boolean,
  ): unknown {
    const engine = this.#engines.get(id);
    if (!engine || engine.downUntil > this.schedule.now) {
      return undefined;
    }
    const isTaken = engine.receive(order, this.schedule.now);
    // An order that outlasts the longest send is known to pass unfenced engines.
    if (isTaken && (this.enginesCheckFence || !isLate)) {
      this.#watch.onAccepted(id, order.fence);
    }
    this.reach('load', router);
    return engine.report(this.schedule.now);
  }

  #answer(
    answer: EngineResponse,
    fault: ExchangeFault | undefined,
    reply: (answer: EngineResponse) => void,
  ): void {
    this.#travel(undefined, () => {
      reply(answer);
    });
    if (fault === 'duplicated-answer') {
      this.schedule.after(seconds(3), () => {
        reply(answer);
      });
    }
  }

  #fail(reply: (answer: EngineResponse) => void): void {
    this.#travel(undefined, () => {
      reply({ kind: 'failed' });
    });
  }

  #travel(fault: ExchangeFault | undefined, action: () => void): void {
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

  /** Routers' views of who is on duty change and differ for a while. */
  #changeDuties(): void {
    for (let change = 0; change < DUTY_CHANGES; change += 1) {
      const delay = milliseconds(this.random.integer(0, DUTY_CHANGE_END_MS));
      this.schedule.after(delay, () => {
        this.#changeDuty();
      });
    }
    this.schedule.after(milliseconds(DUTY_CHANGE_END_MS), () => {
      for (const router of this.#routers) {
        router.isAssigned = true;
      }
    });
  }

  #changeDuty(): void {
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
        this.schedule.after(PAUSE, () => {
          router.process.resume();
        });
        return;
      case 'router-stop':
        router.isAssigned = false;
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
      case 'engine-crash':
      case 'poison-request':
        this.#crashEngine(CRASH_LENGTH);
        return;
      case 'flapping-endpoint':
        this.#flapEngine();
        return;
      case 'stale-list':
        this.#hideEngine(router);
        return;
      case 'split-views':
      case 'operators-racing':
        this.#changeDuty();
    }
  }

  /** A killed process is replaced by a new one with another name. */
  #kill(router: EngineOrderRouter): void {
    router.process.kill();
    const index = this.#routers.indexOf(router);
    if (index >= 0) {
      this.#routers[index] = this.#newRouter();
    }
  }

  #crashEngine(length: Milliseconds): void {
    const engine = this.random.pick([...this.#engines.values()]);
    engine.crash(addTime(this.schedule.now, length));
    this.#watch.onCrash(engine.id);
  }

  #flapEngine(): void {
    for (let round = 0; round < 4; round += 1) {
      this.schedule.after(seconds(round * 2), () => {
        this.#crashEngine(seconds(1));
      });
    }
  }

  /** The router's list lacks an engine for a while. */
  #hideEngine(router: EngineOrderRouter): void {
    const ids = [...this.#engines.keys()];
    const hidden = this.random.pick(ids);
    router.reconciler.setEngines(ids.filter(id => id !== hidden));
    this.schedule.after(OUTAGE, () => {
      router.reconciler.setEngines(ids);
    });
  }

  /** Plans that are not met long after the last fault. */
  #unmet(): Violation[] {
    const held = [...this.#engines.values()].map(engine => engine.state);
    return PLANS.filter(plan => {
      const holders = held.filter(
        state => state.model === plan.model && state.version === plan.version,
      );
      return holders.length < plan.engines;
    }).map(plan => ({
      promise: 'converges',
      detail: `model ${plan.model} has fewer than ${plan.engines} engines`,
    }));
  }
}

function isCut(fault: ExchangeFault | undefined): boolean {
  return (
    fault !== undefined && fault !== 'slow' && fault !== 'duplicated-answer'
  );
}
