/** Records what callers and endpoints observed in a soak, and finds violated invariants. */

import { event } from '../deployment/scripted-server';

/** One execution of a request by an endpoint. */
export interface SoakRun {
  readonly request: string;
  readonly endpoint: string;
  /** Milliseconds since the start of the soak. */
  readonly at: number;
}

export interface SoakResponse {
  readonly request: string;
  readonly status: number;
  /** The complete body; undefined if the response broke off. */
  readonly body: string | undefined;
}

/** An event stream as its caller received it. */
export interface SoakStream {
  readonly request: string;
  readonly body: string;
  /** Whether the message ended as its framing requires. */
  readonly isComplete: boolean;
  /** Whether a length or a last chunk marks the end, not only the end of the connection. */
  readonly isFramed: boolean;
}

export interface SoakViolation {
  readonly promise:
    | 'at-most-once'
    | 'not-run'
    | 'own-answer'
    | 'leaving'
    | 'whole-stream'
    | 'one-version'
    | 'alive'
    | 'crashing-content'
    | 'limit'
    | 'evacuated'
    | 'goes-on'
    | 'resumption-share'
    | 'resumption-in-outage'
    | 'answered';
  /** The request, the router for `alive`, the content for `crashing-content`, the endpoint for `limit`, or `take-ups`. */
  readonly request: string;
  readonly detail: string;
}

/** A time in which an endpoint states how many requests a second it accepts. */
export interface SoakLimit {
  readonly endpoint: string;
  readonly perSecond: number;
  /** Milliseconds since the start of the soak. */
  readonly from: number;
  readonly to: number;
}

/** A time in which no request may reach an endpoint, as its zone is evacuated. */
export type SoakEvacuation = Omit<SoakLimit, 'perSecond'>;

/** What ends endpoints: the same request each time, or a part of new prompts. */
export type CrashingContent = 'request' | 'part';

/** Endpoints that a content may end before routers must refuse it. */
const ALLOWED_CRASHES: Readonly<Record<CrashingContent, number>> = {
  request: 3,
  part: 5,
};
/** Endpoints that it may end after that. */
const MAX_LATE_CRASHES = 3;

/** Time after which an endpoint that is known to be leaving receives no more requests. */
const LEAVING_BOUND_MS = 2000;
/** Time after which routers keep a limit, and the window in which arrivals are counted. */
const LIMIT_LEARN_MS = 3000;
const LIMIT_WINDOW_MS = 4000;
/** Arrivals tolerated in the window, as a multiple of the limit, and more. */
const LIMIT_FACTOR = 1.5;
const LIMIT_SLACK = 5;
/** Arrivals of a router that has just restarted or was frozen, which are excused. */
const EXCUSED_PER_DISTURBANCE = 2;
const STATUS_OK = 200;
const STREAM_EVENTS = 6;
/** Stands before the software version in each event. */
const MARK_PREFIX = ' by ';
const VERSION_MARK = / by v\d+/gu;
/** Status codes with which a router guarantees that the request did not run. */
export const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([
  408, 421, 429, 503,
]);

export class SoakInvariantChecker {
  readonly #atMostOnce = new Set<string>();
  readonly #runs = new Map<string, SoakRun[]>();
  readonly #responses: SoakResponse[] = [];
  readonly #streams: SoakStream[] = [];
  readonly #leaving = new Map<string, number>();
  readonly #deaths: SoakViolation[] = [];
  readonly #limits: SoakLimit[] = [];
  readonly #evacuations: SoakEvacuation[] = [];
  readonly #arrivals = new Map<string, number[]>();
  readonly #disturbances: number[] = [];
  readonly #crashes = { request: 0, part: 0 };
  #crashesWithFaults: Readonly<Record<CrashingContent, number>> | undefined;

  /** Records a request before it is sent; `isAtMostOnce` if it must not run twice. */
  recordRequest(request: string, isAtMostOnce: boolean): void {
    if (isAtMostOnce) {
      this.#atMostOnce.add(request);
    }
  }

  recordRun(run: SoakRun): void {
    const runs = this.#runs.get(run.request) ?? [];
    runs.push(run);
    this.#runs.set(run.request, runs);
  }

  /** Records a request that reached an endpoint, also one that it rejects. */
  recordArrival(endpoint: string, at: number): void {
    const arrivals = this.#arrivals.get(endpoint) ?? [];
    arrivals.push(at);
    this.#arrivals.set(endpoint, arrivals);
  }

  recordLimit(limit: SoakLimit): void {
    this.#limits.push(limit);
  }

  recordEvacuation(evacuation: SoakEvacuation): void {
    this.#evacuations.push(evacuation);
  }

  /** Records that a router is ended or frozen at a time. */
  recordDisturbance(at: number): void {
    this.#disturbances.push(at);
  }

  recordResponse(response: SoakResponse): void {
    this.#responses.push(response);
  }

  recordStream(stream: SoakStream): void {
    this.#streams.push(stream);
  }

  /** Records that a router's process ended although nobody ended it. */
  recordDeath(router: string, ending: string): void {
    this.#deaths.push({ promise: 'alive', request: router, detail: ending });
  }

  /** Records that an endpoint ended as it ran the content. */
  recordCrash(content: CrashingContent): void {
    this.#crashes[content] += 1;
  }

  /** Records that there was no fault for so long that every router must know all crashes. */
  recordFaultsOver(): void {
    this.#crashesWithFaults = { ...this.#crashes };
  }

  /** Records that an endpoint is leaving, once all routers could read this in the store. */
  recordLeaving(endpoint: string, at: number): void {
    this.#leaving.set(endpoint, at);
  }

  /** Returns the body of the response to a request, which is different for each request. */
  static responseBody(request: string): string {
    return `answer to ${request}`;
  }

