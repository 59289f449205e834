/** Forwards each caller's request to an endpoint, with retries, and relays the response. */
import type { EndpointPaths } from '@sesamegrade/core/endpoint-paths/endpoint-paths';
import type {
  EndpointChoice,
  EndpointChooser,
} from '@sesamegrade/core/forwarding/endpoint-chooser';
import { connectTimeout } from '@sesamegrade/core/forwarding/connect-timeout';
import { nextStep } from '@sesamegrade/core/forwarding/next-step';
import type { NextStep } from '@sesamegrade/core/forwarding/next-step';
import type { AttemptResult } from '@sesamegrade/core/forwarding/attempt-result';
import type { FleetState } from '@sesamegrade/core/forwarding/fleet-state';
import { mayHaveRun } from '@sesamegrade/core/forwarding/attempt-result';
import { StreamBinding } from '@sesamegrade/core/software-versions/stream-binding';
import type { EndpointDirectory } from '@sesamegrade/core/endpoints/endpoint-directory';
import type { EndpointEntry } from '@sesamegrade/core/endpoints/endpoint-entry';
import { subjectPart } from '@sesamegrade/core/prompts/prompt-chain';
import type { RelayedSuspects } from '@sesamegrade/core/poison/relayed-suspects';
import type { Random } from '@sesamegrade/core/random/random';
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
import type { BackgroundTasks } from '@sesamegrade/core/tasks/background-tasks';
import type { TimerService } from '@sesamegrade/core/time/timer-service';
import { addTime, elapsed, milliseconds } from '@sesamegrade/core/types/units';
import type { Instant, Milliseconds } from '@sesamegrade/core/types/units';
import { teamId } from '@sesamegrade/core/types/ids';
import type {
  EndpointId,
  RequestId,
  ServiceId,
  SoftwareVersion,
} from '@sesamegrade/core/types/ids';
import type { CallerExchange } from '../callers/caller-exchange';
import type {
  RequestHead,
  CallerProtocol,
  CallerRefusal,
} from '../callers/caller-protocol';
import { Attempt } from '../endpoints/attempt';
import type { ConnectionEnd } from '../endpoints/connection-end';
import type { ConnectionPool } from '../endpoints/connection-pool';
import type { ProcessVerification } from '../endpoints/process-verification';
import type { CrashDetector } from '../endpoints/crash-detector';
import type { PathMonitor } from '../tunnels/path-monitor';
import type { EndpointProtocol } from '../endpoints/endpoint-protocol';
import type { DecisionLog } from '../logs/decision-log';
import type { ShutdownSequence } from '../process/shutdown-sequence';
import type { FleetReadiness } from '../store/fleet-readiness';
import type { GatewayMetrics } from '../metrics/gateway-metrics';
import type { AttemptPlacement, Placement } from './attempt-placement';
import { StreamRecording } from '../streams/stream-recording';
import type { StreamRecordingOptions } from '../streams/stream-recording';
import type { StreamResumption } from '../streams/stream-resumption';
import { CrashGuard } from './crash-guard';
import type { HeldBytes, ResponseMemory } from './response-memory';
import { ResponseRelay } from './response-relay';
import { StreamProcessCheck } from './stream-process-check';
import { SilenceWatch } from './silence-watch';

/** Limit of a request body before a configuration sets one; 4 MiB is the deployments' own limit. */
const DEFAULT_MAX_BODY_BYTES = 4_194_304;
/**
 * Age since its last confirmation above which a configuration may be outdated
 * and refuses no request for good.
 */
const MAX_TRUSTED_AGE: Milliseconds = milliseconds(11_000);
/** Largest share of a caller's remaining time that `Retry-After` may take. */
const RETRY_AFTER_SHARE = 1 / 3;
const MIN_RETRY_AFTER = milliseconds(40);
const MAX_RETRY_AFTER = milliseconds(500);
/**
 * Silence of an endpoint, as a multiple of the route's goal, after which a
 * repeatable request is retried elsewhere.
 */
const SILENCE_PER_GOAL = 1.3;
/**
 * Silence before the first event, and between events, after which a resumable
 * stream is continued elsewhere.
 */
const MAX_FIRST_EVENT_SILENCE = milliseconds(1500);
const MAX_EVENT_SILENCE = milliseconds(900);

/**
 * Longest wait of a request for the first configuration, also limited to a
 * share of the caller's timeout.
 */
