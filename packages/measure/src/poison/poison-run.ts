/** One seeded run: innocent traffic, a poison request and a caller that comes back. */
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
  /** Innocent requests that were running in a crash. */
  readonly interrupted: number;
  /** Innocent requests that were refused or got no answer in time. */
  readonly innocentFailed: number;
  /** Time in ms until each false suspect was cleared at every router. */
  readonly clearTimes: readonly number[];
  /** False suspects that were not cleared by the end. */
  readonly notCleared: number;
  readonly bytes: number;
}

interface Router {
  readonly id: ReturnType<typeof routerId>;
  registry: SuspectRegistry;
  topic: SuspectTopic;
  alive: boolean;
}

interface Call {
  readonly id: Fingerprint;
  readonly poison: boolean;
  readonly router: Router;
  readonly length: number;
  readonly sentAt: number;
  attempts: number;
  answered: boolean;
}

interface Attempt {
  readonly call: Call;
  readonly engine: CrashingEngine;
}

const poisonId = fingerprint('poison');
/** Attempts of one innocent request, and of the poison without protection. */
const maxAttempts = 4;
const maxUnprotectedAttempts = 2;

export class PoisonRun {
  readonly #options: PoisonScenario;
  readonly #random: Random;
  readonly #events = new EventQueue();
  readonly #routers: Router[] = [];
  readonly #engines: CrashingEngine[] = [];
  readonly #attempts = new Map<AttemptId, Attempt>();
  readonly #waiting = new Set<Call>();
  readonly #falseSuspects = new Map<Fingerprint, number>();
  readonly #clearTimes: number[] = [];
  #now = 0;
  #count = 0;
  #sends = 0;
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
      this.#routers.push({ id, registry, topic, alive: true });
    }
    this.#membershipChanged();
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
    this.#scheduleInnocent();
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

  #membershipChanged(): void {
    const live = this.#routers.filter(({ alive }) => alive);
    const ids = live.map(({ id }) => id);
    for (const { registry } of live) {
      registry.onRoutersChanged(ids, instant(this.#now));
    }
  }

  #gossip(sender: Router): void {
    if (this.#options.protection !== 'shared' || !sender.alive) {
      return;
    }
    for (const peer of this.#routers) {
      if (peer === sender || !peer.alive) {
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

  #scheduleInnocent(): void {
    const gap = this.#random.exponential(1 / scenario.ARRIVALS_PER_MS);
    this.#after(gap, () => {
      this.#count += 1;
      this.#send(fingerprint(`innocent-${this.#count}`));
      this.#scheduleInnocent();
    });
  }

  #send(id: Fingerprint): Call {
    const live = this.#routers.filter(({ alive }) => alive);
    const call: Call = {
      id,
      poison: id === poisonId,
      router: this.#random.pick(live),
      length: this.#random.exponential(scenario.MEAN_LENGTH_MS),
      sentAt: this.#now,
      attempts: 0,
      answered: false,
    };
    this.#waiting.add(call);
    this.#place(call);
    return call;
  }

  #sendPoison(): void {
    this.#sends += 1;
    if (this.#sends > scenario.MAX_POISON_SENDS) {
      return;
    }
    const call = this.#send(poisonId);
    if (this.#options.callerBehaviour === 'impatient') {
      this.#after(scenario.IMPATIENT_RESEND_MS, () => {
        if (!call.answered) {
          this.#answer(call, false);
        }
      });
    }
  }

  /** Tells the caller; a caller of the poison request comes back. */
  #answer(call: Call, whole: boolean): void {
    this.#waiting.delete(call);
    if (call.answered) {
      return;
    }
    call.answered = true;
    if (call.poison) {
      this.#after(this.#random.integer(0, 1000), () => {
        this.#sendPoison();
      });
    } else if (!whole) {
      this.#innocentFailed += 1;
    }
  }

  #tick(): void {
    const now = instant(this.#now);
    for (const { registry, alive } of this.#routers) {
      if (alive) {
        registry.tick(now);
      }
    }
    for (const call of this.#waiting) {
      this.#place(call);
    }
    for (const [id, since] of this.#falseSuspects) {
      const suspected = this.#routers.some(
        ({ registry, alive }) => alive && registry.suspicion(id) !== 'none',
      );
      if (!suspected) {
        this.#falseSuspects.delete(id);
        this.#clearTimes.push(this.#now - since);
      }
    }
  }

  #place(call: Call): void {
    const { router, id } = call;
    const unprotected = this.#options.protection === 'none';
    const limit = unprotected ? maxUnprotectedAttempts : maxAttempts;
    const late = this.#now - call.sentAt >= scenario.CALLER_TIMEOUT_MS;
    if (!router.alive || call.attempts >= limit || late) {
      this.#answerWhenKnown(call);
      return;
    }
    const usable = this.#engines
      .filter(engine => engine.hasFreeSlot)
      .sort((left, right) => left.running.size - right.running.size);
    const hashed = topMember(
      id,
      usable.map(engine => engine.id),
    );
    let chosen = usable.find(engine => engine.id === hashed);
    if (!unprotected) {
      const candidates = usable.map(engine => engine.id);
      const now = instant(this.#now);
      const decision = router.registry.decide(id, candidates, now);
      if (decision.kind === 'hold') {
        return;
      }
      if (decision.kind === 'refuse') {
        this.#answerWhenKnown(call);
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

  #answerWhenKnown(call: Call): void {
    const { registry, alive } = call.router;
    if (!alive || registry.canRespond(call.id, instant(this.#now))) {
      this.#answer(call, false);
    }
  }

  #start(call: Call, engine: CrashingEngine): void {
    this.#waiting.delete(call);
    this.#count += 1;
    call.attempts += 1;
    const attempt = attemptId(`attempt-${this.#count}`);
    engine.running.add(attempt);
    this.#attempts.set(attempt, { call, engine });
    const { registry } = call.router;
    registry.onAttemptStarted(attempt, call.id, engine.id, engine.incarnation);
    if (call.poison) {
      const { least, most } = scenario.CRASH_DELAY_MS;
      this.#after(this.#random.integer(least, most), () => {
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
        this.#answer(call, true);
      }
    });
  }

  #crash(engine: CrashingEngine): void {
    this.#enginesLost += 1;
    const which = engine.incarnation;
    const lost = engine.crash();
    for (const attempt of lost) {
      this.#interrupt(attempt);
    }
    for (const router of this.#routers) {
      const involved = lost.some(
        attempt => this.#attempts.get(attempt)?.call.router === router,
      );
      const delay = involved
        ? 0
        : this.#random.integer(0, scenario.MAX_MEMBERSHIP_DELAY_MS);
      const tell = () => {
        const now = instant(this.#now);
        router.registry.onEndpointCrash(engine.id, which, now);
      };
      if (delay === 0) {
        tell();
      } else {
        this.#after(delay, tell);
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
    if (!call.poison) {
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
    this.#waiting.add(call);
  }

  #loseRouter(router: Router): void {
    router.alive = false;
    this.#after(scenario.MAX_MEMBERSHIP_DELAY_MS, () => {
      this.#membershipChanged();
    });
  }
}
