/**
 * Simulates one seeded history of orders with planned faults: callers that retry,
 * several routers, the table service and a plain service.
 */
import type { OrderCall } from '@sesamegrade/core/orders/order';
import { OrderRules } from '@sesamegrade/core/orders/order-rules';
import { Random } from '@sesamegrade/core/random/random';
import {
  fingerprint,
  idempotencyKey,
  requestId,
  serviceId,
  teamId,
} from '@sesamegrade/core/types/ids';
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
import type { CallerResult } from './order-checks';
import { checkOrders } from './order-checks';
import type { OrderStep, OrderEnvironment } from './order-router';
import { OrderRouter } from './order-router';
import { OrderService } from './order-service';

export interface OrderHistoryOptions {
  readonly seed: number;
  readonly plan: readonly Injection<OrderStep>[];
  readonly rules?: OrderRules;
}

export interface OrderHistoryReport {
  readonly violations: readonly Violation[];
  /** Number of planned faults whose step was reached. */
  readonly injected: number;
  readonly executions: number;
  readonly callerResults: number;
}

const ROUTERS = 3;
const KEYS = 2;
const MAX_TRIES = 5;
const MIN_TIMEOUT_MS = 1000;
const MAX_TIMEOUT_MS = 15_000;
const OUTAGE_DURATION = seconds(8);
const PAUSE_DURATION = seconds(30);
const RESTART_DELAY = seconds(1);
const HISTORY_END = instant(900_000);

const team = teamId('team');
const service = serviceId('registry');

/** One try of a caller; `tries` counts from 1. */
interface CallAttempt {
  readonly key: string;
  readonly body: string;
  readonly tries: number;
}

export class OrderSimulation implements OrderEnvironment {
  readonly schedule = new Schedule();
  readonly random: Random;
  readonly store: FaultyStore;
  readonly rules: OrderRules;
  readonly #service: OrderService;
  readonly #injector: FaultInjector<OrderStep>;
  readonly #routers: OrderRouter[] = [];
  readonly #attempts = new Map<string, CallAttempt>();
  readonly #results: CallerResult[] = [];
  #lastRequest = 0;
  #lastProcess = 0;

  constructor(options: OrderHistoryOptions) {
    this.random = new Random(options.seed);
    this.rules = options.rules ?? new OrderRules();
    this.store = new FaultyStore(this.schedule, this.random);
    this.#service = new OrderService(
      this.schedule,
      this.random,
      (step, router) => this.reach(step, router),
    );
    this.#injector = new FaultInjector(options.plan);
    for (let index = 0; index < ROUTERS; index += 1) {
      this.#routers.push(this.#newRouter());
    }
  }

  run(): OrderHistoryReport {
    for (let key = 1; key <= KEYS; key += 1) {
      this.#startCallers(`key-${key}`);
    }
    this.schedule.runUntil(HISTORY_END);
    const { executions } = this.#service;
    return {
      violations: [
        ...checkOrders(executions, this.#results),
        ...this.#unsettledOrders(),
      ],
      injected: this.#injector.injectedCount,
      executions: executions.length,
      callerResults: this.#results.length,
    };
  }

  reach(step: OrderStep, router: OrderRouter): ExchangeFault | undefined {
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

  post(
    router: OrderRouter,
    call: OrderCall,
    fault: ExchangeFault | undefined,
  ): void {
    this.#service.post(router, call, fault);
  }

  respond(
    router: OrderRouter,
    call: OrderCall,
    outcome: CallerResult['outcome'],
    startedAt: CallerResult['startedAt'],
  ): void {
    const attempt = this.#attempts.get(call.request);
    if (!attempt) {
      return;
    }
    const { request } = call;
    const { key, body } = attempt;
    const endedAt = this.schedule.now;
    const routerName = router.name;
    this.#results.push({
      request,
      key,
      body,
      router: routerName,
      startedAt,
      endedAt,
      outcome,
    });
    if (outcome.kind !== 'answer') {
      this.#scheduleRetry(attempt);
    }
  }

  #newRouter(): OrderRouter {
    this.#lastProcess += 1;
    return new OrderRouter(`router-${this.#lastProcess}`, this);
  }

  /**
   * Starts up to three concurrent callers with the key, about one in ten with
   * another body.
   */
  #startCallers(key: string): void {
    const callers = this.random.integer(1, 3);
    for (let caller = 0; caller < callers; caller += 1) {
      const body = this.random.fraction() < 0.1 ? 'other' : 'body';
      const delay = milliseconds(this.random.integer(0, 50));
      this.schedule.after(delay, () => {
        this.#send({ key, body, tries: 1 });
      });
    }
  }

  #send(attempt: CallAttempt): void {
    this.#lastRequest += 1;
    const request = requestId(`request-${this.#lastRequest}`);
    this.#attempts.set(request, attempt);
    const router = this.random.pick(this.#routers);
    const timeout = milliseconds(
      this.random.integer(MIN_TIMEOUT_MS, MAX_TIMEOUT_MS),
    );
    const call: OrderCall = {
      request,
      team,
      service,
      key: idempotencyKey(attempt.key),
      fingerprint: fingerprint(attempt.body),
      deadline: addTime(this.schedule.now, timeout),
    };
    if (router.process.state !== 'running') {
      this.#scheduleRetry(attempt);
      return;
    }
    router.accept(call);
    this.schedule.after(seconds(20), () => {
      this.#onDisconnect(request, attempt);
    });
  }

  /** Retries if the caller's connection ended without a response. */
  #onDisconnect(request: string, attempt: CallAttempt): void {
    const hasResult = this.#results.some(entry => entry.request === request);
    if (!hasResult) {
      this.#scheduleRetry(attempt);
    }
  }

  #scheduleRetry(attempt: CallAttempt): void {
    if (attempt.tries >= MAX_TRIES) {
      return;
    }
    const delay = milliseconds(this.random.integer(10, 4000));
    this.schedule.after(delay, () => {
      this.#send({ ...attempt, tries: attempt.tries + 1 });
    });
  }

  #inject(fault: Exclude<Fault, ExchangeFault>, router: OrderRouter): void {
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
        router.stop();
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
        this.#service.crash();
        return;
      case 'flapping-endpoint':
      case 'stale-list':
        this.#service.flap();
        return;
      case 'split-views':
        this.#service.hideFrom(router);
        return;
      case 'operators-racing':
    }
  }

  /** Kills a router process and starts a new one with another name in its place. */
  #kill(router: OrderRouter): void {
    router.process.kill();
    const index = this.#routers.indexOf(router);
    this.schedule.after(RESTART_DELAY, () => {
      if (index >= 0) {
        this.#routers[index] = this.#newRouter();
      }
    });
  }

  /**
   * Returns a violation for each router with open orders at the end, long after
   * the last fault.
   */
  #unsettledOrders(): Violation[] {
    const unsettled = this.#routers.filter(
      router => router.orderManager.openCount > 0,
    );
    return unsettled.map(router => ({
      promise: 'settles',
      detail: `${router.name} still has ${router.orderManager.openCount} open orders`,
    }));
  }
}