  /** Returns the data of the events of a stream, which endpoints of each software version mark. */
  static streamEvents(request: string, version: string): string[] {
    return Array.from(
      { length: STREAM_EVENTS },
      (_value, index) => `part ${index + 1} of ${request} by ${version}`,
    );
  }

  /** Number of complete responses with status 200. */
  get served(): number {
    const responses = this.#responses.filter(
      ({ status, body }) => status === STATUS_OK && body !== undefined,
    );
    const streams = this.#streams.filter(({ isComplete }) => isComplete);
    return responses.length + streams.length;
  }

  violations(): SoakViolation[] {
    return [
      ...this.#repeatedRuns(),
      ...this.#responses.flatMap(response => this.#falseResponse(response)),
      ...this.#streams.flatMap(stream => falseStream(stream)),
      ...this.#lateRuns(),
      ...this.#deaths,
      ...this.#lateCrashes(),
      ...this.#limits.flatMap(limit => this.#exceededLimit(limit)),
      ...this.#evacuations.flatMap(each => this.#reachedEvacuation(each)),
    ];
  }

  #lateCrashes(): SoakViolation[] {
    const contents: readonly CrashingContent[] = ['request', 'part'];
    return contents.flatMap(content => {
      const before = this.#crashesWithFaults?.[content] ?? 0;
      const late = this.#crashes[content] - before;
      return before >= ALLOWED_CRASHES[content] && late > MAX_LATE_CRASHES
        ? [
            {
              promise: 'crashing-content' as const,
              request: content,
              detail: `ended ${late} endpoints after it had ended ${before}`,
            },
          ]
        : [];
    });
  }

  #exceededLimit({
    endpoint,
    perSecond,
    from,
    to,
  }: SoakLimit): SoakViolation[] {
    const tolerated =
      LIMIT_FACTOR * perSecond * (LIMIT_WINDOW_MS / 1000) + LIMIT_SLACK;
    const arrivals = (this.#arrivals.get(endpoint) ?? []).filter(
      at => at >= from + LIMIT_LEARN_MS && at < to,
    );
    for (const start of arrivals) {
      const end = start + LIMIT_WINDOW_MS;
      const count = arrivals.filter(at => at >= start && at < end).length;
      const excused = this.#disturbances.filter(
        at => at >= start - LIMIT_LEARN_MS && at < end,
      ).length;
      if (count > tolerated + excused * EXCUSED_PER_DISTURBANCE) {
        const detail = `${count} in 4 s from ${Math.round(start)} at ${perSecond} a second, ${excused} disturbances`;
        return [{ promise: 'limit', request: endpoint, detail }];
      }
    }
    return [];
  }

  #reachedEvacuation({ endpoint, from, to }: SoakEvacuation): SoakViolation[] {
    const late = (this.#arrivals.get(endpoint) ?? []).filter(
      at => at >= from && at < to,
    );
    const [first] = late;
    return first === undefined
      ? []
      : [
          {
            promise: 'evacuated',
            request: endpoint,
            detail: `${late.length} from ${Math.round(from)} on, the first at ${Math.round(first)}`,
          },
        ];
  }

  #repeatedRuns(): SoakViolation[] {
    return [...this.#atMostOnce]
      .map(request => this.#runs.get(request) ?? [])
      .filter(runs => runs.length > 1)
      .map(runs => ({
        promise: 'at-most-once',
        request: runs[0]?.request ?? '',
        detail: runs.map(({ endpoint, at }) => `${endpoint}@${at}`).join(' '),
      }));
  }

  #falseResponse({ request, status, body }: SoakResponse): SoakViolation[] {
    const runs = this.#runs.get(request)?.length ?? 0;
    if (
      NOT_RUN_STATUSES.has(status) &&
      runs > 0 &&
      this.#atMostOnce.has(request)
    ) {
      const detail = `status ${status} after ${runs} runs`;
      return [{ promise: 'not-run', request, detail }];
    }
    const isOwn =
      body === undefined || body === SoakInvariantChecker.responseBody(request);
    return status === STATUS_OK && !isOwn
      ? [{ promise: 'own-answer', request, detail: body }]
      : [];
  }

  #lateRuns(): SoakViolation[] {
    return [...this.#runs.values()].flat().flatMap(run => {
      const leftAt = this.#leaving.get(run.endpoint);
      return leftAt !== undefined && run.at > leftAt + LEAVING_BOUND_MS
        ? [
            {
              promise: 'leaving' as const,
              request: run.request,
              detail: `${run.endpoint} left at ${leftAt}, ran at ${run.at}`,
            },
          ]
        : [];
    });
  }
}

/** A stream holds the events of its request in order; a complete one holds no part of an event, and all events if its end is marked. */
function falseStream(stream: SoakStream): SoakViolation[] {
  const { request, body, isComplete, isFramed } = stream;
  const versions = new Set(body.match(VERSION_MARK));
  if (versions.size > 1) {
    const detail = JSON.stringify(body);
    return [{ promise: 'one-version', request, detail }];
  }
  const [mark = ''] = versions;
  const expected = SoakInvariantChecker.streamEvents(
    request,
    mark.slice(MARK_PREFIX.length),
  )
    .map((text, index) => event(index + 1, text))
    .join('');
  const endsWithinEvent = body !== '' && !body.endsWith('\n\n');
  const isWhole = isFramed ? body === expected : !endsWithinEvent;
  if (expected.startsWith(body) && (!isComplete || isWhole)) {
    return [];
  }
  const framing = isFramed ? 'framed' : 'unframed';
  const ending = isComplete ? 'complete' : 'broken off';
  const detail = `${framing}, ${ending}: ${JSON.stringify(body)}`;
  return [{ promise: 'whole-stream', request, detail }];
}
