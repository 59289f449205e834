/**
 * Planned stops of one router and of several, in series and overlapping, while callers use open
 * connections until the router is gone, for short and long requests of all kinds.
 */
import { Agent } from 'node:http';
import { setTimeout as pause } from 'node:timers/promises';

import type { Random } from '@sesamegrade/core/random/random';
import { TEST_HOST, TEST_KEY } from '../deployment/deployment-documents';
import type { TestRoute } from '../deployment/deployment-documents';
import { callOverHttp } from '../deployment/http-caller';
import type { ReceivedResponse } from '../deployment/http-caller';
import type { RouterProcess } from '../deployment/router-process';
import type { CallEnding, PlannedStopRecord } from './planned-stop-record';
import type { SoakInvariantChecker } from './soak-invariant-checker';
import { SLOW_SERVICE } from './slow-endpoints';

const KINDS = ['order', 'lookup', 'draft', 'summary'] as const;
const ROUTE_TIMEOUT_MS = 6000;
/** Times that endpoints work on a request, and that callers allow beyond it. */
const WORK_MS = [20, 20, 300, 1000, 1900, 3000, 5000];
const ALLOWANCE_MS = [300, 1000, 3000];
/** Time after the stated limit at which a caller leaves. */
const LEAVING_MS = 500;
const READING_PAUSES_MS = [0, 0, 0, 300, 1000];
const MAX_REQUEST_INTERVAL_MS = 200;
const STOP_INTERVAL_MS = { min: 500, max: 3000 };
const MAX_STOPPED_AT_ONCE = 3;
/** Time from the first signal of a stop to the last repeated one. */
const MAX_REPEAT_MS = 3500;
/** Shares of the stops whose process is held up as the signal comes, and within the stop, and for how long. */
const HOLD_UP_SHARE = 0.3;
const HOLD_UP_MS = { min: 300, max: 2000 };
/** Time before the end of a hold-up, or after it if below 0, at which the signal comes. */
const SIGNAL_LEAD_MS = { min: -20, max: 300 };
const WATCH_PERIOD_MS = 10;
const STATUS_OK = 200;

export interface PlannedStopScenarioOptions {
  readonly seed: number;
  readonly random: Random;
  readonly routers: readonly RouterProcess[];
  readonly callersPerRouter: number;
  readonly checker: SoakInvariantChecker;
  readonly record: PlannedStopRecord;
  /** Called at the begin of each stop; the returned function at its end. */
  readonly onStop: (router: RouterProcess) => () => void;
  /** Milliseconds since the start of the soak. */
  readonly now: () => number;
}

export class PlannedStopScenario {
  static readonly routes: readonly TestRoute[] = KINDS.map(kind => ({
    name: `slow-${kind}`,
    prefix: `/slow-${kind}/`,
    kind:
      kind === 'order'
        ? 'non_idempotent'
        : kind === 'lookup'
          ? 'idempotent'
          : 'streaming',
    service: SLOW_SERVICE,
    timeoutMs: ROUTE_TIMEOUT_MS,
    maxAttempts: kind === 'lookup' || kind === 'draft' ? 2 : 1,
    resumable: kind === 'draft',
  }));

  readonly #options: PlannedStopScenarioOptions;
  #requestCount = 0;

  constructor(options: PlannedStopScenarioOptions) {
    this.#options = options;
  }

  get requestCount(): number {
    return this.#requestCount;
  }

