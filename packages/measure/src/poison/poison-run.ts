/** Simulates one seeded run of innocent traffic and of a caller that resends a poison request. */
import { topMember } from '@sesamegrade/core/hashing/rendezvous';
import { SuspectRegistry } from '@sesamegrade/core/poison/suspect-registry';
import { SuspectTopic } from '@sesamegrade/core/poison/suspect-topic';
import { Random } from '@sesamegrade/core/random/random';
import {
  attemptId,
  endpointId,
  fingerprint,
  routerId,
} from '@sesamegrade/core/types/ids';
import type { AttemptId, Fingerprint } from '@sesamegrade/core/types/ids';
import { bytes, instant } from '@sesamegrade/core/types/units';
import { EventQueue } from '../placement/event-queue';
import { CrashingEngine } from './crashing-engine';
import * as scenario from './scenario';
import type { PoisonScenario } from './scenario';

export interface PoisonResult {
  readonly enginesLost: number;
  /** Innocent requests that were running on an engine when it crashed. */
  readonly interrupted: number;
  /** Innocent requests that were refused or got no response in time. */
  readonly innocentFailed: number;
  /** Time until each false suspect was cleared at every router, in milliseconds. */
  readonly clearTimes: readonly number[];
  /** False suspects that were not cleared by the end. */
  readonly notCleared: number;
  readonly bytes: number;
}

interface PoisonRouter {
  readonly id: ReturnType<typeof routerId>;
  registry: SuspectRegistry;
  topic: SuspectTopic;
  isAlive: boolean;
}

interface PoisonCall {
  readonly id: Fingerprint;
  readonly isPoison: boolean;
  readonly router: PoisonRouter;
  readonly length: number;
  readonly sentAt: number;
  attempts: number;
  isAnswered: boolean;
}

interface PoisonAttempt {
  readonly call: PoisonCall;
  readonly engine: CrashingEngine;
}

const POISON_FINGERPRINT = fingerprint('poison');
/** Maximum attempts of a request with protection, and without. */
const MAX_ATTEMPTS = 4;
const MAX_UNPROTECTED_ATTEMPTS = 2;

export class PoisonRun {
  readonly #options: PoisonScenario;
  readonly #random: Random;
  readonly #events = new EventQueue();
  readonly #routers: PoisonRouter[] = [];
  readonly #engines: CrashingEngine[] = [];
  readonly #attempts = new Map<AttemptId, PoisonAttempt>();
  readonly #waitingCalls = new Set<PoisonCall>();
  readonly #falseSuspects = new Map<Fingerprint, number>();
  readonly #clearTimes: number[] = [];
  #now = 0;
  #lastId = 0;
  #poisonSends = 0;
  #enginesLost = 0;
  #interrupted = 0;
  #innocentFailed = 0;
  #bytes = 0;

  constructor(options: PoisonScenario) {
    this.#options = options;
    this.#random = new Random(options.seed);
  }

  run(): PoisonResult {
    this.#build();
    for (;;) {
      const event = this.#events.take();
      if (!event || event.at > scenario.DURATION_MS) {
        break;
      }
      this.#now = event.at;
      event.run();
    }
    return {
      enginesLost: this.#enginesLost,
      interrupted: this.#interrupted,
      innocentFailed: this.#innocentFailed,
      clearTimes: this.#clearTimes,
      notCleared: this.#falseSuspects.size,
      bytes: this.#bytes,
    };
  }

