/**
 * Simulates a fleet of routers before endpoints that crash under some content and are
 * back after a while. Routers exchange their suspects through two relays; callers send
 * the same content again at any router.
 */
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
  /** Milliseconds in which a run sends two events; it sends none before its end by default. */
  readonly progressTime?: number;
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
  /** Crashes of crashing content that are allowed before the propagation time begins. */
  readonly allowedCrashes: number;
  /** Mean milliseconds between crashes of endpoints for other reasons; none by default. */
  readonly otherCrashInterval?: number;
  /** Endpoints that end at this time although nothing they run crashes them. */
  readonly lossOfAllAt?: number;
  /** Milliseconds after which every router must know of a crash. */
  readonly propagationTime: number;
}

export interface KindReport {
  sent: number;
  served: number;
  refused: number;
  failed: number;
  /** Sent later than twice the propagation time after the last allowed crash so far. */
  laterSent: number;
  laterServed: number;
}

export interface CrashStormReport {
  /** Crashes by content, not those for other reasons. */
  crashes: number;
  /** Arrivals of crashing content later than the propagation time after its last allowed crash. */
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
  incarnation: number;
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
  readonly startedAt: number;
}

/** Time from a crash to the routers' proof of it. */
const PROOF_TIME = 25;
/** Batching delay of a router and its relays plus the way. */
const HOP_TIME = 30;
const RELAYS = 2;
const MAX_RUNS = 2;
const WARM_UP_NUMBERS = 8;
/** Time at the end in which no request is sent, so that all others end. */
const LAST_RUNS_TIME = 6000;
const SECOND = 1000;

export class CrashStorm {
  readonly #options: CrashStormOptions;
  readonly #queue = new EventQueue();
  readonly #random: Random;
  readonly #routers: readonly SimulatedRouter[];
  readonly #endpoints: readonly SimulatedEndpoint[];
  readonly #report: CrashStormReport;
  #now = 0;
  readonly #crashesByKind = new Map<RequestKind, number>();
  /** Time of the last allowed crash of each kind. */
  readonly #boundStarts = new Map<RequestKind, number>();
  /** Time of the last crash that is within the allowed number of its kind. */
  #allowedCrashAt: number | undefined;