const MAX_START_WAIT = milliseconds(600);
const START_WAIT_SHARE = 0.25;
/** Stands for the team of requests that need no key. */
const NO_TEAM = teamId('');

type ForwardDecision = Extract<RouteDecision, { kind: 'forward' }>;

export interface ForwarderOptions {
  readonly routes: RouteTable;
  readonly routeHistory: RouteHistory;
  readonly chooser: EndpointChooser;
  readonly attemptPlacement: AttemptPlacement;
  readonly responseMemory: ResponseMemory;
  readonly fleetState: FleetState;
  readonly endpointDirectory: EndpointDirectory;
  readonly streamResumption: StreamResumption;
  readonly streamLedger: StreamRecordingOptions['streamLedger'];
  readonly defaultVersions: StreamRecordingOptions['defaultVersions'];
  readonly connectionPool: ConnectionPool;
  readonly endpointPaths: EndpointPaths;
  readonly pathMonitor: PathMonitor;
  readonly connectionEnd: ConnectionEnd;
  readonly processVerification: ProcessVerification;
  readonly callerProtocol: CallerProtocol;
  readonly endpointProtocol: EndpointProtocol;
  readonly suspects: RelayedSuspects;
  readonly crashDetector: CrashDetector;
  readonly fleetReadiness: FleetReadiness;
  readonly shutdownSequence: ShutdownSequence;
  readonly timers: TimerService;
  readonly random: Random;
  readonly backgroundTasks: BackgroundTasks;
  readonly log: DecisionLog;
  readonly gatewayMetrics: GatewayMetrics;
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
export interface EndedByStop {
  notRun: number;
  mayHaveRun: number;
  cut: number;
}

/** A routed request with the state of its attempts. */
interface ForwardedRequest {
  readonly exchange: CallerExchange;
  readonly head: RequestHead;
  readonly decision: ForwardDecision;
  readonly service: ServiceId;
  readonly body: Buffer;
  readonly arrivedAt: Instant;
  readonly expiresAt: Instant;
  readonly crashGuard: CrashGuard;
  readonly processCheck: StreamProcessCheck;
  readonly tried: Set<EndpointId>;
  /** Binds a stream that may be resumed to the software version that began it. */
  readonly binding: StreamBinding;
  /** Undefined if no stream can be resumed that the request begins or resumes. */
  readonly recording: StreamRecording | undefined;
  readonly accepts: (entry: EndpointEntry) => boolean;
  /** Attempts that may have run. */
  possibleRuns: number;
  /** Attempts that provably did not run. */
  notRun: number;
}

type RoutedRequest = Pick<ForwardedRequest, 'decision' | 'expiresAt' | 'tried'>;

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

