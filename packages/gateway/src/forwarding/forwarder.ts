/** Accepts callers' requests, finds their routes and services, and has them run. */
import type { FleetState } from '@sesamegrade/core/forwarding/fleet-state';
import type {
  CallerLimits,
  RouteTarget,
} from '@sesamegrade/core/routes/fleet-configuration';
import type { RouteHistory } from '@sesamegrade/core/routes/route-history';
import { pickTarget } from '@sesamegrade/core/routes/route-table';
import type {
  RouteDecision,
  RouteTable,
} from '@sesamegrade/core/routes/route-table';
import {
  isResumable,
  pickStreamTarget,
  streamServices,
} from '@sesamegrade/core/routes/stream-target';
import { addTime, elapsed, milliseconds } from '@sesamegrade/core/types/units';
import type { Instant, Milliseconds } from '@sesamegrade/core/types/units';
import type { SoftwareVersion } from '@sesamegrade/core/types/ids';
import type { Random } from '@sesamegrade/core/random/random';
import type { CallerExchange } from '../callers/caller-exchange';
import type { RequestBody } from '../callers/request-body';
import type {
  RequestHead,
  CallerProtocol,
  CallerRefusal,
} from '../callers/caller-protocol';
import type { EndScope } from '../process/shutdown-sequence';
import type { FleetReadiness } from '../store/fleet-readiness';
import { MAX_RETRY_AFTER } from './refusals';
import { RequestRun } from './request-run';
import type {
  ForwardDecision,
  RequestRunOptions,
  RoutedRequest,
  StopOutcome,
} from './request-run';
import { isResumption, StreamGuard } from './stream-guard';

/** Limit of a request body before a configuration sets one; 4 MiB is the deployments' own limit. */
const DEFAULT_MAX_BODY_BYTES = 4_194_304;
/**
 * Age since its last confirmation above which a configuration may be outdated
 * and refuses no request for good.
 */
const MAX_TRUSTED_AGE: Milliseconds = milliseconds(11_000);

/**
 * Longest wait of a request for the first configuration, also limited to a
 * share of the caller's timeout.
 */
const MAX_START_WAIT = milliseconds(600);
const START_WAIT_SHARE = 0.25;

/** Longest wait of a large body for memory, also limited to a share of the caller's timeout. */
const MAX_BODY_WAIT = milliseconds(600);
const BODY_WAIT_SHARE = 0.25;

export interface ForwarderOptions extends RequestRunOptions {
  readonly routes: RouteTable;
  readonly routeHistory: RouteHistory;
  readonly fleetState: FleetState;
  readonly callerProtocol: CallerProtocol;
  readonly fleetReadiness: FleetReadiness;
  readonly random: Random;
}

/** A request whose response has not ended. */
interface RunningRequest {
  readonly exchange: CallerExchange;
  /** Undefined until the head has been parsed. */
  head: RequestHead | undefined;
  /** Answers the request before the process exits. */
  end: () => void;
}

/** Requests that were answered only because the process exits, by what their callers got. */
export type EndedByStop = Record<StopOutcome, number>;

/** What is known of a resumed stream: the service and version that began it. */
interface ResumedTarget {
  readonly target: RouteTarget;
  readonly version: SoftwareVersion | undefined;
}

export class Forwarder {
  readonly #options: ForwarderOptions;
  readonly #running = new Set<RunningRequest>();
  readonly #endedByStop: EndedByStop = { notRun: 0, mayHaveRun: 0, cut: 0 };

  constructor(options: ForwarderOptions) {
    this.#options = options;
  }

  /** Number of requests whose response has not ended. */
  get running(): number {
    return this.#running.size;
  }

  get endedByStop(): Readonly<EndedByStop> {
    return this.#endedByStop;
  }

  /** Answers requests that still run, or breaks their responses off, as the process is about to exit. */
  endRunning(scope: EndScope): void {
    for (const { exchange, end } of this.#running) {
      const isEnded = scope === 'all' || !exchange.showsItsBreak;
      if (!exchange.isOver && isEnded) {
        end();
      }
    }
  }

  /** Resolves when the request needs no further work. */
  async serve(exchange: CallerExchange): Promise<void> {
    const running: RunningRequest = {
      exchange,
      head: undefined,
      end: () => {
        this.#endedByStop.notRun += 1;
        this.#options.refusals.sendStopping(exchange, running.head);
      },
    };
    this.#running.add(running);
    try {
      await this.#serve(running);
    } finally {
      this.#running.delete(running);
    }
  }

