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
  readonly to: number;
  /** When the time that the caller stated is over. */
  readonly expiresAt: number;
  /** Until when the caller read nothing, if it read late. */
  readonly pausedUntil?: number;
  readonly ending: CallEnding;
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

/** Time in which the ends of two connections of one request may be seen in either order. */
const SIMULTANEOUS_MS = 50;

export class PlannedStopRecord {
  readonly #calls: StopCall[] = [];
  readonly #events: RouterEvent[] = [];
  readonly #runs = new Map<string, EndpointEvent[]>();
  readonly #breaks = new Map<string, EndpointEvent>();

  recordCall(call: StopCall): void {
    this.#calls.push(call);
  }

  recordEvent(router: string, event: ProcessEvent, at: number): void {
    this.#events.push({ router, event, at });
  }

  recordRun(request: string, endpoint: string, at: number): void {
    const runs = this.#runs.get(request) ?? [];
    this.#runs.set(request, [...runs, { endpoint, at }]);
  }

  /** Records that an endpoint broke off a request before its response was whole. */
  recordBreak(request: string, endpoint: string, at: number): void {
    this.#breaks.set(request, { endpoint, at });
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
    return this.#calls
      .filter(({ request }) => this.#runs.has(request))
      .flatMap((call): SoakViolation[] => {
        const { ending, request, isStream, to, expiresAt } = call;
        const stop = this.#stopDuring(call);
        const detail = this.#describe(call, stop);
        // A response that has started can only break off when its time is over.
        const isLost =
          ending === 'cut' ||
          (ending === 'broke-off' && !isStream && to < expiresAt);
        if (isLost && !this.#isExcused(call, stop)) {
          return [{ promise: 'answered', request, detail }];
        }
        return typeof ending === 'number' && NOT_RUN_STATUSES.has(ending)
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

  /** Whether the endpoint broke off, or the router was frozen or killed, or the caller did not read. */
  #isExcused(call: StopCall, stop: RouterEvent | undefined): boolean {
    const { request, router, from, to, pausedUntil } = call;
    const until = to + SIMULTANEOUS_MS;
    const begin = Math.min(from, stop?.at ?? from);
    const wasPaused =
      stop && pausedUntil && pausedUntil >= this.#nextAfter(stop, 'exit');
    const wasDisturbed = this.#eventsOf(router).some(
      ({ event, at }) =>
        at <= until &&
        ((event === 'SIGKILL' && at >= from) ||
          (event === 'SIGSTOP' &&
            this.#nextAfter({ router, at }, 'SIGCONT') >= begin)),
    );
    const brokeAt = this.#breaks.get(request)?.at ?? Infinity;
    return brokeAt <= until || wasDisturbed || wasPaused === true;
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
    const { router, path, from, to, ending } = call;
    const begin = stop?.at ?? from;
    const end = stop ? this.#nextAfter(stop, 'exit') : to + SIMULTANEOUS_MS;
    const since = (at: number) => `${Math.round(at - begin)} ms`;
    const runs = this.#runs.get(call.request) ?? [];
    const events = this.#eventsOf(router)
      .filter(({ at }) => at >= begin && at <= end)
      .map(({ event, at }) => `${event} ${since(at)}`);
    return [
      `${router} ${path} sent ${since(from)}`,
      ...runs.map(({ endpoint, at }) => `ran at ${endpoint} ${since(at)}`),
      `${ending} ${since(to)}`,
      ...events,
    ].join(', ');
  }
}