  constructor(options: CrashStormOptions) {
    this.#options = options;
    // The first numbers of small seeds are alike.
    const seeds = new Random(options.seed);
    Array.from({ length: WARM_UP_NUMBERS }, () => seeds.seed());
    this.#random = new Random(seeds.seed());
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
        incarnation: 1,
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
        this.#allowedCrashAt = this.#now;
        this.#endpoints.forEach(endpoint => {
          this.#crash(endpoint);
        });
      });
    }
    this.#scheduleOtherCrash();
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

  #scheduleOtherCrash(): void {
    const { otherCrashInterval } = this.#options;
    if (otherCrashInterval === undefined) {
      return;
    }
    const interval = this.#random.exponential(otherCrashInterval);
    this.#queue.add(this.#now + interval, () => {
      this.#crash(this.#random.pick(this.#endpoints));
      this.#scheduleOtherCrash();
    });
  }

  #scheduleRequest(kind: RequestKind, number: number): void {
    const interval = this.#random.exponential(SECOND / kind.perSecond);
    this.#queue.add(this.#now + interval, () => {
      if (this.#now < this.#options.length - LAST_RUNS_TIME) {
        this.#scheduleRequest(kind, number + 1);
        this.#arrive(kind, number);
      }
    });
  }

  #arrive(kind: RequestKind, number: number): void {
    const report = this.#report.kinds.get(kind.name);
    if (!report) {
      return;
    }
    const isLater =
      this.#allowedCrashAt !== undefined &&
      this.#now - this.#allowedCrashAt > 2 * this.#options.propagationTime;
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
    const decision = router.suspects.decideAll(contents, instant(this.#now));
    if (decision.kind === 'refuse') {
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
    if (decision.kind === 'trial') {
      router.suspects.onTrialSent(contents, instant(this.#now));
    }
    const endpoint = this.#random.pick(open);
    const run: Run = { request, isOver: false, startedAt: this.#now };
    tried.add(endpoint);
    request.runs += 1;
    endpoint.running.add(run);
    const boundStart = this.#boundStarts.get(kind);
    if (
      boundStart !== undefined &&
      this.#now - boundStart > this.#options.propagationTime
    ) {
      this.#report.lateArrivals += 1;
    }
    this.#queue.add(this.#now + kind.runTime, () => {
      if (!run.isOver) {
        this.#onRunEnd(endpoint, run);
      }
    });
    this.#awaitProgress(run);
  }

  /** Records each event of a run. */
  #awaitProgress(run: Run): void {
    const { progressTime } = run.request.kind;
    if (progressTime === undefined) {
      return;
    }
    this.#queue.add(this.#now + progressTime / 2, () => {
      if (!run.isOver) {
        const { contents, router } = run.request;
        const now = instant(this.#now);
        router.suspects.recordProgress(contents, this.#eventsOf(run), now);
        this.#awaitProgress(run);
      }
    });
  }

  #eventsOf({ request, startedAt }: Run): number {
    const { progressTime } = request.kind;
    return progressTime === undefined
      ? 0
      : Math.floor((2 * (this.#now - startedAt)) / progressTime);
  }

  #onRunEnd(endpoint: SimulatedEndpoint, run: Run): void {
    const { kind, report, isLater } = run.request;
    if (kind.crashesEndpoints) {
      this.#crash(endpoint, kind);
      return;
    }
    run.isOver = true;
    endpoint.running.delete(run);
    report.served += 1;
    report.laterServed += isLater ? 1 : 0;
    const { contents, router } = run.request;
    router.suspects.clearAll(contents, instant(this.#now));
  }

  #crash(endpoint: SimulatedEndpoint, cause?: RequestKind): void {
    if (!endpoint.isUp) {
      return;
    }
    const interrupted = [...endpoint.running];
    if (cause) {
      this.#countCrash(cause);
    }
    const id = endpointId(endpoint.name);
    const crash = crashIdOf(id, incarnation(endpoint.incarnation));
    endpoint.isUp = false;
    endpoint.running = new Set();
    this.#queue.add(this.#now + this.#options.downTime, () => {
      endpoint.incarnation += 1;
      endpoint.isUp = true;
    });
    for (const run of interrupted) {
      run.isOver = true;
      const { contents, router } = run.request;
      const events = this.#eventsOf(run);
      router.broken.add(id, crash, contents, instant(this.#now), events);
    }
    this.#queue.add(this.#now + PROOF_TIME, () => {
      for (const router of this.#routers) {
        const found = router.broken.take(id, instant(this.#now));
        for (const content of found?.ids ?? []) {
          router.suspects.recordCrash(
            content,
            crash,
            instant(this.#now),
            found?.reaches.get(content),
          );
        }
      }
    });
    for (const { request } of interrupted) {
      this.#retry(request);
    }
  }

  #countCrash(kind: RequestKind): void {
    const { allowedCrashes } = this.#options;
    const count = (this.#crashesByKind.get(kind) ?? 0) + 1;
    this.#crashesByKind.set(kind, count);
    this.#report.crashes += 1;
    if (count <= allowedCrashes) {
      this.#allowedCrashAt = this.#now;
    }
    if (count === allowedCrashes) {
      this.#boundStarts.set(kind, this.#now);
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
      const rows = router.suspects.takeChanges(instant(this.#now));
      const trials = router.suspects.takeTrials(instant(this.#now));
      const reaches = router.suspects.takeReaches();
      const index = this.#routers.indexOf(router);
      const isRelay = index < RELAYS;
      if (isRelay && this.#isDead(index)) {
        return;
      }
      const receivers = isRelay
        ? this.#routers.filter(other => other !== router)
        : this.#routers.slice(0, RELAYS);
      for (const receiver of receivers) {
        this.#receive(receiver, rows, trials, reaches);
      }
    });
  }

  #receive(
    router: SimulatedRouter,
    rows: readonly unknown[],
    trials: readonly unknown[],
    reaches: readonly unknown[],
  ): void {
    const index = this.#routers.indexOf(router);
    if (index < RELAYS && this.#isDead(index)) {
      return;
    }
    const second = Math.floor(this.#now / SECOND);
    const bytes = JSON.stringify([rows, trials, reaches]).length;
    router.bytesBySecond.set(
      second,
      (router.bytesBySecond.get(second) ?? 0) + bytes,
    );
    router.suspects.receive(rows, index < RELAYS, instant(this.#now));
    router.suspects.receiveTrials(trials, index < RELAYS, instant(this.#now));
    router.suspects.receiveReaches(reaches, index < RELAYS);
    if (router.suspects.hasChanges) {
      this.#flushSoon(router);
    }
  }

  #isDead(relay: number): boolean {
    const { relayDiesAt } = this.#options;
    return relay === 0 && relayDiesAt !== undefined && this.#now >= relayDiesAt;
  }
}
