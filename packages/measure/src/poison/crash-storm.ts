/**
 * Simulates a fleet of routers before endpoints that crash under some content and are
 * back after a while. Routers exchange their suspects through two relays; callers send
 * the same content again at any router.
 */
import { attemptEvidence } from '@sesamegrade/core/poison/attempt-evidence';
import { BrokenAttempts } from '@sesamegrade/core/poison/broken-attempts';
import { RelayedSuspects } from '@sesamegrade/core/poison/relayed-suspects';
import { crashIdOf } from '@sesamegrade/core/poison/suspect';
import { Random } from '@sesamegrade/core/random/random';
import { endpointId, incarnation, routerId } from '@sesamegrade/core/types/ids';
import type { Fingerprint, RouterId } from '@sesamegrade/core/types/ids';
import { instant } from '@sesamegrade/core/types/units';
import { EventQueue } from '../placement/event-queue';

/** Requests of one kind, sent at exponentially distributed intervals. */
export interface RequestKind {
  readonly name: string;
  readonly perSecond: number;
  /** Content of the request with this number. */
  readonly contents: (number: number) => readonly Fingerprint[];
  /** Milliseconds from its arrival at an endpoint to the end of its run, or to the crash. */
  readonly runTime: number;
  readonly crashesEndpoints: boolean;
  readonly repeatable: boolean;
}

export interface CrashStormOptions {
  readonly seed: number;
  readonly routers: number;
  readonly endpoints: number;
  readonly kinds: readonly RequestKind[];
  /** Milliseconds of simulated time. */
  readonly length: number;
  /** Milliseconds from a crash to the endpoint's next start. */
  readonly downTime: number;
  /** When the first relay dies; undefined if it does not. */
  readonly relayDiesAt?: number;
  /** Endpoints that end at this time although nothing they run crashes them. */
  readonly lossOfAllAt?: number;
  /** Time after which every router must know of a crash. */
  readonly contactTime: number;
}

export interface KindReport {
  sent: number;
  served: number;
  refused: number;
  failed: number;
  /** Sent later than twice the contact time after the third crash. */
  laterSent: number;
  laterServed: number;
}

export interface CrashStormReport {
  crashes: number;
  /** Arrivals of crashing content later than the contact time after its third crash. */
  lateArrivals: number;
  /** Most bytes of suspects' rows that one router received in a second. */
  maxBytesPerSecond: number;
  readonly kinds: Map<string, KindReport>;
}

interface SimulatedRouter {
  readonly id: RouterId;
  readonly suspects: RelayedSuspects;
  readonly broken: BrokenAttempts;
  isFlushPending: boolean;
  readonly bytesBySecond: Map<number, number>;
}

interface SimulatedEndpoint {
  readonly name: string;
  boot: number;
  isUp: boolean;
  running: Set<Run>;
}

interface Request {
  readonly kind: RequestKind;
  readonly report: KindReport;
  readonly contents: readonly Fingerprint[];
  readonly router: SimulatedRouter;
  readonly tried: Set<SimulatedEndpoint>;
  readonly isLater: boolean;
  runs: number;
}

interface Run {
  readonly request: Request;
  isOver: boolean;
}

/** Time from a crash to the routers' proof of it. */
const PROOF_TIME = 25;
/** Batching delay of a router and its relays plus the way. */
const HOP_TIME = 30;
const RELAYS = 2;
const MAX_RUNS = 2;
const SECOND = 1000;
const CRASHES_ALLOWED = 3;

export class CrashStorm {
  readonly #options: CrashStormOptions;
  readonly #queue = new EventQueue();
  readonly #random: Random;
  readonly #routers: readonly SimulatedRouter[];
  readonly #endpoints: readonly SimulatedEndpoint[];
  readonly #report: CrashStormReport;
  #now = 0;
  #thirdCrashAt: number | undefined;