  async run(until: number): Promise<void> {
    const { routers, callersPerRouter } = this.#options;
    const callers = routers.flatMap(router =>
      Array.from({ length: callersPerRouter }, () =>
        this.#useConnection(router, until),
      ),
    );
    const timer = this.#watchPauses();
    await Promise.all([this.#stopRouters(until), ...callers]);
    clearInterval(timer);
  }

  /** Records when this process did not run in time itself. */
  #watchPauses(): NodeJS.Timeout {
    const { record, now } = this.#options;
    let due = now() + WATCH_PERIOD_MS;
    return setInterval(() => {
      const at = now();
      if (at - due >= WATCH_PERIOD_MS) {
        record.recordPause(due, at);
      }
      due = at + WATCH_PERIOD_MS;
    }, WATCH_PERIOD_MS);
  }

  async #stopRouters(until: number): Promise<void> {
    const { random, routers, now } = this.#options;
    const stops: Promise<void>[] = [];
    for (;;) {
      await pause(random.integer(STOP_INTERVAL_MS.min, STOP_INTERVAL_MS.max));
      if (now() >= until) {
        break;
      }
      const count = random.integer(1, MAX_STOPPED_AT_ONCE);
      const first = random.integer(0, routers.length - 1);
      const stopped = [...routers, ...routers].slice(first, first + count);
      stops.push(...stopped.map(router => this.#stop(router)));
    }
    await Promise.all(stops);
  }

  async #stop(router: RouterProcess): Promise<void> {
    const { random, onStop } = this.#options;
    const onEnd = onStop(router);
    const signals = ['SIGTERM', 'SIGHUP'] as const;
    const laterSignals = Array.from({ length: random.integer(0, 2) }, () => ({
      signal: random.pick(signals),
      afterMs: random.integer(0, MAX_REPEAT_MS),
    }));
    const holdUps = [0, random.integer(0, MAX_REPEAT_MS)]
      .filter(() => random.fraction() < HOLD_UP_SHARE)
      .map(async afterMs => {
        const durationMs = random.integer(HOLD_UP_MS.min, HOLD_UP_MS.max);
        await pause(afterMs);
        await router.holdUp(durationMs);
      });
    if (random.fraction() < HOLD_UP_SHARE) {
      const { min, max } = HOLD_UP_MS;
      const durationMs = random.integer(min, max);
      holdUps.push(router.holdUp(durationMs));
      const leadMs = random.integer(SIGNAL_LEAD_MS.min, SIGNAL_LEAD_MS.max);
      await pause(durationMs - leadMs);
    }
    await router.restart('SIGTERM', laterSignals);
    onEnd();
    await Promise.all(holdUps);
  }

  /** Sends one request after the other on a connection, and on a new one once that has ended. */
  async #useConnection(router: RouterProcess, until: number): Promise<void> {
    const { random, now } = this.#options;
    const agent = new Agent({ keepAlive: true, maxSockets: 1 });
    while (now() < until) {
      await this.#send(router, agent);
      await pause(random.integer(0, MAX_REQUEST_INTERVAL_MS));
    }
    agent.destroy();
  }

  async #send(router: RouterProcess, agent: Agent): Promise<void> {
    const { random, checker, record, seed, now } = this.#options;
    this.#requestCount += 1;
    const request = `${seed.toString(16)}-slow-${this.#requestCount}`;
    const kind = random.pick(KINDS);
    const workMs = random.pick(WORK_MS);
    const deadlineMs = workMs + random.pick(ALLOWANCE_MS);
    const pauseMs = random.pick(READING_PAUSES_MS);
    const path = `/slow-${kind}/${workMs}/${request}`;
    const signal = AbortSignal.timeout(deadlineMs + LEAVING_MS);
    const from = now();
    let pausedUntil: number | undefined;
    let sentAt: number | undefined;
    checker.recordRequest(request, kind === 'order' || kind === 'summary');
    const response = await callOverHttp({
      url: `http://${router.callerAddress}`,
      path,
      headers: {
        host: TEST_HOST,
        'sesamegrade-request-id': request,
        'sesamegrade-deadline-ms': String(deadlineMs),
        authorization: `Bearer ${TEST_KEY}`,
      },
      agent,
      signal,
      onSent: () => {
        sentAt = now();
      },
      onResponse: received => {
        if (pauseMs > 0) {
          pausedUntil = now() + pauseMs;
          received.pause();
          setTimeout(() => received.resume(), pauseMs);
        }
      },
    });
    const isStream = kind === 'draft' || kind === 'summary';
    const expiresAt = from + deadlineMs;
    const routeEndsAt = from + ROUTE_TIMEOUT_MS;
    const times = { from, to: now(), expiresAt, routeEndsAt };
    record.recordCall({
      ...{ request, router: router.name, path, isStream, ...times },
      sentAt,
      pausedUntil,
      ending: signal.aborted ? 'left' : endingOf(response),
      ...(response && { status: response.status }),
    });
    if (response) {
      this.#check(request, response, isStream);
    }
  }

  #check(
    request: string,
    { status, body, isComplete }: ReceivedResponse,
    isStream: boolean,
  ): void {
    const { checker } = this.#options;
    if (isStream && status === STATUS_OK) {
      checker.recordStream({ request, body, isComplete, isFramed: true });
      return;
    }
    const whole = isComplete ? body.trimEnd() : undefined;
    checker.recordResponse({ request, status, body: whole });
  }
}

function endingOf(response: ReceivedResponse | undefined): CallEnding {
  if (!response) {
    return 'cut';
  }
  return response.isComplete ? response.status : 'broke-off';
}
