/** Takes a caller's request to an endpoint and its answer back. */
import type {
  EndpointChoice,
  EndpointChooser,
} from '@sesamegrade/core/forwarding/endpoint-choice';
import { connectLimit } from '@sesamegrade/core/forwarding/connect-limit';
import { nextStep } from '@sesamegrade/core/forwarding/next-step';
import type { NextStep } from '@sesamegrade/core/forwarding/next-step';
import type { AttemptEnd } from '@sesamegrade/core/forwarding/attempt-end';
import type { FleetKnowledge } from '@sesamegrade/core/forwarding/fleet-knowledge';
import { mayHaveRun } from '@sesamegrade/core/forwarding/attempt-end';
import { subjectPart } from '@sesamegrade/core/prompts/prompt-chain';
import type { Random } from '@sesamegrade/core/random/random';
import type { CallerLimits } from '@sesamegrade/core/routes/fleet-configuration';
import { pickTarget } from '@sesamegrade/core/routes/route-table';
import type {
  RouteDecision,
  RouteTable,
} from '@sesamegrade/core/routes/route-table';
import type { TimerService } from '@sesamegrade/core/time/timer-service';
import { addTime, elapsed, milliseconds } from '@sesamegrade/core/types/units';
import type { Instant, Milliseconds } from '@sesamegrade/core/types/units';
import type { EndpointId, ServiceId } from '@sesamegrade/core/types/ids';
import type { CallerExchange } from '../callers/caller-exchange';
import type {
  RequestHead,
  CallerProtocol,
  CallerRefusal,
} from '../callers/caller-protocol';
import { Attempt } from '../endpoints/attempt';
import type { ConnectionPool } from '../endpoints/connection-pool';
import type { EndpointProtocol } from '../endpoints/endpoint-protocol';
import type { DecisionLog } from '../logs/decision-log';
import type { ShutdownSequence } from '../process/shutdown-sequence';
import type { FleetReadiness } from '../store/fleet-readiness';
import type { GatewayMetrics } from '../metrics/gateway-metrics';
import { ResponseRelay } from './response-relay';

/** Largest body read before any configuration names a limit; 4 MiB is the deployments' own. */
const DEFAULT_BODY_BYTES = 4_194_304;
/** Time after which a configuration that was not confirmed refuses nothing for good. */
const TRUSTED_AGE: Milliseconds = milliseconds(11_000);
/** Longest part of its remaining time after which a caller comes back. */
const RETURN_SHARE = 1 / 3;
const SHORTEST_RETURN = milliseconds(40);
const LONGEST_RETURN = milliseconds(500);
/** Silence of an endpoint in multiples of the goal before a repeatable request goes elsewhere. */
const WHOLE_SILENCE = 1.3;
/** Silence before and between the events of a stream that may go on elsewhere. */
const FIRST_EVENT_SILENCE = milliseconds(1500);
const EVENT_SILENCE = milliseconds(900);

/** Longest wait for the first configuration, and its share of the caller's patience. */
const LONGEST_START_WAIT = milliseconds(600);
const START_WAIT_SHARE = 0.25;

type ForwardDecision = Extract<RouteDecision, { kind: 'forward' }>;

export interface ForwarderOptions {
  readonly routes: RouteTable;
  readonly chooser: EndpointChooser;
  readonly fleetState: FleetKnowledge;
  readonly connectionPool: ConnectionPool;
  readonly callerProtocol: CallerProtocol;
  readonly endpointProtocol: EndpointProtocol;
  readonly fleetReadiness: FleetReadiness;
  readonly shutdownSequence: ShutdownSequence;
  readonly timers: TimerService;
  readonly random: Random;
  readonly log: DecisionLog;
  readonly gatewayMetrics: GatewayMetrics;
}

/** What one request has come to. */
interface Journey {
  readonly exchange: CallerExchange;
  readonly head: RequestHead;
  readonly decision: ForwardDecision;
  readonly service: ServiceId;
  readonly body: Buffer;
  readonly arrived: Instant;
  readonly expires: Instant;
  readonly tried: Set<EndpointId>;
  runs: number;
  unrun: number;
}

export class Forwarder {
  readonly #options: ForwarderOptions;
  #running = 0;

  constructor(options: ForwarderOptions) {
    this.#options = options;
  }

  /** Requests whose answer has not ended. */
  get running(): number {
    return this.#running;
  }

  async serve(exchange: CallerExchange): Promise<void> {
    this.#running += 1;
    try {
      await this.#serve(exchange);
    } finally {
      this.#running -= 1;
    }
  }