  constructor(options: CrashStormOptions) {
    this.#options = options;
    this.#random = new Random(options.seed);
    const ids = Array.from({ length: options.routers }, (_value, index) =>
      routerId(`router-${index}`),
    );
    this.#routers = ids.map(id => {
      const suspects = new RelayedSuspects({ self: id, routers: () => ids });
      return {
        id,
        suspects,
        broken: new BrokenAttempts(),
        isFlushPending: false,
        bytesBySecond: new Map<number, number>(),
      };
    });
    for (const router of this.#routers) {
      router.suspects.onChanged(() => {
        this.#flushSoon(router);
      });
    }
    this.#endpoints = Array.from(
      { length: options.endpoints },
      (_value, index) => ({
        name: `endpoint-${index}`,
        boot: 1,
        isUp: true,
        running: new Set<Run>(),
      }),
    );
    this.#report = {
      crashes: 0,
      lateArrivals: 0,
      maxBytesPerSecond: 0,
      kinds: new Map(
        options.kinds.map(({ name }) => [
          name,
          {
            sent: 0,
            served: 0,
            refused: 0,
            failed: 0,
            laterSent: 0,
            laterServed: 0,
          },
        ]),
      ),
    };
  }

  run(): CrashStormReport {
    const { kinds, length, lossOfAllAt } = this.#options;
    for (const kind of kinds) {
      this.#scheduleRequest(kind, 0);
    }
    if (lossOfAllAt !== undefined) {
      this.#queue.add(lossOfAllAt, () => {
        this.#endpoints.forEach(endpoint => {
          this.#crash(endpoint);
        });
      });
    }
    for (;;) {
      const event = this.#queue.take();
      if (!event || event.at > length) {
        break;
      }
      this.#now = event.at;
      event.run();
    }
    const bytes = this.#routers.flatMap(({ bytesBySecond }) => [
      ...bytesBySecond.values(),
    ]);
    this.#report.maxBytesPerSecond = Math.max(0, ...bytes);
    return this.#report;
  }

  #scheduleRequest(kind: RequestKind, number: number): void {
    const interval = this.#random.exponential(SECOND / kind.perSecond);
    this.#queue.add(this.#now + interval, () => {
      this.#scheduleRequest(kind, number + 1);
      this.#arrive(kind, number);
    });
  }

  #arrive(kind: RequestKind, number: number): void {
    const report = this.#report.kinds.get(kind.name);
    if (!report) {
      return;
    }
    const isLater =
      this.#thirdCrashAt !== undefined &&
      this.#now - this.#thirdCrashAt > 2 * this.#options.contactTime;
    report.sent += 1;
    report.laterSent += isLater ? 1 : 0;
    this.#attempt({
      kind,
      report,
      contents: kind.contents(number),
      router: this.#random.pick(
        this.#routers.filter((_router, index) => !this.#isDead(index)),
      ),
      tried: new Set(),
      isLater,
      runs: 0,
    });
  }

  #attempt(request: Request): void {
    const { router, contents, kind, report, tried } = request;
    const decisions = contents.map(id => ({
      id,
      decision: router.suspects.decide(id, instant(this.#now)),
    }));
    if (decisions.some(({ decision }) => decision.kind === 'refuse')) {
      report.refused += 1;
      return;
    }
    const open = this.#endpoints.filter(
      endpoint => endpoint.isUp && !tried.has(endpoint),
    );
    if (open.length === 0) {
      report.failed += 1;
      return;
    }
    for (const { id, decision } of decisions) {
      if (decision.kind === 'trial') {
        router.suspects.onTrialSent([id], instant(this.#now));
      }
    }
    const endpoint = this.#random.pick(open);
    const run: Run = { request, isOver: false };
    tried.add(endpoint);
    request.runs += 1;
    endpoint.running.add(run);
    if (
      kind.crashesEndpoints &&
      this.#thirdCrashAt !== undefined &&
      this.#now - this.#thirdCrashAt > this.#options.contactTime
    ) {
      this.#report.lateArrivals += 1;
    }
    this.#queue.add(this.#now + kind.runTime, () => {
      if (!run.isOver) {
        this.#onRunEnd(endpoint, run);
      }
    });
  }

  #onRunEnd(endpoint: SimulatedEndpoint, run: Run): void {
    const { kind, report, isLater, contents, router } = run.request;
    if (kind.crashesEndpoints) {
      this.#crash(endpoint);
      return;
    }
    run.isOver = true;
    endpoint.running.delete(run);
    report.served += 1;
    report.laterServed += isLater ? 1 : 0;
    const evidence = attemptEvidence({
      result: { kind: 'delivered', status: 200 },
      events: 0,
      isFramed: true,
    });
    if (evidence === 'sound') {
      for (const id of contents) {
        router.suspects.clear(id, instant(this.#now));
      }
    }
  }

  #crash(endpoint: SimulatedEndpoint): void {
    if (!endpoint.isUp) {
      return;
    }
    const interrupted = [...endpoint.running];
    this.#report.crashes += 1;
    if (this.#report.crashes === CRASHES_ALLOWED) {
      this.#thirdCrashAt = this.#now;
    }
    const id = endpointId(endpoint.name);
    const crash = crashIdOf(id, incarnation(endpoint.boot));
    endpoint.isUp = false;
    endpoint.running = new Set();
    this.#queue.add(this.#now + this.#options.downTime, () => {
      endpoint.boot += 1;
      endpoint.isUp = true;
    });
    for (const run of interrupted) {
      run.isOver = true;
      const { contents, router } = run.request;
      router.broken.add(id, crash, contents, instant(this.#now));
    }
    this.#queue.add(this.#now + PROOF_TIME, () => {
      for (const router of this.#routers) {
        const found = router.broken.take(id, instant(this.#now));
        for (const content of found?.ids ?? []) {
          router.suspects.recordCrash(content, crash, instant(this.#now));
        }
      }
    });
    for (const { request } of interrupted) {
      this.#retry(request);
    }
  }

  /** The second break awaits the proof; the first one is retried at once. */
  #retry(request: Request): void {
    if (!request.kind.repeatable || request.runs >= MAX_RUNS) {
      request.report.failed += 1;
      return;
    }
    this.#attempt(request);
  }

  #flushSoon(router: SimulatedRouter): void {
    if (router.isFlushPending) {
      return;
    }
    router.isFlushPending = true;
    this.#queue.add(this.#now + HOP_TIME, () => {
      router.isFlushPending = false;
      const entries = router.suspects.takeChanges(instant(this.#now));
      const index = this.#routers.indexOf(router);
      const isRelay = index < RELAYS;
      if (isRelay && this.#isDead(index)) {
        return;
      }
      const receivers = isRelay
        ? this.#routers.filter(other => other !== router)
        : this.#routers.slice(0, RELAYS);
      for (const receiver of receivers) {
        this.#receive(receiver, entries);
      }
    });
  }

  #receive(router: SimulatedRouter, entries: readonly unknown[]): void {
    const index = this.#routers.indexOf(router);
    if (index < RELAYS && this.#isDead(index)) {
      return;
    }
    const second = Math.floor(this.#now / SECOND);
    const bytes = JSON.stringify(entries).length;
    router.bytesBySecond.set(
      second,
      (router.bytesBySecond.get(second) ?? 0) + bytes,
    );
    router.suspects.receive(entries, index < RELAYS, instant(this.#now));
    if (router.suspects.hasChanges) {
      this.#flushSoon(router);
    }
  }

  #isDead(relay: number): boolean {
    const { relayDiesAt } = this.#options;
    return relay === 0 && relayDiesAt !== undefined && this.#now >= relayDiesAt;
  }
}