  #build(): void {
    for (let index = 0; index < scenario.ENGINE_COUNT; index += 1) {
      this.#engines.push(new CrashingEngine(endpointId(`engine-${index}`)));
    }
    for (let index = 0; index < scenario.ROUTER_COUNT; index += 1) {
      const id = routerId(`router-${index}`);
      const registry = new SuspectRegistry(id);
      const topic = new SuspectTopic(registry);
      this.#routers.push({ id, registry, topic, isAlive: true });
    }
    this.#updateMembership();
    for (const [index, router] of this.#routers.entries()) {
      const phase = index / scenario.ROUTER_COUNT;
      this.#every(
        scenario.GOSSIP_PERIOD_MS,
        phase * scenario.GOSSIP_PERIOD_MS,
        () => {
          this.#gossip(router);
        },
      );
    }
    this.#every(scenario.TICK_PERIOD_MS, scenario.TICK_PERIOD_MS, () => {
      this.#tick();
    });
    this.#scheduleInnocentCall();
    const copies = this.#options.callerBehaviour === 'copies' ? 3 : 1;
    for (let copy = 0; copy < copies; copy += 1) {
      this.#after(scenario.POISON_SENT_AT_MS + copy * 5, () => {
        this.#sendPoison();
      });
    }
  }

  #after(delay: number, run: () => void): void {
    this.#events.add(this.#now + delay, run);
  }

  #every(period: number, first: number, run: () => void): void {
    this.#after(first, () => {
      run();
      this.#every(period, period, run);
    });
  }

  #updateMembership(): void {
    const live = this.#routers.filter(({ isAlive }) => isAlive);
    const ids = live.map(({ id }) => id);
    for (const { registry } of live) {
      registry.onRoutersChanged(ids, instant(this.#now));
    }
  }

  #gossip(sender: PoisonRouter): void {
    if (this.#options.protection !== 'shared' || !sender.isAlive) {
      return;
    }
    for (const peer of this.#routers) {
      if (peer === sender || !peer.isAlive) {
        continue;
      }
      const now = instant(this.#now);
      const budget = bytes(scenario.GOSSIP_BUDGET_BYTES);
      const entries = sender.topic.take(peer.id, budget, now);
      if (entries.length === 0) {
        continue;
      }
      this.#bytes += JSON.stringify(entries).length;
      if (this.#random.fraction() >= scenario.GOSSIP_LOSS_FRACTION) {
        this.#after(scenario.GOSSIP_DELAY_MS, () => {
          peer.topic.receive(sender.id, entries, instant(this.#now));
        });
      }
    }
  }

  #scheduleInnocentCall(): void {
    const gap = this.#random.exponential(1 / scenario.ARRIVALS_PER_MS);
    this.#after(gap, () => {
      this.#lastId += 1;
      this.#send(fingerprint(`innocent-${this.#lastId}`));
      this.#scheduleInnocentCall();
    });
  }

  #send(id: Fingerprint): PoisonCall {
    const live = this.#routers.filter(({ isAlive }) => isAlive);
    const call: PoisonCall = {
      id,
      isPoison: id === POISON_FINGERPRINT,
      router: this.#random.pick(live),
      length: this.#random.exponential(scenario.MEAN_LENGTH_MS),
      sentAt: this.#now,
      attempts: 0,
      isAnswered: false,
    };
    this.#waitingCalls.add(call);
    this.#place(call);
    return call;
  }

  #sendPoison(): void {
    this.#poisonSends += 1;
    if (this.#poisonSends > scenario.MAX_POISON_SENDS) {
      return;
    }
    const call = this.#send(POISON_FINGERPRINT);
    if (this.#options.callerBehaviour === 'impatient') {
      this.#after(scenario.IMPATIENT_RESEND_MS, () => {
        if (!call.isAnswered) {
          this.#respond(call, false);
        }
      });
    }
  }

  /** Sends the response to the caller; the caller of a poison request then resends it. */
  #respond(call: PoisonCall, isComplete: boolean): void {
    this.#waitingCalls.delete(call);
    if (call.isAnswered) {
      return;
    }
    call.isAnswered = true;
    if (call.isPoison) {
      this.#after(this.#random.integer(0, 1000), () => {
        this.#sendPoison();
      });
    } else if (!isComplete) {
      this.#innocentFailed += 1;
    }
  }

  #tick(): void {
    const now = instant(this.#now);
    for (const { registry, isAlive } of this.#routers) {
      if (isAlive) {
        registry.tick(now);
      }
    }
    for (const call of this.#waitingCalls) {
      this.#place(call);
    }
    for (const [id, since] of this.#falseSuspects) {
      const isSuspect = this.#routers.some(
        ({ registry, isAlive }) => isAlive && registry.suspicion(id) !== 'none',
      );
      if (!isSuspect) {
        this.#falseSuspects.delete(id);
        this.#clearTimes.push(this.#now - since);
      }
    }
  }

  #place(call: PoisonCall): void {
    const { router, id } = call;
    const isUnprotected = this.#options.protection === 'none';
    const limit = isUnprotected ? MAX_UNPROTECTED_ATTEMPTS : MAX_ATTEMPTS;
    const isLate = this.#now - call.sentAt >= scenario.CALLER_TIMEOUT_MS;
    if (!router.isAlive || call.attempts >= limit || isLate) {
      this.#refuseWhenAllowed(call);
      return;
    }
    const usable = this.#engines
      .filter(engine => engine.hasFreeSlot)
      .sort((left, right) => left.running.size - right.running.size);
    const preferred = topMember(
      id,
      usable.map(engine => engine.id),
    );
    let chosen = usable.find(engine => engine.id === preferred);
    if (!isUnprotected) {
      const candidates = usable.map(engine => engine.id);
      const now = instant(this.#now);
      const decision = router.registry.decide(id, candidates, now);
      if (decision.kind === 'hold') {
        return;
      }
      if (decision.kind === 'refuse') {
        this.#refuseWhenAllowed(call);
        return;
      }
      if (decision.kind === 'run-isolated') {
        chosen = usable.find(engine => engine.id === decision.endpoint);
      }
    }
    if (chosen) {
      this.#start(call, chosen);
    }
  }

  #refuseWhenAllowed(call: PoisonCall): void {
    const { registry, isAlive } = call.router;
    if (!isAlive || registry.canRespond(call.id, instant(this.#now))) {
      this.#respond(call, false);
    }
  }

  #start(call: PoisonCall, engine: CrashingEngine): void {
    this.#waitingCalls.delete(call);
    this.#lastId += 1;
    call.attempts += 1;
    const attempt = attemptId(`attempt-${this.#lastId}`);
    engine.running.add(attempt);
    this.#attempts.set(attempt, { call, engine });
    const { registry } = call.router;
    registry.onAttemptStarted(attempt, call.id, engine.id, engine.incarnation);
    if (call.isPoison) {
      const { min, max } = scenario.CRASH_DELAY_MS;
      this.#after(this.#random.integer(min, max), () => {
        if (engine.running.has(attempt)) {
          this.#crash(engine);
        }
      });
      return;
    }
    this.#after(call.length, () => {
      if (engine.running.delete(attempt)) {
        this.#attempts.delete(attempt);
        registry.onAttemptEnded(attempt, 'finished', instant(this.#now));
        this.#respond(call, true);
      }
    });
  }

  #crash(engine: CrashingEngine): void {
    this.#enginesLost += 1;
    const crashedIncarnation = engine.incarnation;
    const lost = engine.crash();
    for (const attempt of lost) {
      this.#interrupt(attempt);
    }
    for (const router of this.#routers) {
      const isInvolved = lost.some(
        attempt => this.#attempts.get(attempt)?.call.router === router,
      );
      const delay = isInvolved
        ? 0
        : this.#random.integer(0, scenario.MAX_MEMBERSHIP_DELAY_MS);
      const report = () => {
        const now = instant(this.#now);
        router.registry.onEndpointCrash(engine.id, crashedIncarnation, now);
      };
      if (delay === 0) {
        report();
      } else {
        this.#after(delay, report);
      }
    }
    for (const attempt of lost) {
      this.#attempts.delete(attempt);
    }
    this.#after(scenario.RESTART_DELAY_MS, () => {
      engine.restart();
    });
  }

  #interrupt(attempt: AttemptId): void {
    const call = this.#attempts.get(attempt)?.call;
    if (!call) {
      return;
    }
    if (!call.isPoison) {
      this.#interrupted += 1;
      if (!this.#falseSuspects.has(call.id)) {
        this.#falseSuspects.set(call.id, this.#now);
      }
    } else if (
      this.#options.callerBehaviour === 'router-lost' &&
      this.#enginesLost === 1
    ) {
      this.#loseRouter(call.router);
    }
    this.#waitingCalls.add(call);
  }

  #loseRouter(router: PoisonRouter): void {
    router.isAlive = false;
    this.#after(scenario.MAX_MEMBERSHIP_DELAY_MS, () => {
      this.#updateMembership();
    });
  }
}
