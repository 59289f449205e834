/** Finds requests that a router passed on and did not answer, or refused although they ran, above all at its stop. */
import type { ProcessEvent } from '../deployment/router-process';
import { NOT_RUN_STATUSES } from './soak-invariant-checker';
import type { SoakViolation } from './soak-invariant-checker';

/**
 * What a caller got: a status with its whole response, a visible break of a response that had
 * started, nothing before the connection ended, or nothing before it left.
 */
export type CallEnding = number | 'broke-off' | 'cut' | 'left';

export interface StopCall {
  readonly request: string;
  readonly router: string;
  readonly path: string;
  readonly isStream: boolean;
  /** Milliseconds since the start of the soak. */
  readonly from: number;
  /** When its last byte was sent; undefined if no connection came about. */
  readonly sentAt?: number;
  readonly to: number;
  /** When the time that the caller stated is over. */
  readonly expiresAt: number;
  /** When the time of the route is over, if it has one. */
  readonly routeEndsAt?: number;
  /** Until when the caller read nothing, if it read late. */
  readonly pausedUntil?: number;
  readonly ending: CallEnding;
  /** Status of the response, also if it was not whole. */
  readonly status?: number;
}

interface RouterEvent {
  readonly router: string;
  readonly event: ProcessEvent;
  readonly at: number;
}

interface EndpointEvent {
  readonly endpoint: string;
  readonly at: number;
}

interface EndpointRun extends EndpointEvent {
  /** When the endpoint is to send the end of its response, unless it falls silent. */
  readonly endsAt: number;
}

interface EndpointSilence {
  readonly endpoint: string;
  readonly from: number;
  readonly to: number;
}

interface Pause {
  readonly from: number;
  readonly to: number;
}

export interface PlannedStopRecordOptions {
  /** Time from SIGTERM to SIGKILL. */
  readonly graceMs: number;
  /** Whether the router reaches the endpoint only through others, whose stops break its connections. */
  readonly isDetoured: (router: string, endpoint: string) => boolean;
}

/** Share of the grace period at whose end an endpoint may still be at work on what is cut. */
const LAST_SHARE = 1 / 6;
/** Time from the signal within which a request was sent that may be cut for that. */
const EARLY_MS = 3000;
/** Time after the last byte of a request within which its connection may end if it was not passed on. */
const UNANSWERED_MS = 200;
/** Time in which a router that is about to exit writes its last responses. */
const EXIT_MS = 800;
/** Time for the end of a response on its way through a router. */
const PASSING_MS = 300;

/** Time in which the ends of two connections of one request may be seen in either order. */
const SIMULTANEOUS_MS = 50;

export class PlannedStopRecord {
  readonly #calls: StopCall[] = [];
  readonly #events: RouterEvent[] = [];
  readonly #options: PlannedStopRecordOptions;
  readonly #runs = new Map<string, EndpointRun[]>();
  readonly #breaks = new Map<string, EndpointEvent[]>();
  readonly #abandoned = new Map<string, EndpointEvent[]>();
  readonly #ends = new Map<string, EndpointEvent[]>();
  readonly #long = new Set<string>();
  readonly #pauses: Pause[] = [];
  readonly #silences: EndpointSilence[] = [];

  constructor(options: PlannedStopRecordOptions) {
    this.#options = options;
  }

  recordCall(call: StopCall): void {
    this.#calls.push(call);
  }

  recordEvent(router: string, event: ProcessEvent, at: number): void {
    this.#events.push({ router, event, at });
  }

  recordRun(
    request: string,
    endpoint: string,
    at: number,
    endsAt = Infinity,
  ): void {
    const runs = this.#runs.get(request) ?? [];
    this.#runs.set(request, [...runs, { endpoint, at, endsAt }]);
  }

  /** Records that an endpoint sent nothing for a while. */
  recordSilence(silence: EndpointSilence): void {
    this.#silences.push(silence);
  }

  /** Records that an endpoint broke off a request before its response was whole. */
  recordBreak(request: string, endpoint: string, at: number): void {
    const breaks = this.#breaks.get(request) ?? [];
    this.#breaks.set(request, [...breaks, { endpoint, at }]);
  }

  /** Records that a router closed the connection of a request before its response was whole. */
  recordAbandoned(request: string, endpoint: string, at: number): void {
    const abandoned = this.#abandoned.get(request) ?? [];
    this.#abandoned.set(request, [...abandoned, { endpoint, at }]);
  }

  /** Records that an endpoint really sent the end of its response. */
  recordEnd(request: string, endpoint: string, at: number): void {
    const ends = this.#ends.get(request) ?? [];
    this.#ends.set(request, [...ends, { endpoint, at }]);
  }

  /** Records a time in which the soak itself did not run, and saw nothing end. */
  recordPause(from: number, to: number): void {
    this.#pauses.push({ from, to });
  }

  /** Records that a response is longer than what a connection holds that nobody reads. */
  recordLong(request: string): void {
    this.#long.add(request);
  }