  async #serve(running: RunningRequest): Promise<void> {
    const { exchange } = running;
    const { callerProtocol, timers, routes, refusals } = this.#options;
    const arrivedAt = timers.now();
    const parsed = callerProtocol.readHead(
      exchange.method,
      exchange.target,
      exchange.headers,
    );
    if (!parsed.ok) {
      refusals.send(exchange, undefined, {
        kind: 'malformed',
        detail: parsed.failure.detail,
      });
      return;
    }
    const head = parsed.value;
    running.head = head;
    exchange.requestId = head.requestId;
    const callerTimeout = head.callerTimeout ?? MAX_BODY_WAIT;
    const body = await exchange.readBody(
      bodyLimit(routes.limits),
      milliseconds(Math.min(MAX_BODY_WAIT, callerTimeout * BODY_WAIT_SHARE)),
    );
    if (body.kind === 'truncated') {
      return;
    }
    if (body.kind === 'no-memory') {
      refusals.send(
        exchange,
        head,
        refusals.notRun('body-memory', callerTimeout),
        true,
      );
      return;
    }
    if (body.kind === 'too-large') {
      refusals.send(exchange, head, { kind: 'body-too-large' }, true);
      return;
    }
    try {
      await this.#serveWithBody(running, head, body.body, arrivedAt);
    } finally {
      body.body.release();
    }
  }

  async #serveWithBody(
    running: RunningRequest,
    head: RequestHead,
    body: RequestBody,
    arrivedAt: Instant,
  ): Promise<void> {
    const { exchange } = running;
    const { timers, routes, refusals, shutdownSequence } = this.#options;
    await this.#waitForFirstConfiguration(head);
    await exchange.settle();
    if (exchange.isOver) {
      return;
    }
    const decision = routes.decide(
      { host: head.host, path: head.path, key: head.key },
      timers.now(),
      MAX_TRUSTED_AGE,
    );
    if (decision.kind !== 'forward') {
      refusals.send(exchange, head, this.#routeRefusal(decision, head));
      return;
    }
    const { route } = decision;
    const timeout = Math.min(
      route.timeout,
      head.callerTimeout ?? route.timeout,
    );
    const expiresAt = addTime(arrivedAt, milliseconds(timeout));
    const { answer, repeatable } = route;
    const query = { answer, repeatable, expiresAt };
    if (!shutdownSequence.accepts(query, timers.now())) {
      refusals.sendStopping(exchange, head);
      return;
    }
    await this.#forward(running, head, decision, body, {
      arrivedAt,
      expiresAt,
    });
  }

  /**
   * A router that has just started reads its routes within milliseconds; a
   * refusal would delay the caller more.
   */
  async #waitForFirstConfiguration(head: RequestHead): Promise<void> {
    const { timers, fleetReadiness } = this.#options;
    if (fleetReadiness.isReady) {
      return;
    }
    const callerTimeout = head.callerTimeout ?? MAX_START_WAIT;
    const wait = Math.min(MAX_START_WAIT, callerTimeout * START_WAIT_SHARE);
    await fleetReadiness.waitUntilReady(timers, milliseconds(wait));
  }

  #routeRefusal(
    decision: Exclude<RouteDecision, ForwardDecision>,
    head: RequestHead,
  ): CallerRefusal {
    if (decision.kind === 'unknown-configuration') {
      return this.#options.refusals.notRun(
        decision.kind,
        head.callerTimeout ?? MAX_RETRY_AFTER,
      );
    }
    return { kind: decision.kind };
  }

  async #forward(
    running: RunningRequest,
    head: RequestHead,
    decision: ForwardDecision,
    body: RequestBody,
    times: Pick<RoutedRequest, 'arrivedAt' | 'expiresAt'>,
  ): Promise<void> {
    const { exchange } = running;
    const { route } = decision;
    const { refusals, chooser, timers } = this.#options;
    const isResumed = isResumable(route) && isResumption(head);
    const resumed = isResumed
      ? await this.#resumedTarget(head, decision, times.arrivedAt)
      : undefined;
    const target = isResumed
      ? resumed?.target
      : this.#newTarget(head, decision);
    if (exchange.isOver) {
      return;
    }
    if (!target) {
      refusals.send(
        exchange,
        head,
        isResumed
          ? refusals.notRun(
              'unknown-stream',
              elapsed(times.arrivedAt, times.expiresAt),
            )
          : refusals.notRun('no-service', route.timeout),
      );
      return;
    }
    const { service } = target;
    if (head.prompt) {
      chooser.recordPrompt(service, head.prompt, timers.now());
    }
    const request: RoutedRequest = {
      exchange,
      head,
      decision,
      service,
      body,
      ...times,
      streamGuard: new StreamGuard(this.#options, {
        head,
        service,
        isResumable: isResumable(route),
        origin: resumed,
      }),
      isResumption: isResumed,
    };
    const run = new RequestRun(this.#options, request, outcome => {
      this.#endedByStop[outcome] += 1;
    });
    running.end = () => {
      run.endAsStopping();
    };
    await run.run();
  }

  #newTarget(
    head: RequestHead,
    { route }: ForwardDecision,
  ): RouteTarget | undefined {
    return isResumable(route)
      ? pickStreamTarget(route, head.requestId)
      : pickTarget(route, this.#options.random.fraction());
  }

  /** The origin of a stream; undefined if that is not known or no longer on the route. */
  async #resumedTarget(
    head: RequestHead,
    { route }: ForwardDecision,
    arrivedAt: Instant,
  ): Promise<ResumedTarget | undefined> {
    const { streamResumption, routeHistory, timers, log } = this.#options;
    const begin = timers.now();
    const finding = await streamResumption.originOf(
      () => routeHistory.servicesOf(head, head.begunBy, timers.now()),
      head.begunBy,
      head.callerTimeout && addTime(arrivedAt, head.callerTimeout),
    );
    log.write('stream-resumed', {
      request: head.requestId,
      begunBy: head.begunBy,
      ...finding,
      took: Math.round(elapsed(begin, timers.now())),
    });
    const { origin } = finding;
    if (!origin || !streamServices(route).includes(origin.service)) {
      return undefined;
    }
    const target = route.targets.find(
      ({ service }) => service === origin.service,
    );
    return target && { target, version: origin.version };
  }
}

function bodyLimit(limits: CallerLimits | undefined): number {
  return limits?.bodyBytes ?? DEFAULT_MAX_BODY_BYTES;
}