  /** Answers all requests that still run, as the process is about to exit. */
  endRunning(): void {
    for (const { exchange, end } of this.#running) {
      if (!exchange.isOver) {
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
        this.#refuseAsStopping(exchange, running.head);
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
    const { callerProtocol, timers, routes } = this.#options;
    const arrivedAt = timers.now();
    const parsed = callerProtocol.readHead(
      exchange.method,
      exchange.target,
      exchange.headers,
    );
    if (!parsed.ok) {
      this.#refuse(exchange, undefined, {
        kind: 'malformed',
        detail: parsed.failure.detail,
      });
      return;
    }
    const head = parsed.value;
    running.head = head;
    exchange.requestId = head.requestId;
    const body = await exchange.readBody(bodyLimit(routes.limits));
    if (body.kind === 'truncated') {
      return;
    }
    if (body.kind === 'too-large') {
      this.#refuse(exchange, head, { kind: 'body-too-large' }, true);
      return;
    }
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
      this.#refuse(exchange, head, this.#routeRefusal(decision, head));
      return;
    }
    const { route } = decision;
    const timeout = Math.min(
      route.timeout,
      head.callerTimeout ?? route.timeout,
    );
    const expiresAt = addTime(arrivedAt, milliseconds(timeout));
    if (!this.#mayAttempt({ decision, expiresAt, tried: new Set() })) {
      this.#refuseAsStopping(exchange, head);
      return;
    }
    await this.#forward(running, head, decision, body.body, {
      arrivedAt,
      expiresAt,
    });
  }

  /** Whether a router that is stopping has the time for an attempt of the request. */
  #mayAttempt({
    decision: { route },
    expiresAt,
    tried,
  }: RoutedRequest): boolean {
    const { shutdownSequence, timers } = this.#options;
    const { answer, repeatable, latencyGoal } = route;
    const query = { answer, repeatable, expiresAt };
    return tried.size === 0
      ? shutdownSequence.accepts(query, timers.now())
      : shutdownSequence.continues(query, latencyGoal, timers.now());
  }

  /** Time until the request has to be answered. */
  #remaining({ expiresAt }: Pick<ForwardedRequest, 'expiresAt'>): Milliseconds {
    const { shutdownSequence, timers } = this.#options;
    const answersBy = shutdownSequence.answersBy ?? expiresAt;
    const end = answersBy < expiresAt ? answersBy : expiresAt;
    return milliseconds(Math.max(0, elapsed(timers.now(), end)));
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
      return this.#notRunRefusal(
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
    body: Buffer,
    times: Pick<ForwardedRequest, 'arrivedAt' | 'expiresAt'>,
  ): Promise<void> {
    const { exchange } = running;
    const { route } = decision;
    const binding = new StreamBinding();
    const isResumed = isResumable(route) && isResumption(head);
    const target = isResumed
      ? await this.#resumedTarget(head, decision, binding)
      : this.#newTarget(head, decision);
    if (exchange.isOver) {
      return;
    }
    if (!target) {
      this.#refuse(
        exchange,
        head,
        isResumed
          ? this.#notRunRefusal(
              'unknown-stream',
              elapsed(times.arrivedAt, times.expiresAt),
            )
          : this.#notRunRefusal('no-service', route.timeout),
      );
      return;
    }
    if (head.prompt) {
      const { chooser, timers } = this.#options;
      chooser.recordPrompt(target.service, head.prompt, timers.now());
    }
    const request: ForwardedRequest = {
      exchange,
      head,
      decision,
      service: target.service,
      body,
      ...times,
      crashGuard: new CrashGuard(this.#options, {
        route: route.id,
        service: target.service,
        method: head.method,
        target: head.target,
        team: decision.team?.id,
        body,
        prompt: head.prompt,
      }),
      processCheck: new StreamProcessCheck(this.#options, head.requestId),
      tried: new Set(),
      binding,
      recording: isResumable(route)
        ? new StreamRecording(this.#options, {
            request: head.requestId,
            service: target.service,
            isResumption: isResumed,
          })
        : undefined,
      accepts: entry => binding.accepts(entry),
      possibleRuns: 0,
      notRun: 0,
    };
    this.#options.fleetState.onRequestStarted(target.service);
    const memory = this.#options.responseMemory.open();
    try {
      await this.#runAttempts(request, running, memory);
    } finally {
      memory.release();
    }
  }

  async #runAttempts(
    request: ForwardedRequest,
    running: RunningRequest,
    memory: HeldBytes,
  ): Promise<void> {
    const { exchange, head, decision } = request;
    const { route } = decision;
    let attempt: Attempt | undefined;
    let current: EndpointEntry | undefined;
    const relay: ResponseRelay = new ResponseRelay({
      exchange,
      memory,
      resume: () => {
        attempt?.resume();
      },
      abort: result => {
        attempt?.abort(result);
      },
      isAccepted: () => !current || this.#canHaveSent(request, current),
      admit: () =>
        !current ||
        !attempt ||
        this.#mayPassOn(request, relay, current, attempt),
      onFirstAttemptEvent: () => {
        if (current && head.prompt) {
          this.#options.fleetState.onPromptRead(current.id, head.prompt);
        }
      },
      onSoundProgress: () => {
        request.crashGuard.recordSound();
      },
      onFirstEvent: () => {
        if (current) {
          this.#onStreamBegun(request, current);
        }
        this.#options.gatewayMetrics.recordFirstEvent(
          route.id,
          elapsed(request.arrivedAt, this.#options.timers.now()),
        );
      },
      isStream: route.answer.kind === 'stream',
      lastEventId: head.lastEventId,
      isResumption: isResumable(route) && isResumption(head),
    });
    exchange.onDisconnect(() => {
      attempt?.abort({ kind: 'caller-left' });
    });
    running.end = () => {
      if (attempt && !attempt.hasEnded) {
        const { wasSent } = attempt;
        attempt.abort({ kind: 'stopping', wasSent });
        return;
      }
      // The result of an attempt that has ended is being examined, and not counted yet.
      request.possibleRuns += attempt?.wasSent ? 1 : 0;
      this.#giveUpAsStopping(request, relay);
    };
    for (;;) {
      const decision = request.crashGuard.decide();
      if (decision.kind === 'refuse') {
        this.#refuseSuspect(request, relay, decision.retryAfter);
        return;
      }
      const placement = await this.#place(request);
      if (exchange.isOver) {
        releaseUnused(placement);
        return;
      }
      if (!this.#mayAttempt(request)) {
        releaseUnused(placement);
        this.#giveUpAsStopping(request, relay);
        return;
      }
      if (placement.kind === 'none') {
        this.#giveUpWithoutEndpoint(request, relay, placement);
        return;
      }
      const { choice, permit } = placement;
      if (permit !== undefined) {
        this.#options.log.write('permit', {
          request: head.requestId,
          endpoint: choice.entry.id,
          source: permit.source,
        });
      }
      current = choice.entry;
      const startedAt = this.#options.timers.now();
      const eventsBefore = relay.events;
      if (decision.kind === 'trial') {
        request.crashGuard.recordTrial();
      }
      attempt = this.#startAttempt(request, relay, choice);
      const result = await this.#settle(relay, choice.entry, attempt);
      permit?.release(isRejectionForRoom(result));
      if (relay.events > eventsBefore) {
        this.#checkVersion(request, choice.entry);
        this.#checkProcess(request, choice.entry, attempt, result);
      }
      await request.crashGuard.recordEnd(choice.entry, {
        result,
        events: relay.events - eventsBefore,
        isFramed: attempt.responseHead?.framing !== 'connection',
      });
      const step = this.#onAttemptEnd(
        request,
        relay,
        choice,
        attempt,
        result,
        startedAt,
      );
      if (step.kind === 'again') {
        attempt = undefined;
        continue;
      }
      this.#finish(request, relay, step, result);
      return;
    }
  }

  /**
   * Waits for the end of an attempt. One that only the end of its connection marks is
   * passed on if the endpoint made it; the caller's response then ends with a mark.
   */
  async #settle(
    relay: ResponseRelay,
    entry: EndpointEntry,
    attempt: Attempt,
  ): Promise<AttemptResult> {
    const result = await attempt.done;
    const { responseHead, via } = attempt;
    if (result.kind !== 'unproven-end' || !responseHead) {
      return result;
    }
    const isProven = await this.#options.connectionEnd.isMadeByEndpoint(
      entry,
      via,
    );
    return isProven
      ? relay.finish(responseHead)
      : { kind: 'broken', breakage: 'process-end' };
  }

  #newTarget(
    head: RequestHead,
    { route }: ForwardDecision,
  ): RouteTarget | undefined {
    return isResumable(route)
      ? pickStreamTarget(route, head.requestId)
      : pickTarget(route, this.#options.random.fraction());
  }

  /** Binds a stream to its origin; returns undefined if that is not known or no longer on the route. */
  async #resumedTarget(
    head: RequestHead,
    { route }: ForwardDecision,
    binding: StreamBinding,
  ): Promise<RouteTarget | undefined> {
    const { streamResumption, routeHistory, timers, log } = this.#options;
    const begin = timers.now();
    const finding = await streamResumption.originOf(
      () => routeHistory.servicesOf(head, head.begunBy, timers.now()),
      head.begunBy,
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
    binding.bind(origin.version);
    return route.targets.find(({ service }) => service === origin.service);
  }

  /**
   * Whether the first event of an attempt may be passed on. Resolves with false if it must
   * not be, which ends the attempt.
   */
  #mayPassOn(
    request: ForwardedRequest,
    relay: ResponseRelay,
    entry: EndpointEntry,
    attempt: Attempt,
  ): true | Promise<boolean> {
    const isSent = this.#hasSent(request, entry, attempt);
    const isAdmitted = relay.events > 0 || this.#admit(request, entry, attempt);
    return (
      (isSent === true && isAdmitted === true) ||
      Promise.all([isSent, isAdmitted]).then(verdicts =>
        verdicts.every(Boolean),
      )
    );
  }

  /** Whether a stream may begin with an event of an endpoint; resolves with false if it has ended the attempt. */
  #admit(
    { recording }: ForwardedRequest,
    entry: EndpointEntry,
    attempt: Attempt,
  ): true | Promise<boolean> {
    const version = this.#versionOf(entry);
    return (
      !recording ||
      recording.isAdmitted(version) ||
      this.#admitRecorded(recording, entry, attempt)
    );
  }

  async #admitRecorded(
    recording: StreamRecording,
    entry: EndpointEntry,
    attempt: Attempt,
  ): Promise<boolean> {
    const version = this.#versionOf(entry);
    const isAdmitted = await recording.admit(version);
    if (attempt.hasEnded) {
      return false;
    }
    if (isAdmitted && this.#versionOf(entry) === version) {
      return true;
    }
    attempt.abort({ kind: 'withdrawn' });
    return false;
  }

  /** The first event decides which endpoints can continue the stream. */
  #onStreamBegun(
    { binding, recording, head, service }: ForwardedRequest,
    entry: EndpointEntry,
  ): void {
    if (!recording) {
      return;
    }
    binding.bind(this.#versionOf(entry));
    const { version } = binding;
    if (version === undefined) {
      return;
    }
    const endpoint = entry.id;
    for (const request of namesOfStream(head)) {
      const record = request === head.requestId ? recording.record : {};
      this.#options.streamResumption.recordBegin({
        request,
        service,
        version,
        endpoint,
        ...record,
      });
    }
  }

  /** The version of the endpoint that was chosen; undefined if it has changed since. */
  #versionOf({
    id,
    softwareVersion,
  }: EndpointEntry): SoftwareVersion | undefined {
    const current = this.#options.endpointDirectory.get(id);
    if (!current || softwareVersion === undefined) {
      return softwareVersion ?? current?.softwareVersion;
    }
    return current.softwareVersion === softwareVersion
      ? softwareVersion
      : undefined;
  }

  /** Whether events of an endpoint can belong to the stream: it may have restarted with another version. */
  #canHaveSent({ binding }: ForwardedRequest, { id }: EndpointEntry): boolean {
    const current = this.#options.endpointDirectory.get(id);
    return !current || binding.accepts(current);
  }

  /** Revokes the version of a stream if its events may come from another one. */
  #checkVersion(request: ForwardedRequest, entry: EndpointEntry): void {
    if (!this.#canHaveSent(request, entry)) {
      this.#revoke(request);
    }
  }

  #revoke({ head, binding }: ForwardedRequest): void {
    binding.revoke();
    for (const id of namesOfStream(head)) {
      this.#options.streamResumption.revokeBegin(id);
    }
  }

  /**
   * Whether the process of the endpoint's entry has sent the first event of an attempt, as
   * far as can be found out; if it has not, the attempt is withdrawn.
   */
  #hasSent(
    request: ForwardedRequest,
    entry: EndpointEntry,
    attempt: Attempt,
  ): true | Promise<boolean> {
    const { binding, decision, processCheck } = request;
    if (!isResumable(decision.route)) {
      return true;
    }
    const connection = { entry, establishedAt: attempt.establishedAt };
    const verdict = binding.isBound
      ? processCheck.mayContinue(connection)
      : processCheck.mayBegin(connection);
    return (
      verdict === true ||
      verdict.then(isSame => {
        if (isSame && this.#canHaveSent(request, entry)) {
          return !attempt.hasEnded;
        }
        attempt.abort({ kind: 'withdrawn' });
        return false;
      })
    );
  }

  /** A stream that ended early may be continued, which needs the version that sent it. */
  #checkProcess(
    request: ForwardedRequest,
    entry: EndpointEntry,
    { establishedAt }: Attempt,
    { kind }: AttemptResult,
  ): void {
    const { binding, processCheck } = request;
    const isOver = kind === 'delivered' || binding.version === undefined;
    if (!isOver) {
      processCheck.afterAttempt({ entry, establishedAt }, () => {
        this.#revoke(request);
      });
    }
  }

  #refuseSuspect(
    request: ForwardedRequest,
    relay: ResponseRelay,
    retryAfter: Milliseconds,
  ): void {
    if (request.possibleRuns > 0 || request.exchange.hasResponseStarted) {
      this.#giveUp(request, relay, 'may-have-run');
      return;
    }
    this.#refuse(request.exchange, request.head, {
      kind: 'not-run',
      cause: 'crashes-endpoints',
      retryAfter,
    });
  }

  #place(request: ForwardedRequest): Promise<Placement> {
    const { attemptPlacement } = this.#options;
    const { route, team } = request.decision;
    return attemptPlacement.place(
      {
        service: request.service,
        prompt: request.head.prompt,
        tried: request.tried,
        accepts: request.accepts,
        beginsStream: isResumable(route) && !request.binding.isBound,
        repeatable: route.repeatable,
      },
      {
        team: team?.id ?? NO_TEAM,
        rank: team?.priority ?? route.priority,
        goal: route.latencyGoal,
        remaining: this.#remaining(request),
      },
    );
  }

  #giveUpWithoutEndpoint(
    request: ForwardedRequest,
    relay: ResponseRelay,
    { retryAfter }: Extract<Placement, { kind: 'none' }>,
  ): void {
    if (request.possibleRuns > 0 || request.exchange.hasResponseStarted) {
      this.#giveUp(request, relay, 'may-have-run');
    } else if (retryAfter === undefined) {
      this.#giveUp(request, relay, 'no-endpoint');
    } else {
      this.#refuse(request.exchange, request.head, {
        kind: 'not-run',
        cause: 'no-permit',
        retryAfter: milliseconds(Math.max(MIN_RETRY_AFTER, retryAfter)),
      });
    }
  }

  #startAttempt(
    request: ForwardedRequest,
    relay: ResponseRelay,
    choice: Extract<EndpointChoice, { kind: 'endpoint' }>,
  ): Attempt {
    const {
      endpointProtocol,
      connectionPool,
      timers,
      fleetState,
      processVerification,
    } = this.#options;
    const { head, decision, body } = request;
    const { entry } = choice;
    const { route, team } = decision;
    const now = timers.now();
    const headers = endpointProtocol.requestHeaders(head, {
      endpoint: entry.id,
      remaining: milliseconds(Math.max(1, this.#remaining(request))),
      team: team?.id,
      lastEventId: relay.lastEventId,
      fetchFrom: choice.fetchFrom?.address,
      priority: undefined,
    });
    request.tried.add(entry.id);
    if (relay.events === 0) {
      request.recording?.announce(this.#versionOf(entry));
    }
    fleetState.onAttemptStarted(entry.id, head.prompt);
    const silenceWatch = route.repeatable
      ? this.#watchSilence(request, relay, choice, () => attempt)
      : undefined;
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
      connectTimeout: connectTimeout(
        route.latencyGoal,
        this.#options.chooser.untried(request, now),
      ),
      connectionPool,
      protocol: endpointProtocol,
      sink: relay.sink(),
      now: () => timers.now(),
      onResponseHead: responseHead => {
        fleetState.onStatement(entry, responseHead, now);
        if (responseHead.requestId === head.requestId) {
          processVerification.onResponse(entry, attempt.establishedAt, now);
        }
      },
      onActivity: () => {
        fleetState.recordActivity(entry.id, timers.now());
        silenceWatch?.restart();
      },
    });
    silenceWatch?.restart();
    const cancelExpiry = timers.after(
      milliseconds(Math.max(0, elapsed(now, request.expiresAt))),
      () => {
        attempt.abort({ kind: 'expired' });
      },
    );
    const cancelCheck = this.#options.pathMonitor.watch(entry);
    this.#options.backgroundTasks.run('attempt-end', async () => {
      await attempt.done;
      silenceWatch?.stop();
      cancelExpiry();
      cancelCheck();
    });
    return attempt;
  }

  /**
   * Watches a repeatable attempt. A stream is spared while its endpoint still sends
   * on another connection, unless that leads another way as the path of this one is cut.
   */
  #watchSilence(
    request: ForwardedRequest,
    relay: ResponseRelay,
    { entry }: Extract<EndpointChoice, { kind: 'endpoint' }>,
    attempt: () => Attempt,
  ): SilenceWatch {
    const { timers, fleetState, chooser, endpointPaths } = this.#options;
    const { route } = request.decision;
    return new SilenceWatch({
      timers,
      limit: () => silenceLimit(request, relay),
      wasSent: () => attempt().wasSent,
      isHopeless: now => {
        const isPathCut =
          attempt().via === undefined && endpointPaths.isCut(entry.address);
        const lastActivityAt = fleetState.lastActivityAt(entry.id);
        const isResponsive =
          route.answer.kind === 'stream' &&
          !isPathCut &&
          lastActivityAt !== undefined &&
          elapsed(lastActivityAt, now) < MAX_EVENT_SILENCE / 2;
        return (
          !isResponsive &&
          this.#mayAttempt(request) &&
          // A retry at an endpoint with a limit may get no permit.
          chooser.unlimited(request, now) > 0 &&
          request.possibleRuns + 1 < route.maxAttempts
        );
      },
      abort: () => {
        this.#options.log.write('silent', {
          request: request.head.requestId,
          endpoint: entry.id,
          limit: Math.round(silenceLimit(request, relay)),
          events: relay.events,
          possibleRuns: request.possibleRuns,
          untried: chooser.untried(request, timers.now()),
        });
        attempt().abort({ kind: 'silent' });
      },
    });
  }

  #onAttemptEnd(
    request: ForwardedRequest,
    relay: ResponseRelay,
    choice: Extract<EndpointChoice, { kind: 'endpoint' }>,
    attempt: Attempt,
    result: AttemptResult,
    startedAt: Instant,
  ): NextStep {
    const { fleetState, timers, chooser } = this.#options;
    const { route } = request.decision;
    const now = timers.now();
    const took = elapsed(startedAt, now);
    const { id } = choice.entry;
    fleetState.onAttemptEnded(
      id,
      result,
      elapsed(startedAt, attempt.respondedAt ?? now),
      attempt.responseHead?.load,
      now,
    );
    if (result.kind === 'declined' && result.decline === 'other-instance') {
      fleetState.onReplaced(choice.entry);
    }
    if (mayHaveRun(result)) {
      request.possibleRuns += 1;
    } else {
      request.notRun += 1;
    }
    const step = nextStep({
      result,
      repeatable: route.repeatable,
      possibleRuns: request.possibleRuns,
      notRun: request.notRun,
      maxAttempts: route.maxAttempts,
      untried: chooser.untried(request, now),
      responseStarted: request.exchange.hasResponseStarted,
      isContinuable: !request.exchange.hasResponseStarted || relay.events > 0,
      remaining: this.#mayAttempt(request)
        ? this.#remaining(request)
        : milliseconds(0),
      goal: route.latencyGoal,
      takeRetry: () =>
        request.crashGuard.decide().kind === 'run' &&
        fleetState.takeRetry(request.service),
    });
    this.#options.gatewayMetrics.recordAttempt(request.service, result.kind);
    this.#options.log.write('attempt', {
      request: request.head.requestId,
      route: route.id,
      version: request.decision.version,
      endpoint: id,
      reason: choice.reason,
      load: Math.round(choice.load * 10) / 10,
      missing: choice.missing,
      fetchFrom: choice.fetchFrom?.id,
      subject: request.head.prompt && subjectPart(request.head.prompt)?.id,
      newChannel: attempt.isNewConnection,
      via: attempt.via,
      idle: attempt.idleTime,
      keep: attempt.responseHead?.keepAliveTimeout,
      framing: attempt.responseHead?.framing,
      end: result,
      took: Math.round(took),
      events: relay.events,
      held: relay.heldBytes || undefined,
      next: step,
    });
    return step;
  }

  #finish(
    request: ForwardedRequest,
    relay: ResponseRelay,
    step: NextStep,
    result: AttemptResult,
  ): void {
    const { exchange } = request;
    if (result.kind === 'stopping') {
      this.#giveUpAsStopping(request, relay);
    } else if (step.kind === 'pass-on' && !exchange.isOver) {
      const response = relay.bufferedResponse;
      if (response) {
        this.#passResponseOn(request, response);
      }
    } else if (step.kind === 'give-up' && !exchange.isOver) {
      this.#giveUp(request, relay, step.reason, result);
    }
    this.#options.gatewayMetrics.recordRequest(
      request.decision.route.id,
      exchange.hasDisconnected ? 'caller-left' : step.kind,
      elapsed(request.arrivedAt, this.#options.timers.now()),
    );
  }

  /**
   * Sends the caller the endpoint's response. A status by which callers assume that
   * nothing ran is not passed on: an attempt whose response proves that ends
   * as `declined`, so this response comes without proof.
   */
  #passResponseOn(
    request: ForwardedRequest,
    response: NonNullable<ResponseRelay['bufferedResponse']>,
  ): void {
    const { head, body } = response;
    if (promisesNotRun(head.status)) {
      this.#refuse(request.exchange, request.head, {
        kind: 'may-have-run',
        cause: `endpoint answered ${head.status} without proof`,
      });
      return;
    }
    request.exchange.respond(head, body);
  }

  /** Answers a request for which a router that is stopping has no time left. */
  #giveUpAsStopping(request: ForwardedRequest, relay: ResponseRelay): void {
    const { exchange, head, possibleRuns } = request;
    if (exchange.hasResponseStarted) {
      this.#endedByStop.cut += 1;
      this.#giveUp(request, relay, 'stopping');
    } else if (possibleRuns > 0) {
      this.#endedByStop.mayHaveRun += 1;
      this.#refuse(exchange, head, { kind: 'may-have-run', cause: 'stopping' });
    } else {
      this.#endedByStop.notRun += 1;
      this.#refuseAsStopping(exchange, head);
    }
  }

  /** Other routers are free, so that the caller need not wait. */
  #refuseAsStopping(
    exchange: CallerExchange,
    head: RequestHead | undefined,
  ): void {
    this.#refuse(exchange, head, {
      kind: 'not-run',
      cause: 'stopping',
      retryAfter: MIN_RETRY_AFTER,
    });
  }

  #giveUp(
    request: ForwardedRequest,
    relay: ResponseRelay,
    reason: string,
    result?: AttemptResult,
  ): void {
    const { exchange, head } = request;
    const { timers } = this.#options;
    if (exchange.hasResponseStarted) {
      this.#options.log.write('cut', {
        request: head.requestId,
        reason,
        end: result,
        events: relay.events,
      });
      exchange.abort();
      return;
    }
    if (reason === 'not-run' && !this.#mayAttempt(request)) {
      this.#refuseAsStopping(exchange, head);
      return;
    }
    const remaining = milliseconds(
      Math.max(0, elapsed(timers.now(), request.expiresAt)),
    );
    const holdTime = this.#options.chooser.holdTime(
      request.service,
      timers.now(),
    );
    this.#refuse(
      exchange,
      head,
      this.#refusalFor(reason, remaining, result, relay, holdTime),
    );
  }

  #refusalFor(
    reason: string,
    remaining: Milliseconds,
    result: AttemptResult | undefined,
    relay: ResponseRelay,
    holdTime: Milliseconds | undefined,
  ): CallerRefusal {
    switch (reason) {
      case 'not-run':
      case 'no-endpoint':
        return this.#notRunRefusal(result?.kind ?? reason, remaining, holdTime);
      case 'timeout':
        return { kind: 'timeout' };
      default: {
        const afterStatus = relay.bufferedResponse
          ? ` after status ${relay.bufferedResponse.head.status}`
          : '';
        return {
          kind: 'may-have-run',
          cause: `${result?.kind ?? reason}${afterStatus}`,
        };
      }
    }
  }

  /** `holdTime` is the time before which no endpoint takes the request. */
  #notRunRefusal(
    cause: string,
    remaining: Milliseconds,
    holdTime: Milliseconds = milliseconds(0),
  ): CallerRefusal {
    const { random } = this.#options;
    const maxDelay = Math.min(
      MAX_RETRY_AFTER,
      remaining * RETRY_AFTER_SHARE * 0.9,
    );
    const jittered = maxDelay * (0.4 + 0.6 * random.fraction());
    return {
      kind: 'not-run',
      cause,
      retryAfter: milliseconds(
        holdTime > 0
          ? holdTime + jittered
          : Math.max(MIN_RETRY_AFTER, jittered),
      ),
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
      age: routes.timeSinceConfirmed(this.#options.timers.now()),
    });
    exchange.refuse(
      callerProtocol.refusalResponse(refusal, head?.requestId),
      closes,
    );
  }
}