  /** Number of calls at routers that were stopping, by what the callers got. */
  counts(): Record<string, number> {
    const counts: Record<string, number> = {};
    for (const call of this.#calls.filter(each => this.#stopDuring(each))) {
      counts[call.ending] = (counts[call.ending] ?? 0) + 1;
    }
    return counts;
  }

  violations(): SoakViolation[] {
    return this.#calls.flatMap((call): SoakViolation[] => {
      const { ending, request } = call;
      const stop = this.#stopDuring(call);
      const detail = this.#describe(call, stop);
      const hasRun = this.#runs.has(request);
      const isLost = hasRun
        ? this.#isCutShort(call, stop)
        : this.#isLeftUnanswered(call, stop);
      if (isLost && !this.#isExcused(call, stop)) {
        return [{ promise: 'answered', request, detail }];
      }
      return hasRun &&
        typeof ending === 'number' &&
        NOT_RUN_STATUSES.has(ending)
        ? [{ promise: 'not-run', request, detail }]
        : [];
    });
  }

  /** The first signal of the stop that lasted while a call ran. */
  #stopDuring({ router, from, to }: StopCall): RouterEvent | undefined {
    return this.#eventsOf(router).find(
      stop =>
        stop.event === 'SIGTERM' &&
        stop.at <= to + SIMULTANEOUS_MS &&
        this.#nextAfter(stop, 'exit') >= from,
    );
  }

  /**
   * Whether a request that was passed on ended without a complete answer, though it had time left.
   * Only a stream whose endpoint works to the last part of the grace period may be cut for that; a
   * router that reaches its endpoint through others only has lost the way to it.
   */
  #isCutShort(call: StopCall, stop: RouterEvent | undefined): boolean {
    const { ending, isStream, to, expiresAt, routeEndsAt = Infinity } = call;
    if (ending !== 'broke-off') {
      return ending === 'cut';
    }
    // A plain response is passed on whole.
    if (!isStream) {
      return to < expiresAt;
    }
    if (to >= Math.min(expiresAt, routeEndsAt)) {
      return false;
    }
    return (
      this.#endsInTime(call, stop) ||
      !(this.#isDetoured(call) || this.#isAtWorkAtEnd(call, stop))
    );
  }

  /** Whether an endpoint sends the end of a stream before the caller's limit and the last part of the grace period. */
  #endsInTime(call: StopCall, stop: RouterEvent | undefined): boolean {
    const { request, router, expiresAt, routeEndsAt = Infinity } = call;
    const lastFrom = stop ? this.#lastPartOf(stop) : Infinity;
    const dueBy = Math.min(expiresAt, routeEndsAt, lastFrom) - PASSING_MS;
    const broken = (this.#breaks.get(request) ?? []).map(each => each.endpoint);
    return (this.#runs.get(request) ?? []).some(
      run =>
        this.#endOf(request, run) <= dueBy &&
        !broken.includes(run.endpoint) &&
        !this.#options.isDetoured(router, run.endpoint),
    );
  }

  /** Whether the connection of a request that was not passed on ended late without an answer. */
  #isLeftUnanswered(call: StopCall, stop: RouterEvent | undefined): boolean {
    const { ending, router, sentAt, to } = call;
    if (ending !== 'cut' || !stop || sentAt === undefined) {
      return false;
    }
    // A process that is not loaded yet, or does not run, reads nothing.
    const exitAt = this.#nextAfter(stop, 'exit');
    const isUnread = this.#eventsOf(router).some(
      ({ event, at }) =>
        (event === 'unloaded' && at >= stop.at && at <= exitAt) ||
        (event === 'hold-up' &&
          at <= to &&
          this.#nextAfter({ router, at }, 'hold-up-over') >= sentAt),
    );
    const paused = this.#pauses.reduce(
      (sum, pause) =>
        sum +
        Math.max(0, Math.min(pause.to, to) - Math.max(pause.from, sentAt)),
      0,
    );
    return to >= stop.at && to - sentAt - paused > UNANSWERED_MS && !isUnread;
  }

  #isDetoured({ request, router }: StopCall): boolean {
    const last = this.#lastRunOf(request);
    return (
      last !== undefined && this.#options.isDetoured(router, last.endpoint)
    );
  }

  /** Whether an endpoint worked in the last part of the grace period on a request that was sent early in the stop. */
  #isAtWorkAtEnd(
    { request, from, to }: StopCall,
    stop: RouterEvent | undefined,
  ): boolean {
    if (!stop || from > stop.at + EARLY_MS) {
      return false;
    }
    const lastFrom = this.#lastPartOf(stop);
    return (this.#runs.get(request) ?? []).some(
      run => Math.min(this.#workedUntil(request, run), to) >= lastFrom,
    );
  }

  /** When the part of the grace period begins at which an endpoint may still be at work on what is cut. */
  #lastPartOf({ at }: RouterEvent): number {
    return at + this.#options.graceMs * (1 - LAST_SHARE);
  }

  /** When an endpoint has sent its whole response, or the router has given it up. */
  #workedUntil(request: string, run: EndpointRun): number {
    const abandoned = this.#firstSince(run, this.#abandoned.get(request));
    return Math.min(this.#endOf(request, run), abandoned ?? Infinity);
  }

  #lastRunOf(request: string): EndpointRun | undefined {
    return (this.#runs.get(request) ?? []).reduce<EndpointRun | undefined>(
      (last, run) => (last && last.at > run.at ? last : run),
      undefined,
    );
  }

  /** When an endpoint has sent its whole response, or would have. */
  #endOf(request: string, run: EndpointRun): number {
    const { endpoint, at } = run;
    const endsAt = this.#sentEndAt(request, run);
    return this.#silences
      .filter(
        silence =>
          silence.endpoint === endpoint &&
          silence.to >= at &&
          silence.from <= endsAt + PASSING_MS,
      )
      .reduce((end, { to }) => Math.max(end, to), endsAt);
  }

  /** When it sent the end; as planned if that was not seen, unless it was late as it was given up. */
  #sentEndAt(request: string, run: EndpointRun): number {
    const sent = this.#firstSince(run, this.#ends.get(request));
    const abandoned = this.#firstSince(run, this.#abandoned.get(request));
    const isLate = abandoned !== undefined && abandoned > run.endsAt;
    return sent ?? (isLate ? Infinity : run.endsAt);
  }

  #firstSince(
    run: EndpointRun,
    events: readonly EndpointEvent[] = [],
  ): number | undefined {
    return events.find(
      ({ endpoint, at }) => endpoint === run.endpoint && at >= run.at,
    )?.at;
  }

  /**
   * Whether the endpoint that ran last broke off, or the router was frozen or killed, or the caller
   * did not read a long response.
   */
  #isExcused(call: StopCall, stop: RouterEvent | undefined): boolean {
    const { request, router, from, to, pausedUntil } = call;
    const until = to + SIMULTANEOUS_MS;
    const begin = Math.min(from, stop?.at ?? from);
    const wasPaused =
      stop &&
      this.#long.has(request) &&
      pausedUntil &&
      pausedUntil >= this.#nextAfter(stop, 'exit');
    const wasDisturbed = this.#eventsOf(router).some(
      ({ event, at }) =>
        at <= until &&
        ((event === 'SIGKILL' && at >= from) ||
          (event === 'SIGSTOP' &&
            this.#nextAfter({ router, at }, 'SIGCONT') >= begin)),
    );
    const last = this.#lastRunOf(request);
    const hasBroken = (this.#breaks.get(request) ?? []).some(
      ({ endpoint, at }) => endpoint === last?.endpoint && at <= until,
    );
    return (
      hasBroken ||
      wasDisturbed ||
      wasPaused === true ||
      (stop !== undefined && this.#isHeldUpAtEnd(stop))
    );
  }

  /** Whether a process had no time to run when its last responses were due. */
  #isHeldUpAtEnd(stop: RouterEvent): boolean {
    const { graceMs } = this.#options;
    const lastFrom = stop.at + graceMs - EXIT_MS - PASSING_MS;
    return this.#eventsOf(stop.router).some(
      ({ event, at }) =>
        event === 'hold-up' &&
        at <= stop.at + graceMs &&
        this.#nextAfter({ router: stop.router, at }, 'hold-up-over') >=
          lastFrom,
    );
  }

  #nextAfter(
    { router, at }: Pick<RouterEvent, 'router' | 'at'>,
    event: ProcessEvent,
  ): number {
    const next = this.#eventsOf(router).find(
      each => each.event === event && each.at >= at,
    );
    return next?.at ?? Infinity;
  }

  #eventsOf(router: string): RouterEvent[] {
    return this.#events.filter(each => each.router === router);
  }

  /** Times are relative to the stop, or to the call if there was none. */
  #describe(call: StopCall, stop: RouterEvent | undefined): string {
    const { router, path, from, to, ending, status } = call;
    const begin = stop?.at ?? from;
    const end = stop ? this.#nextAfter(stop, 'exit') : to + SIMULTANEOUS_MS;
    const since = (at: number) => `${Math.round(at - begin)} ms`;
    const runs = this.#runs.get(call.request) ?? [];
    const breaks = this.#breaks.get(call.request) ?? [];
    const events = this.#eventsOf(router)
      .filter(({ at }) => at >= begin && at <= end)
      .map(({ event, at }) => `${event} ${since(at)}`);
    return [
      `${router} ${path} sent ${since(from)}`,
      ...runs.map(
        run =>
          `ran at ${run.endpoint} ${since(run.at)} to ${since(this.#workedUntil(call.request, run))}`,
      ),
      ...breaks.map(({ endpoint, at }) => `${endpoint} broke ${since(at)}`),
      ...(ending === 'broke-off' ? [`status ${status ?? 'unknown'}`] : []),
      `${ending} ${since(to)}`,
      ...events,
    ].join(', ');
  }
}
