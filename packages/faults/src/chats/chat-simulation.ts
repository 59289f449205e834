/**
 * Simulates one seeded history of chats with planned faults: two routers,
 * streaming engines, and callers that resume at another router when theirs is killed.
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
  /** Number of planned faults whose step was reached. */
  readonly injected: number;
  /** Requests that got their complete response. */
  readonly completeResponses: number;
}

/** One caller and what it has received. */
interface Caller {
  readonly request: Request;
  router: ChatRouter;
  received: number;
  source: StreamSource | undefined;
  isEnded: boolean;
  /** Whether its request was lost with its router before the first event. */
  isOrphaned: boolean;
}

const ROUTERS = 2;
const ENGINES = 4;
const REQUESTS = 3;
const REQUEST_TIMEOUT = seconds(20);
const PAUSE_DURATION = seconds(6);
const CRASH_DOWNTIME = seconds(1);
const RESTART_DELAY = seconds(1);
const HISTORY_END = instant(60_000);

export class ChatSimulation implements ChatEnvironment {
  readonly schedule = new Schedule();
  readonly random: Random;
  readonly #injector: FaultInjector<ChatStep>;
  readonly #violations: Violation[] = [];
  readonly #engines = new Map<EndpointId, ChatEngine>();
  readonly #routers: ChatRouter[] = [];
  readonly #callers = new Map<RequestId, Caller>();
  readonly #hiddenEndpoints = new Map<string, EndpointId>();
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
        this.#startRequest(requestId(`request-${index}`));
      });
    }
    this.schedule.runUntil(HISTORY_END);
    this.#checkSettled();
    const callers = [...this.#callers.values()];
    const complete = callers.filter(
      caller => caller.received === RESPONSE_EVENTS,
    );
    return {
      violations: this.#violations,
      injected: this.#injector.injectedCount,
      completeResponses: complete.length,
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
    const hidden = this.#hiddenEndpoints.get(router.name);
    return [...this.#engines.keys()].filter(id => id !== hidden);
  }

  deliver(request: RequestId, event: StreamEvent, source: StreamSource): void {
    const caller = this.#callers.get(request);
    if (!caller) {
      return;
    }
    if (event.request !== request) {
      this.#recordViolation(
        'own-answer',
        `${request} received an event of ${event.request}`,
      );
    }
    if (caller.isEnded || event.number !== caller.received + 1) {
      this.#recordViolation(
        'own-answer',
        `${request} received event ${event.number} after event ${caller.received}`,
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
    if (
      outcome === 'not_run' &&
      engines.some(engine => engine.hasRun(request))
    ) {
      this.#recordViolation(
        'true-outcome',
        `${request} was refused as not_run but it ran`,
      );
    }
    if (caller.isEnded) {
      this.#recordViolation('settles', `${request} was refused after its end`);
    }
    caller.isEnded = true;
  }

  #newRouter(): ChatRouter {
    this.#lastProcess += 1;
    return new ChatRouter(`router-${this.#lastProcess}`, this);
  }

  #startRequest(id: RequestId): void {
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
      deadline: addTime(now, REQUEST_TIMEOUT),
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
        this.schedule.after(PAUSE_DURATION, () => {
          router.process.resume();
        });
        return;
      case 'engine-crash':
      case 'poison-request':
        this.random.pick([...this.#engines.values()]).crash(CRASH_DOWNTIME);
        return;
      case 'flapping-endpoint':
      case 'stale-list':
        this.#flap();
        return;
      case 'split-views':
        this.#hiddenEndpoints.set(
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

  /**
   * Kills a router. Its callers resume at another one if they have received an
   * event.
   */
  #kill(router: ChatRouter): void {
    router.process.kill();
    const index = this.#routers.indexOf(router);
    if (index < 0) {
      return;
    }
    this.schedule.after(RESTART_DELAY, () => {
      this.#routers[index] = this.#newRouter();
      for (const caller of this.#callers.values()) {
        if (caller.router === router && !caller.isEnded) {
          this.#resumeElsewhere(caller);
        }
      }
    });
  }

  #resumeElsewhere(caller: Caller): void {
    if (!caller.source) {
      caller.isOrphaned = true;
      return;
    }
    const { request, source, received } = caller;
    caller.router = this.random.pick(this.#routers);
    const deadline = addTime(this.schedule.now, REQUEST_TIMEOUT);
    caller.router.reattach({ ...request, deadline }, source, received);
  }

  /**
   * Makes one engine that stays listed refuse requests and accept them again,
   * in turns.
   */
  #flap(): void {
    const engine = this.random.pick([...this.#engines.values()]);
    for (let round = 0; round < 6; round += 1) {
      this.schedule.after(milliseconds(round * 200), () => {
        engine.isLeaving = round % 2 === 0;
      });
    }
  }

  /**
   * Checks that every caller got an end and that no live router has open
   * requests or attempts.
   */
  #checkSettled(): void {
    for (const [id, caller] of this.#callers) {
      if (!caller.isEnded && !caller.isOrphaned) {
        this.#recordViolation(
          'settles',
          `${id} received ${caller.received} events and no end`,
        );
      }
    }
    for (const { name, flow, placement, process } of this.#routers) {
      const openCount = flow.inFlight + placement.openAttempts.size;
      if (process.state !== 'dead' && openCount > 0) {
        this.#recordViolation(
          'settles',
          `${name} still has ${openCount} open requests or attempts`,
        );
      }
    }
  }

  #recordViolation(promise: Violation['promise'], detail: string): void {
    this.#violations.push({ promise, detail });
  }
}
