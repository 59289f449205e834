/**
 * One seeded history of orders: callers that send again, several routers, the
 * table service and a plain service, with planned faults.
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
  /** Faults of the plan whose step was reached. */
  readonly injected: number;
  readonly executions: number;
  readonly callerResults: number;
}

const ROUTERS = 3;
const KEYS = 2;
const MAX_TRIES = 5;
const SHORTEST_PATIENCE_MS = 1000;
const LONGEST_PATIENCE_MS = 15_000;
const OUTAGE = seconds(8);
const PAUSE = seconds(30);
const RESTART = seconds(1);
const HISTORY_END = instant(900_000);

const team = teamId('team');
const service = serviceId('registry');

interface Sending {
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
  readonly #sendings = new Map<string, Sending>();
  readonly #verdicts: CallerResult[] = [];
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
        ...checkOrders(executions, this.#verdicts),
        ...this.#unsettled(),
      ],
      injected: this.#injector.injectedCount,
      executions: executions.length,
      callerResults: this.#verdicts.length,
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
    said: CallerResult['outcome'],
    began: CallerResult['startedAt'],
  ): void {
    const sending = this.#sendings.get(call.request);
    if (!sending) {
      return;
    }
    const { request } = call;
    const { key, body } = sending;
    const told = this.schedule.now;
    const teller = router.name;
    this.#verdicts.push({
      request,
      key,
      body,
      router: teller,
      startedAt: began,
      endedAt: told,
      outcome: said,
    });
    if (said.kind !== 'answer') {
      this.#sendAgain(sending);
    }
  }

  #newRouter(): OrderRouter {
    this.#lastProcess += 1;
    return new OrderRouter(`router-${this.#lastProcess}`, this);
  }

  /** Up to three callers use the key at once; few of them with another body. */
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

  #send(sending: Sending): void {
    this.#lastRequest += 1;
    const request = requestId(`request-${this.#lastRequest}`);
    this.#sendings.set(request, sending);
    const router = this.random.pick(this.#routers);
    const patience = milliseconds(
      this.random.integer(SHORTEST_PATIENCE_MS, LONGEST_PATIENCE_MS),
    );
    const call: OrderCall = {
      request,
      team,
      service,
      key: idempotencyKey(sending.key),
      fingerprint: fingerprint(sending.body),
      deadline: addTime(this.schedule.now, patience),
    };
    if (router.process.state !== 'running') {
      this.#sendAgain(sending);
      return;
    }
    router.accept(call);
    this.schedule.after(seconds(20), () => {
      this.#hangUp(request, sending);
    });
  }

  /** The caller's connection ended without an answer. */
  #hangUp(request: string, sending: Sending): void {
    const answered = this.#verdicts.some(entry => entry.request === request);
    if (!answered) {
      this.#sendAgain(sending);
    }
  }

  #sendAgain(sending: Sending): void {
    if (sending.tries >= MAX_TRIES) {
      return;
    }
    const delay = milliseconds(this.random.integer(10, 4000));
    this.schedule.after(delay, () => {
      this.#send({ ...sending, tries: sending.tries + 1 });
    });
  }

  #inject(fault: Exclude<Fault, ExchangeFault>, router: OrderRouter): void {
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
        router.stop();
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

  /** A killed process is replaced by a new one with another name. */
  #kill(router: OrderRouter): void {
    router.process.kill();
    const index = this.#routers.indexOf(router);
    this.schedule.after(RESTART, () => {
      if (index >= 0) {
        this.#routers[index] = this.#newRouter();
      }
    });
  }

  /** Orders that live routers still hold long after the last fault. */
  #unsettled(): Violation[] {
    const held = this.#routers.filter(
      router => router.orderManager.openCount > 0,
    );
    return held.map(router => ({
      promise: 'settles',
      detail: `${router.name} holds ${router.orderManager.openCount} orders`,
    }));
  }
}