function releaseUnused(placement: Placement): void {
  if (placement.kind === 'endpoint') {
    placement.permit?.release(false);
  }
}

/** Whether the caller has events of the stream already. */
function isResumption({ lastEventId }: RequestHead): boolean {
  return lastEventId !== undefined && lastEventId > 0;
}

/** The requests by which a caller may name the stream when it resumes it. */
function namesOfStream(head: RequestHead): RequestId[] {
  const { requestId, begunBy } = head;
  return begunBy !== undefined && isResumption(head)
    ? [begunBy, requestId]
    : [requestId];
}

function isRejectionForRoom(result: AttemptResult): boolean {
  return result.kind === 'declined' && result.decline === 'full';
}

function bodyLimit(limits: CallerLimits | undefined): number {
  return limits?.bodyBytes ?? DEFAULT_MAX_BODY_BYTES;
}

function silenceLimit(
  request: ForwardedRequest,
  relay: ResponseRelay,
): Milliseconds {
  const { route } = request.decision;
  if (route.answer.kind === 'whole') {
    return milliseconds(route.latencyGoal * SILENCE_PER_GOAL);
  }
  return relay.events === 0 ? MAX_FIRST_EVENT_SILENCE : MAX_EVENT_SILENCE;
}

/** Statuses from which callers conclude that their request did not run. */
function promisesNotRun(status: number): boolean {
  return status === 408 || status === 421 || status === 429 || status === 503;
}
