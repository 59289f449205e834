/**
 * One seeded history of chats: callers that go on elsewhere when their router
 * is lost, two routers, engines that stream, planned faults.
 */
import type { Refusal, Request } from '@sesamegrade/core/requests/types';
import { Random } from '@sesamegrade/core/random/random';
import type { EndpointId, RequestId } from '@sesamegrade/core/types/ids';
import {
  chatId,
  endpointId,
  fingerprint,
  modelId,
  requestId,
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
import { FaultInjector } from '../simulation/fault-injector';
import { Schedule } from '../simulation/schedule';
import type { StreamEvent } from './chat-engine';
import { RESPONSE_EVENTS, ChatEngine } from './chat-engine';
import type { ChatStep, ChatEnvironment, StreamSource } from './chat-router';
import { ChatRouter } from './chat-router';

export interface ChatHistoryOptions {
  readonly seed: number;
  readonly plan: readonly Injection<ChatStep>[];
}

export interface ChatHistoryReport {
  readonly violations: readonly Violation[];
  /** Faults of the plan whose step was reached. */
  readonly injected: number;
  /** Requests that got their whole answer. */
  readonly completeResponses: number;
}

/** What one caller has received. */
interface Caller {
  readonly request: Request;
  router: ChatRouter;
  received: number;
  source: StreamSource | undefined;
  isEnded: boolean;
  /** Whether its request was lost with its router before any answer. */
  isOrphaned: boolean;
}

const ROUTERS = 2;
const ENGINES = 4;
const REQUESTS = 3;
const PATIENCE = seconds(20);
const PAUSE = seconds(6);
const CRASH_LENGTH = seconds(1);
const RESTART = seconds(1);
const HISTORY_END = instant(60_000);

export class ChatSimulation implements ChatEnvironment {
  readonly schedule = new Schedule();
  readonly random: Random;
  readonly #injector: FaultInjector<ChatStep>;
  readonly #violations: Violation[] = [];
  readonly #engines = new Map<EndpointId, ChatEngine>();
  readonly #routers: ChatRouter[] = [];
  readonly #callers = new Map<RequestId, Caller>();
  readonly #hidden = new Map<string, EndpointId>();
  #lastProcess = 0;

  constructor(options: ChatHistoryOptions) {
    this.random = new Random(options.seed);
    this.#injector = new FaultInjector(options.plan);
    for (let index = 1; index <= ENGINES; index += 1) {
      const engine = new ChatEngine(this.schedule, this.random);
      this.#engines.set(endpointId(`engine-${index}`), engine);
    }
    for (let index = 0; index < ROUTERS; index += 1) {
      this.#routers.push(this.#newRouter());
    }
  }

  run(): ChatHistoryReport {
    for (let index = 1; index <= REQUESTS; index += 1) {
      const delay = milliseconds(this.random.integer(0, 300));
      this.schedule.after(delay, () => {
        this.#call(requestId(`request-${index}`));
      });
    }
    this.schedule.runUntil(HISTORY_END);
    this.#checkEnds();
    const callers = [...this.#callers.values()];
    const whole = callers.filter(caller => caller.received === RESPONSE_EVENTS);
    return {
      violations: this.#violations,
      injected: this.#injector.injectedCount,
      completeResponses: whole.length,
    };
  }

  reach(step: ChatStep, router: ChatRouter): ExchangeFault | undefined {
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

  engine(id: EndpointId): ChatEngine {
    return this.#engines.get(id) ?? new ChatEngine(this.schedule, this.random);
  }

  visibleEndpoints(router: ChatRouter): readonly EndpointId[] {
    const hidden = this.#hidden.get(router.name);
    return [...this.#engines.keys()].filter(id => id !== hidden);
  }

  deliver(request: RequestId, event: StreamEvent, source: StreamSource): void {
    const caller = this.#callers.get(request);
    if (!caller) {
      return;
    }
    if (event.request !== request) {
      this.#fail('own-answer', `${request} got an event of ${event.request}`);
    }
    if (caller.isEnded || event.number !== caller.received + 1) {
      this.#fail(
        'own-answer',
        `${request} got event ${event.number} after ${caller.received}`,
      );
    }
    caller.received = event.number;
    caller.source = source;
    caller.isEnded = event.isEnd;
  }

  refuse(request: RequestId, { outcome }: Refusal): void {
    const caller = this.#callers.get(request);
    if (!caller) {
      return;
    }
    const engines = [...this.#engines.values()];
    if (outcome === 'not_run' && engines.some(one => one.hasRun(request))) {
      this.#fail('true-outcome', `${request} was told not_run but ran`);
    }
    if (caller.isEnded) {
      this.#fail('settles', `${request} was refused after its end`);
    }
    caller.isEnded = true;
  }

  #newRouter(): ChatRouter {
    this.#lastProcess += 1;
    return new ChatRouter(`router-${this.#lastProcess}`, this);
  }

  #call(id: RequestId): void {
    const { now } = this.schedule;
    const request: Request = {
      id,
      team: teamId('team'),
      target: { kind: 'chat', model: modelId('m'), chat: chatId(id) },
      fingerprint: fingerprint(id),
      priority: 0,
      affinityEndpoint: undefined,
      streamed: true,
      arrived: now,
      deadline: addTime(now, PATIENCE),
    };
    const router = this.random.pick(this.#routers);
    this.#callers.set(id, {
      request,
      router,
      received: 0,
      source: undefined,
      isEnded: false,
      isOrphaned: false,
    });
    router.accept(request);
  }

  #inject(fault: Exclude<Fault, ExchangeFault>, router: ChatRouter): void {
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
      case 'engine-crash':
      case 'poison-request':
        this.random.pick([...this.#engines.values()]).crash(CRASH_LENGTH);
        return;
      case 'flapping-endpoint':
      case 'stale-list':
        this.#flap();
        return;
      case 'split-views':
        this.#hidden.set(
          router.name,
          this.random.pick([...this.#engines.keys()]),
        );
        return;
      case 'router-stop':
      case 'store-down':
      case 'store-slow':
      case 'store-answer-lost':
      case 'store-rate-limited':
      case 'operators-racing':
    }
  }

  /** Callers of a lost router go on at another, if an answer had begun. */
  #kill(router: ChatRouter): void {
    router.process.kill();
    const index = this.#routers.indexOf(router);
    if (index < 0) {
      return;
    }
    this.schedule.after(RESTART, () => {
      this.#routers[index] = this.#newRouter();
      for (const caller of this.#callers.values()) {
        if (caller.router === router && !caller.isEnded) {
          this.#goOn(caller);
        }
      }
    });
  }

  #goOn(caller: Caller): void {
    if (!caller.source) {
      caller.isOrphaned = true;
      return;
    }
    const { request, source, received } = caller;
    caller.router = this.random.pick(this.#routers);
    const deadline = addTime(this.schedule.now, PATIENCE);
    caller.router.reattach({ ...request, deadline }, source, received);
  }

  /** One engine refuses while it is still listed, then comes and goes. */
  #flap(): void {
    const engine = this.random.pick([...this.#engines.values()]);
    for (let round = 0; round < 6; round += 1) {
      this.schedule.after(milliseconds(round * 200), () => {
        engine.isLeaving = round % 2 === 0;
      });
    }
  }

  /** Every caller was told an end, and no router holds anything. */
  #checkEnds(): void {
    for (const [id, caller] of this.#callers) {
      if (!caller.isEnded && !caller.isOrphaned) {
        this.#fail('settles', `${id} got ${caller.received} events and no end`);
      }
    }
    for (const { name, flow, placement: placing, process } of this.#routers) {
      const held = flow.inFlight + placing.openAttempts.size;
      if (process.state !== 'dead' && held > 0) {
        this.#fail('settles', `${name} holds ${held} requests or attempts`);
      }
    }
  }

  #fail(promise: Violation['promise'], detail: string): void {
    this.#violations.push({ promise, detail });
  }
}