  async #serve(exchange: CallerExchange): Promise<void> {
    const { callerProtocol, timers, routes } = this.#options;
    const arrived = timers.now();
    const read = callerProtocol.readHead(
      exchange.method,
      exchange.target,
      exchange.headers,
    );
    if (!read.ok) {
      this.#refuse(exchange, undefined, {
        kind: 'malformed',
        detail: read.failure.detail,
      });
      return;
    }
    const head = read.value;
    const body = await exchange.readBody(bodyLimit(routes.limits));
    if (body.kind === 'truncated') {
      return;
    }
    if (body.kind === 'too-large') {
      this.#refuse(exchange, head, { kind: 'body-too-large' }, true);
      return;
    }
    await this.#awaitFirstConfiguration(head);
    const decision = routes.decide(
      { host: head.host, path: head.path, key: head.key },
      timers.now(),
      TRUSTED_AGE,
    );
    if (decision.kind !== 'forward') {
      this.#refuse(exchange, head, this.#routeRefusal(decision, head));
      return;
    }
    if (
      !this.#options.shutdownSequence.accepts(
        decision.route.answer,
        timers.now(),
      )
    ) {
      const left = head.callerTimeout ?? decision.route.timeout;
      this.#refuse(exchange, head, this.#notRun('stopping', left), true);
      return;
    }
    await this.#forward(exchange, head, decision, body.body, arrived);
  }

  /** A router that has just started knows its routes within milliseconds; a refusal would cost more. */
  async #awaitFirstConfiguration(head: RequestHead): Promise<void> {
    const { timers, fleetReadiness } = this.#options;
    if (fleetReadiness.isReady) {
      return;
    }
    const patience = head.callerTimeout ?? LONGEST_START_WAIT;
    const wait = Math.min(LONGEST_START_WAIT, patience * START_WAIT_SHARE);
    await fleetReadiness.waitUntilReady(timers, milliseconds(wait));
  }

  #routeRefusal(
    decision: Exclude<RouteDecision, ForwardDecision>,
    head: RequestHead,
  ): CallerRefusal {
    if (decision.kind === 'unknown-configuration') {
      return this.#notRun(decision.kind, head.callerTimeout ?? LONGEST_RETURN);
    }
    return { kind: decision.kind };
  }

  async #forward(
    exchange: CallerExchange,
    head: RequestHead,
    decision: ForwardDecision,
    body: Buffer,
    arrived: Instant,
  ): Promise<void> {
    const { random } = this.#options;
    const { route } = decision;
    const target = pickTarget(route, random.fraction());
    if (!target) {
      this.#refuse(exchange, head, this.#notRun('no-service', route.timeout));
      return;
    }
    const patience = Math.min(
      route.timeout,
      head.callerTimeout ?? route.timeout,
    );
    const journey: Journey = {
      exchange,
      head,
      decision,
      service: target.service,
      body,
      arrived,
      expires: addTime(arrived, milliseconds(patience)),
      tried: new Set(),
      runs: 0,
      unrun: 0,
    };
    this.#options.fleetState.requestStarted(target.service);
    await this.#travel(journey);
  }

  async #travel(journey: Journey): Promise<void> {
    const { exchange, head, decision } = journey;
    const { route } = decision;
    let attempt: Attempt | undefined;
    let engine: EndpointId | undefined;
    const relay = new ResponseRelay({
      exchange,
      resume: () => {
        attempt?.resume();
      },
      abort: end => {
        attempt?.abort(end);
      },
      onFirstAttemptEvent: () => {
        if (engine !== undefined && head.prompt) {
          this.#options.fleetState.promptRead(engine, head.prompt);
        }
      },
      onFirstEvent: () => {
        this.#options.gatewayMetrics.recordFirstEvent(
          route.id,
          elapsed(journey.arrived, this.#options.timers.now()),
        );
      },
      isStream: route.answer.kind === 'stream',
      lastEventId: head.lastEventId,
    });
    exchange.onDisconnect(() => {
      attempt?.abort({ kind: 'caller-left' });
    });
    for (;;) {
      const choice = this.#choose(journey);
      if (choice.kind === 'none') {
        this.#giveUp(
          journey,
          relay,
          journey.runs > 0 ? 'may-have-run' : 'no-endpoint',
        );
        return;
      }
      if (exchange.hasDisconnected) {
        return;
      }
      engine = choice.entry.id;
      const startedAt = this.#options.timers.now();
      attempt = this.#start(journey, relay, choice);
      const end = await attempt.done;
      const step = this.#settle(
        journey,
        relay,
        choice,
        attempt,
        end,
        startedAt,
      );
      if (step.kind === 'again') {
        continue;
      }
      this.#finish(journey, relay, step, end);
      return;
    }
  }

  #choose(journey: Journey): EndpointChoice {
    const { chooser, timers } = this.#options;
    return chooser.choose(
      {
        service: journey.service,
        prompt: journey.head.prompt,
        tried: journey.tried,
        repeatable: journey.decision.route.repeatable,
      },
      timers.now(),
    );
  }

  #start(
    journey: Journey,
    relay: ResponseRelay,
    choice: Extract<EndpointChoice, { kind: 'endpoint' }>,
  ): Attempt {
    const { endpointProtocol, connectionPool, timers, fleetState } =
      this.#options;
    const { head, decision, body } = journey;
    const { entry } = choice;
    const { route, team } = decision;
    const now = timers.now();
    const headers = endpointProtocol.requestHeaders(head, {
      endpoint: entry.id,
      remaining: milliseconds(Math.max(1, elapsed(now, journey.expires))),
      team: team?.id,
      lastEventId: relay.lastEventId,
      fetchFrom: choice.fetchFrom?.address,
      priority: undefined,
    });
    journey.tried.add(entry.id);
    fleetState.attemptStarted(entry.id, head.prompt);
    let silence: (() => void) | undefined;
    const attempt: Attempt = new Attempt({
      entry,
      requestId: head.requestId,
      request: {
        method: head.method,
        target: head.target,
        headers,
        body: body.length > 0 ? body : undefined,
      },
      repeatable: route.repeatable,
      connectTimeout: connectLimit(
        route.goal,
        this.#options.chooser.untried(journey.service, journey.tried),
      ),
      connectionPool,
      protocol: endpointProtocol,
      sink: relay.sink(),
      now: () => timers.now(),
      onActivity: () => {
        fleetState.signOfLife(entry.id, timers.now());
        silence?.();
        silence = this.#watchSilence(journey, relay, choice, () => attempt);
      },
    });
    silence = this.#watchSilence(journey, relay, choice, () => attempt);
    const cancelExpiry = timers.after(
      milliseconds(Math.max(0, elapsed(now, journey.expires))),
      () => {
        attempt.abort({ kind: 'expired' });
      },
    );
    void attempt.done.then(() => {
      silence?.();
      cancelExpiry();
    });
    return attempt;
  }

  /** Gives a repeatable attempt up when its endpoint says nothing on any connection. */
  #watchSilence(
    journey: Journey,
    relay: ResponseRelay,
    choice: Extract<EndpointChoice, { kind: 'endpoint' }>,
    attempt: () => Attempt,
  ): (() => void) | undefined {
    const { timers, fleetState, chooser } = this.#options;
    const { route } = journey.decision;
    if (!route.repeatable) {
      return undefined;
    }
    const limit = silenceLimit(journey, relay);
    return timers.after(limit, now => {
      const lastSign = fleetState.lastSign(choice.entry.id);
      const isHeard =
        route.answer.kind === 'stream' &&
        lastSign !== undefined &&
        elapsed(lastSign, now) < EVENT_SILENCE / 2;
      const others = chooser.untried(journey.service, journey.tried);
      if (!isHeard && others > 0 && journey.runs + 1 < route.maxAttempts) {
        attempt().abort({ kind: 'silent' });
      }
    });
  }

  #settle(
    journey: Journey,
    relay: ResponseRelay,
    choice: Extract<EndpointChoice, { kind: 'endpoint' }>,
    attempt: Attempt,
    end: AttemptEnd,
    startedAt: Instant,
  ): NextStep {
    const { fleetState, timers, chooser } = this.#options;
    const { route } = journey.decision;
    const now = timers.now();
    const took = elapsed(startedAt, now);
    const { id } = choice.entry;
    fleetState.attemptEnded(
      id,
      end,
      elapsed(startedAt, attempt.respondedAt ?? now),
      attempt.responseHead?.load,
      now,
    );
    if (mayHaveRun(end)) {
      journey.runs += 1;
    } else {
      journey.unrun += 1;
    }
    const step = nextStep({
      end,
      repeatable: route.repeatable,
      runs: journey.runs,
      unrun: journey.unrun,
      maxAttempts: route.maxAttempts,
      untried: chooser.untried(journey.service, journey.tried),
      begun: journey.exchange.hasResponseStarted,
      remaining: milliseconds(Math.max(0, elapsed(now, journey.expires))),
      goal: route.goal,
      takeRepeat: () => fleetState.takeRepeat(journey.service),
    });
    this.#options.gatewayMetrics.recordAttempt(journey.service, end.kind);
    this.#options.log.write('attempt', {
      request: journey.head.requestId,
      route: route.id,
      version: journey.decision.version,
      endpoint: id,
      reason: choice.reason,
      load: Math.round(choice.load * 10) / 10,
      missing: choice.missing,
      fetchFrom: choice.fetchFrom?.id,
      subject: journey.head.prompt && subjectPart(journey.head.prompt)?.id,
      newChannel: attempt.isNewConnection,
      idle: attempt.idleTime,
      keep: attempt.responseHead?.keepAliveTimeout,
      end,
      took: Math.round(took),
      events: relay.events,
      next: step,
    });
    return step;
  }

  #finish(
    journey: Journey,
    relay: ResponseRelay,
    step: NextStep,
    end: AttemptEnd,
  ): void {
    const { exchange } = journey;
    if (step.kind === 'pass-on') {
      const held = relay.bufferedResponse;
      if (held) {
        this.#passOn(journey, held);
      }
    } else if (step.kind === 'give-up') {
      this.#giveUp(journey, relay, step.reason, end);
    }
    this.#options.gatewayMetrics.recordRequest(
      journey.decision.route.id,
      exchange.hasDisconnected ? 'caller-left' : step.kind,
      elapsed(journey.arrived, this.#options.timers.now()),
    );
  }

  /**
   * Gives the caller the endpoint's answer. A status that promises that nothing
   * ran is passed on only from an endpoint that proved it, which is a decline.
   */
  #passOn(
    journey: Journey,
    held: NonNullable<ResponseRelay['bufferedResponse']>,
  ): void {
    if (promisesNotRun(held.status)) {
      this.#refuse(journey.exchange, journey.head, {
        kind: 'may-have-run',
        cause: `endpoint answered ${held.status} without proof`,
      });
      return;
    }
    const { status, headers, body, length } = held;
    if (held.isUnframed && body.length > 0) {
      journey.exchange.respondUnframed(status, headers, body);
      return;
    }
    journey.exchange.respond(status, headers, body, length);
  }

  #giveUp(
    journey: Journey,
    relay: ResponseRelay,
    reason: string,
    end?: AttemptEnd,
  ): void {
    const { exchange, head } = journey;
    const { timers } = this.#options;
    if (exchange.hasResponseStarted) {
      this.#options.log.write('cut', {
        request: head.requestId,
        reason,
        end,
        events: relay.events,
      });
      exchange.abort();
      return;
    }
    const left = milliseconds(
      Math.max(0, elapsed(timers.now(), journey.expires)),
    );
    this.#refuse(exchange, head, this.#refusalFor(reason, left, end, relay));
  }

  #refusalFor(
    reason: string,
    left: Milliseconds,
    end: AttemptEnd | undefined,
    relay: ResponseRelay,
  ): CallerRefusal {
    switch (reason) {
      case 'not-run':
      case 'no-endpoint':
        return this.#notRun(end?.kind ?? reason, left);
      case 'timeout':
        return { kind: 'timeout' };
      default: {
        const failed = relay.bufferedResponse
          ? ` after status ${relay.bufferedResponse.status}`
          : '';
        return {
          kind: 'may-have-run',
          cause: `${end?.kind ?? reason}${failed}`,
        };
      }
    }
  }

  #notRun(cause: string, left: Milliseconds): CallerRefusal {
    const { random } = this.#options;
    const longest = Math.min(LONGEST_RETURN, left * RETURN_SHARE * 0.9);
    const spread = longest * (0.4 + 0.6 * random.fraction());
    return {
      kind: 'not-run',
      cause,
      retryAfter: milliseconds(Math.max(SHORTEST_RETURN, spread)),
    };
  }

  #refuse(
    exchange: CallerExchange,
    head: RequestHead | undefined,
    refusal: CallerRefusal,
    closes = false,
  ): void {
    const { callerProtocol, log, gatewayMetrics, routes } = this.#options;
    gatewayMetrics.recordRefusal(refusal.kind);
    log.write('refused', {
      request: head?.requestId,
      refusal,
      version: routes.version,
      age: routes.age(this.#options.timers.now()),
    });
    exchange.refuse(
      callerProtocol.refusalResponse(refusal, head?.requestId),
      closes,
    );
  }
}

function bodyLimit(limits: CallerLimits | undefined): number {
  return limits?.bodyBytes ?? DEFAULT_BODY_BYTES;
}

function silenceLimit(journey: Journey, relay: ResponseRelay): Milliseconds {
  const { route } = journey.decision;
  if (route.answer.kind === 'whole') {
    return milliseconds(route.goal * WHOLE_SILENCE);
  }
  return relay.events === 0 ? FIRST_EVENT_SILENCE : EVENT_SILENCE;
}

/** Statuses by which a caller takes it that its request did not run. */
function promisesNotRun(status: number): boolean {
  return status === 408 || status === 421 || status === 429 || status === 503;
}
