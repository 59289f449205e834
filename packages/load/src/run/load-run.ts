/** Runs a load plan against routers and checks every response. */
import { setTimeout as sleep } from 'node:timers/promises';

import { Random } from '@sesamegrade/core/random/random';
import { contentHash } from '@sesamegrade/stand-ins/engine/expected-response';
import type { CallResult } from '../callers/call-result';
import { ChatCaller, chatBody } from '../callers/chat-caller';
import { RouterPool } from '../callers/router-pool';
import { ServiceCaller } from '../callers/service-caller';
import { FleetObserver } from '../measures/fleet-observer';
import type { FleetObserverOptions } from '../measures/fleet-observer';
import { ChatPopulation } from '../plan/chat-population';
import { arrivals } from '../plan/load-plan';
import type { Arrival, LoadPlan } from '../plan/load-plan';
import { LoadResults } from './load-results';
import type { LoadSummary } from './summary';

const SAMPLE_PERIOD_MS = 500;
const DEFAULT_CALLER_TIMEOUT_MS = 30_000;

export interface LoadTarget extends FleetObserverOptions {
  /** Base URLs of the routers' caller interfaces. */
  readonly routers: readonly string[];
  /** Time after which a caller gives up; 30 s by default. */
  readonly callerTimeoutMs?: number;
}

/** Progress of a run. */
export interface LoadProgress {
  readonly elapsedMs: number;
  readonly requests: number;
  readonly ok: number;
  readonly refused: number;
  readonly inFlight: number;
}

export class LoadRun {
  readonly results = new LoadResults();
  readonly observer: FleetObserver;
  readonly #plan: LoadPlan;
  readonly #pool: RouterPool;
  readonly #chats: ChatPopulation;
  readonly #chatCaller: ChatCaller;
  readonly #serviceCaller: ServiceCaller;
  readonly #random: Random;
  readonly #inFlight = new Set<Promise<void>>();
  #startedAt = 0;
  #requestNumber = 0;

  constructor(plan: LoadPlan, target: LoadTarget) {
    const timeoutMs = target.callerTimeoutMs ?? DEFAULT_CALLER_TIMEOUT_MS;
    this.#plan = plan;
    this.#random = new Random(plan.seed + 2);
    this.#pool = new RouterPool(target.routers, new Random(plan.seed + 3));
    this.#chats = new ChatPopulation(plan);
    this.#chatCaller = new ChatCaller(this.#pool, timeoutMs);
    this.#serviceCaller = new ServiceCaller(this.#pool, timeoutMs);
    this.observer = new FleetObserver(target, this.#pool.agent);
  }

  get plan(): LoadPlan {
    return this.#plan;
  }

  progress(): LoadProgress {
    const { counts } = this.results;
    return {
      elapsedMs: this.#elapsed(),
      requests: counts.total('requests'),
      ok: counts.total('ok'),
      refused: counts.total('refusals'),
      inFlight: this.#inFlight.size,
    };
  }

  /** Sends all requests, waits for their results and compares them with the records of the endpoints. */
  async run(): Promise<LoadSummary> {
    this.#startedAt = performance.now();
    const sampling = this.#samplePeriodically();
    for (const arrival of arrivals(this.#plan)) {
      const waitMs = arrival.at - this.#elapsed();
      if (waitMs > 0) {
        await sleep(waitMs);
      }
      this.#start(arrival);
    }
    await Promise.all(this.#inFlight);
    await sampling;
    const records = await this.observer.records();
    await this.#pool.close();
    return this.results.summary(this.#plan, this.observer, records);
  }

  #elapsed(): number {
    return performance.now() - this.#startedAt;
  }

  async #samplePeriodically(): Promise<void> {
    const end = this.#plan.seconds * 1000;
    while (this.#elapsed() < end) {
      await this.observer.sample(this.#elapsed());
      await sleep(SAMPLE_PERIOD_MS);
    }
  }

  #start(arrival: Arrival): void {
    const task = this.#send(arrival).finally(() => {
      this.#inFlight.delete(task);
    });
    this.#inFlight.add(task);
  }

  async #send(arrival: Arrival): Promise<void> {
    this.#requestNumber += 1;
    const name = `load-${this.#plan.seed}-${this.#requestNumber}`;
    switch (arrival.kind) {
      case 'chat':
        await this.#sendChat(arrival, name);
        break;
      case 'order':
        await this.#sendOrder(arrival, name);
        break;
      case 'lookup':
        await this.#sendLookup(arrival, name);
        break;
    }
  }

  async #sendChat({ team }: Arrival, requestId: string): Promise<void> {
    const at = this.#elapsed();
    const chat = this.#chats.take(team, at);
    const messages = this.#chats.nextMessages(chat);
    const { maxTokens } = this.#plan;
    const call = { chat, messages, requestId, maxTokens };
    const isReturning = chat.turns > 0;
    const result = await this.#chatCaller.call(call);
    this.results.record(requestId, result, at, isReturning);
    const hash = contentHash(chatBody(call));
    this.results.audit.record({ kind: 'chat', contentHash: hash }, result);
    if (result.kind === 'ok') {
      this.#chats.onResponse(chat, messages, result.text, this.#elapsed());
    } else {
      this.#chats.onNoResponse(chat, this.#elapsed());
    }
  }

  async #sendOrder({ team }: Arrival, key: string): Promise<void> {
    const at = this.#elapsed();
    const isResent = this.#random.fraction() < this.#plan.resends;
    const results = await this.#serviceCaller.order({
      service: this.#random.pick(this.#plan.services),
      teamKey: team.key,
      key,
      sends: isResent ? 2 : 1,
    });
    this.#recordAll(key, results, at);
    this.results.audit.recordOrder(key, results);
  }

  async #sendLookup({ team }: Arrival, name: string): Promise<void> {
    const at = this.#elapsed();
    const path = `/lookups/${name}`;
    const result = await this.#serviceCaller.lookup({
      service: this.#random.pick(this.#plan.services),
      teamKey: team.key,
      path,
    });
    this.results.record(name, result, at);
    this.results.audit.record({ kind: 'lookup', path }, result);
  }

  #recordAll(name: string, results: readonly CallResult[], at: number): void {
    for (const result of results) {
      this.results.record(name, result, at);
    }
  }
}
