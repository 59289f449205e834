/**
 * Runs one routed request: places its attempts, relays their responses to the caller, and
 * decides at each end of an attempt what follows.
 */
import type { EndpointPaths } from '@sesamegrade/core/endpoint-paths/endpoint-paths';
import type {
  EndpointChoice,
  EndpointChooser,
} from '@sesamegrade/core/forwarding/endpoint-chooser';
import type { AttemptResult } from '@sesamegrade/core/forwarding/attempt-result';
import { mayHaveRun } from '@sesamegrade/core/forwarding/attempt-result';
import {
  ConcurrentAttempts,
  isTakenOver,
} from '@sesamegrade/core/forwarding/concurrent-attempts';
import type {
  AttemptDecision,
  AttemptEnding,
} from '@sesamegrade/core/forwarding/concurrent-attempts';
import { connectTimeout } from '@sesamegrade/core/forwarding/connect-timeout';
import type { FleetState } from '@sesamegrade/core/forwarding/fleet-state';
import { nextStep } from '@sesamegrade/core/forwarding/next-step';
import type { NextStep } from '@sesamegrade/core/forwarding/next-step';
import type { EndpointEntry } from '@sesamegrade/core/endpoints/endpoint-entry';
import { subjectPart } from '@sesamegrade/core/prompts/prompt-chain';
import type { RouteDecision } from '@sesamegrade/core/routes/route-table';
import type { BackgroundTasks } from '@sesamegrade/core/tasks/background-tasks';
import { Mailbox } from '@sesamegrade/core/tasks/mailbox';
import type { TimerService } from '@sesamegrade/core/time/timer-service';
import { elapsed, milliseconds } from '@sesamegrade/core/types/units';
import type { Instant, Milliseconds } from '@sesamegrade/core/types/units';
import { teamId } from '@sesamegrade/core/types/ids';
import type { EndpointId, ServiceId } from '@sesamegrade/core/types/ids';
import type { CallerExchange } from '../callers/caller-exchange';
import type { CallerRefusal, RequestHead } from '../callers/caller-protocol';
import type { RequestBody } from '../callers/request-body';
import { Attempt } from '../endpoints/attempt';
import type { ResponseSink } from '../endpoints/attempt';
import type { ConnectionEnd } from '../endpoints/connection-end';
import type { ConnectionPool } from '../endpoints/connection-pool';
import type {
  EndpointProtocol,
  ResponseHead,
} from '../endpoints/endpoint-protocol';
import type { ProcessVerification } from '../endpoints/process-verification';
import type { DecisionLog } from '../logs/decision-log';
import type { GatewayMetrics } from '../metrics/gateway-metrics';
import type { ShutdownSequence } from '../process/shutdown-sequence';
import type { PathMonitor } from '../tunnels/path-monitor';
import type { AdmissionGate, PendingAdmission } from './admission-gate';
import type { AttemptPlacement, Placement } from './attempt-placement';
import { CrashGuard } from './crash-guard';
import type { CrashGuardOptions } from './crash-guard';
import { MIN_RETRY_AFTER } from './refusals';
import type { Refusals } from './refusals';
import type { ResponseMemory } from './response-memory';
import { ResponseRelay } from './response-relay';
import { SilenceWatch } from './silence-watch';
import type { StreamGuard } from './stream-guard';
import type { StreamGuardOptions } from './stream-guard';

/**
 * Silence of an endpoint, as a multiple of the route's goal, after which a
 * repeatable request is tried elsewhere.
 */
const SILENCE_PER_GOAL = 1.3;
/**
 * Silence before the first event, and between events, after which a resumable
 * stream is tried elsewhere.
 */
const MAX_FIRST_EVENT_SILENCE: Milliseconds = milliseconds(1500);
const MAX_EVENT_SILENCE: Milliseconds = milliseconds(900);
/**
 * Time for which an endpoint may go on with a stream after another one has begun to
 * respond: both work on it.
 */
const MAX_OVERLAP: Milliseconds = milliseconds(300);
const STATUS_OK = 200;
const MIN_SERVER_ERROR_STATUS = 500;
/** Stands for the team of requests that need no key. */
const NO_TEAM = teamId('');

export type ForwardDecision = Extract<RouteDecision, { kind: 'forward' }>;

type EndpointSelection = Extract<EndpointChoice, { kind: 'endpoint' }>;

export interface RequestRunOptions
  extends StreamGuardOptions, CrashGuardOptions {
  readonly chooser: EndpointChooser;
  readonly attemptPlacement: AttemptPlacement;
  readonly admissionGate: AdmissionGate;
  readonly responseMemory: ResponseMemory;
  readonly fleetState: FleetState;
  readonly connectionPool: ConnectionPool;
  readonly endpointPaths: EndpointPaths;
  readonly pathMonitor: PathMonitor;
  readonly connectionEnd: ConnectionEnd;
  readonly processVerification: ProcessVerification;
  readonly endpointProtocol: EndpointProtocol;
  readonly shutdownSequence: ShutdownSequence;
  readonly refusals: Refusals;
  readonly timers: TimerService;
  readonly backgroundTasks: BackgroundTasks;
  readonly log: DecisionLog;
  readonly gatewayMetrics: GatewayMetrics;
}

/** A request whose service is decided. */
export interface RoutedRequest {
  readonly exchange: CallerExchange;
  readonly head: RequestHead;
  readonly decision: ForwardDecision;
  readonly service: ServiceId;
  readonly body: RequestBody;
  readonly arrivedAt: Instant;
  readonly expiresAt: Instant;
  readonly streamGuard: StreamGuard;
  /** Whether the caller resumes a stream of which it has events. */
  readonly isResumption: boolean;
}

/** What the caller got of a request that ended only because the process exits. */
export type StopOutcome = 'notRun' | 'mayHaveRun' | 'cut';

/** An attempt whose end has not been handled. */
interface RunningAttempt {
  readonly attempt: Attempt;
  readonly sink: ResponseSink;
  readonly choice: EndpointSelection;
  readonly startedAt: Instant;
  /** Number of its events that were passed on. */
  events: number;
  /** Whether it was given up for another attempt. */
  isCancelled: boolean;
}

type RunEvent =
  | {
      readonly kind: 'placed';
      readonly placement: Placement;
      readonly isTrial: boolean;
    }
  | {
      readonly kind: 'ended';
      readonly run: RunningAttempt;
      readonly result: AttemptResult;
    }
  | { readonly kind: 'failed'; readonly error: unknown };

export class RequestRun {
  readonly #options: RequestRunOptions;
  readonly #request: RoutedRequest;
  readonly #onEndedByStop: (outcome: StopOutcome) => void;
  readonly #attempts = new ConcurrentAttempts<RunningAttempt>();
  readonly #events = new Mailbox<RunEvent>();
  readonly #crashGuard: CrashGuard;
  readonly #relay: ResponseRelay;
  readonly #memory: ReturnType<ResponseMemory['open']>;
  readonly #tried = new Set<EndpointId>();
  /** Set while the request waits for a slot of its service. */
  #pendingAdmission: PendingAdmission | undefined;
  /** Time for which it has waited. */
  #waited: Milliseconds | undefined;
  /** Attempts that have ended and may have run. */
  #possibleRuns = 0;
  /** Attempts that provably did not run. */
  #notRun = 0;

  constructor(
    options: RequestRunOptions,
    request: RoutedRequest,
    onEndedByStop: (outcome: StopOutcome) => void,
  ) {
    this.#options = options;
    this.#request = request;
    this.#onEndedByStop = onEndedByStop;
    const { exchange, head, decision, service, body } = request;
    const { route, team } = decision;
    this.#crashGuard = new CrashGuard(options, {
      route: route.id,
      service,
      method: head.method,
      target: head.target,
      team: team?.id,
      body,
      prompt: head.prompt,
    });
    body.onRelease(() => {
      this.#crashGuard.onBodyReleased();
    });
    this.#memory = options.responseMemory.open();
    this.#relay = new ResponseRelay({
      exchange,
      memory: this.#memory,
      isStream: route.answer.kind === 'stream',
      lastEventId: head.lastEventId,
      isResumption: request.isResumption,
    });
  }

  /** Resolves when the request needs no further work. */
  async run(): Promise<void> {
    this.#request.exchange.onDisconnect(() => {
      this.#pendingAdmission?.cancel();
      this.#abortAll(() => ({ kind: 'caller-left' }));
    });
    try {
      const pending = this.#enterGate();
      if (pending && !(await this.#isAdmitted(pending))) {
        return;
      }
      this.#options.fleetState.onRequestStarted(this.#request.service);
      this.#placeAnother();
      while (!this.#attempts.isSettled) {
        this.#onEvent(await this.#events.take());
      }
    } finally {
      // Nothing runs any more unless the request failed.
      this.#abortAll(() => ({ kind: 'caller-left' }));
      this.#releaseMemory();
      // No attempt is left whose content could matter.
      this.#request.body.onRelease(undefined);
    }
  }

  /** What the caller has not read yet counts until it is sent. */
  #releaseMemory(): void {
    const { exchange } = this.#request;
    this.#memory.set(exchange.unsentBytes);
    exchange.onSent(() => {
      this.#memory.release();
    });
  }

  /** Answers the request before the process exits. */
  endAsStopping(): void {
    const isRunning = this.#attempts.running.some(
      ({ attempt }) => !attempt.hasEnded,
    );
    if (isRunning) {
      this.#abortAll(({ wasSent }) => ({ kind: 'stopping', wasSent }));
      return;
    }
    this.#pendingAdmission?.cancel();
    // The results of attempts that have ended may be being examined, and not counted yet.
    this.#giveUpAsStopping();
  }

  /**
   * Asks whether the request may be sent; undefined if it may at once. One that resumes a stream
   * always may, as its caller has a part of the response.
   */
  #enterGate(): PendingAdmission | undefined {
    const { decision, service, isResumption } = this.#request;
    const { route, team } = decision;
    return isResumption
      ? undefined
      : this.#options.admissionGate.enter({
          service,
          route: route.id,
          team: team?.id ?? NO_TEAM,
          priority: team?.priority ?? route.priority,
          latencyGoal: route.latencyGoal,
          remaining: this.#remaining,
          repeatable: route.repeatable,
        });
  }

  /** Waits for the decision; returns false if the request needs no further work. */
  async #isAdmitted(pending: PendingAdmission): Promise<boolean> {
    const { timers, refusals } = this.#options;
    const begin = timers.now();
    this.#pendingAdmission = pending;
    const outcome = await pending.outcome;
    this.#pendingAdmission = undefined;
    this.#waited = elapsed(begin, timers.now());
    if (this.#request.exchange.isOver || outcome.kind === 'cancelled') {
      return false;
    }
    if (outcome.kind === 'refused') {
      this.#refuse(refusals.overloaded(outcome.retryAfter, this.#remaining));
      return false;
    }
    return true;
  }

  #onEvent(event: RunEvent): void {
    if (event.kind === 'failed') {
      throw event.error;
    }
    if (event.kind === 'placed') {
      this.#onPlaced(event.placement, event.isTrial);
      return;
    }
    const { run, result } = event;
    const ending = this.#recordEnd(run, result);
    this.#apply(this.#attempts.onEnd(run, ending), run);
  }

  #apply(decision: AttemptDecision, ended?: RunningAttempt): void {
    switch (decision.kind) {
      case 'place':
        this.#placeAnother();
        return;
      case 'finish':
        this.#finish(decision.ending, ended);
        return;
      case 'wait':
      case 'unplaced':
        return;
    }
  }

  #placeAnother(): void {
    const verdict = this.#crashGuard.decide();
    const isFirst = this.#attempts.running.length === 0;
    if (verdict.kind === 'refuse' && isFirst) {
      this.#refuseSuspect(verdict.retryAfter);
      return;
    }
    if (verdict.kind !== 'run' && !isFirst) {
      // Content that crashes endpoints must not run at two of them.
      return;
    }
    const isTrial = verdict.kind === 'trial';
    this.#request.body.markNeeded();
    this.#attempts.startPlacing();
    this.#place().then(
      placement => {
        this.#events.put({ kind: 'placed', placement, isTrial });
      },
      (error: unknown) => {
        this.#events.put({ kind: 'failed', error });
      },
    );
  }

  #place(): Promise<Placement> {
    const { attemptPlacement } = this.#options;
    const { decision, head, service, streamGuard } = this.#request;
    const { route, team } = decision;
    return attemptPlacement.place(
      {
        service,
        prompt: head.prompt,
        tried: this.#tried,
        accepts: entry => streamGuard.accepts(entry),
        beginsStream: streamGuard.beginsStream,
        repeatable: route.repeatable,
      },
      {
        team: team?.id ?? NO_TEAM,
        rank: team?.priority ?? route.priority,
        goal: route.latencyGoal,
        remaining: this.#remaining,
      },
    );
  }

  #onPlaced(placement: Placement, isTrial: boolean): void {
    if (this.#request.exchange.isOver) {
      this.#attempts.finish();
    }
    const isWanted = this.#attempts.wantsAnother && this.#mayAttempt();
    if (isWanted && placement.kind === 'endpoint') {
      if (isTrial) {
        this.#crashGuard.recordTrial();
      }
      this.#start(placement);
      return;
    }
    releaseUnused(placement);
    const decision = this.#attempts.onNotPlaced();
    if (decision.kind !== 'unplaced') {
      this.#apply(decision);
    } else if (placement.kind === 'none' && isWanted) {
      this.#giveUpWithoutEndpoint(placement);
    } else {
      this.#giveUpAsStopping();
    }
  }

  #start({ choice, permit }: Extract<Placement, { kind: 'endpoint' }>): void {
    const { log, timers, backgroundTasks, pathMonitor, fleetState } =
      this.#options;
    const { head, decision, expiresAt, streamGuard } = this.#request;
    const { entry } = choice;
    if (permit !== undefined) {
      log.write('permit', {
        request: head.requestId,
        endpoint: entry.id,
        source: permit.source,
      });
    }
    this.#tried.add(entry.id);
    if (this.#relay.events === 0) {
      streamGuard.announce(entry);
    }
    fleetState.onAttemptStarted(entry.id, head.prompt);
    const silenceWatch = decision.route.repeatable
      ? this.#watchSilence(choice, () => run)
      : undefined;
    const run: RunningAttempt = this.#open(choice, silenceWatch, () => run);
    const { attempt } = run;
    this.#attempts.start(run);
    silenceWatch?.restart();
    const cancelExpiry = timers.after(
      milliseconds(Math.max(0, elapsed(run.startedAt, expiresAt))),
      () => {
        attempt.abort({ kind: 'expired' });
      },
    );
    const cancelCheck = pathMonitor.watch(entry);
    backgroundTasks.run('attempt-end', async () => {
      await attempt.done;
      silenceWatch?.stop();
      cancelExpiry();
      cancelCheck();
    });
    this.#settle(run, permit).then(
      result => {
        this.#events.put({ kind: 'ended', run, result });
      },
      (error: unknown) => {
        this.#events.put({ kind: 'failed', error });
      },
    );
  }

  /** Sends the request to an endpoint. */
  #open(
    choice: EndpointSelection,
    silenceWatch: SilenceWatch | undefined,
    self: () => RunningAttempt,
  ): RunningAttempt {
    const { connectionPool, endpointProtocol, fleetState, timers } =
      this.#options;
    const { head, decision, body } = this.#request;
    const { entry } = choice;
    const { route, team } = decision;
    const now = timers.now();
    const sink = this.#openSink(entry, silenceWatch, self);
    const onSignOfLife = () => {
      fleetState.recordActivity(entry.id, timers.now());
      this.#attempts.onActivity(self());
      silenceWatch?.restart();
    };
    const attempt = new Attempt({
      entry,
      requestId: head.requestId,
      request: {
        method: head.method,
        target: head.target,
        headers: endpointProtocol.requestHeaders(head, {
          endpoint: entry.id,
          remaining: milliseconds(Math.max(1, this.#timeToRun)),
          team: team?.id,
          lastEventId: this.#relay.lastEventId,
          fetchFrom: choice.fetchFrom?.address,
          priority: undefined,
        }),
        body: body.length > 0 ? body : undefined,
      },
      onBodyWritten: () => {
        this.#updateBodyNeed();
      },
      onAccepted: () => {
        this.#updateBodyNeed();
      },
      repeatable: route.repeatable,
      connectTimeout: connectTimeout(route.latencyGoal, this.#untried()),
      connectionPool,
      protocol: endpointProtocol,
      sink,
      now: () => timers.now(),
      onResponseHead: responseHead => {
        this.#onResponseHead(self(), responseHead);
      },
      onActivity: onSignOfLife,
    });
    return {
      attempt,
      sink,
      choice,
      startedAt: now,
      events: 0,
      isCancelled: false,
    };
  }

  #openSink(
    entry: EndpointEntry,
    silenceWatch: SilenceWatch | undefined,
    self: () => RunningAttempt,
  ): ResponseSink {
    const { fleetState, gatewayMetrics, timers } = this.#options;
    const { head, decision, arrivedAt, streamGuard } = this.#request;
    return this.#relay.sink({
      resume: () => {
        self().attempt.resume();
        silenceWatch?.restart();
      },
      abort: result => {
        self().attempt.abort(result);
      },
      isAccepted: () => streamGuard.canHaveSent(entry),
      admit: () =>
        streamGuard.mayPassOn(entry, self().attempt, this.#relay.events > 0),
      takeOver: () => this.#takeOver(self()),
      onFirstAttemptEvent: () => {
        if (head.prompt) {
          fleetState.onPromptRead(entry.id, head.prompt);
        }
      },
      onEvents: count => {
        const run = self();
        run.events += count;
        this.#crashGuard.recordProgress(run.events);
      },
      onFirstEvent: () => {
        streamGuard.onBegun(entry);
        gatewayMetrics.recordFirstEvent(
          decision.route.id,
          elapsed(arrivedAt, timers.now()),
        );
      },
    });
  }

  #onResponseHead(run: RunningAttempt, responseHead: ResponseHead): void {
    const { fleetState, processVerification, timers } = this.#options;
    const { head, decision } = this.#request;
    const { entry } = run.choice;
    const { attempt, startedAt } = run;
    fleetState.onStatement(entry, responseHead, startedAt);
    if (responseHead.requestId !== head.requestId) {
      return;
    }
    processVerification.onResponse(entry, attempt.establishedAt, startedAt);
    const isStream = decision.route.answer.kind === 'stream';
    const hasOthers = this.#attempts.running.length > 1;
    if (isStream && hasOthers && responseHead.status === STATUS_OK) {
      timers.after(MAX_OVERLAP, () => {
        if (!attempt.hasEnded) {
          this.#takeOver(run);
        }
      });
    }
  }

  /** Cancels the other attempts, as this one passes on its response; returns false if it was cancelled itself. */
  #takeOver(run: RunningAttempt): boolean {
    if (run.isCancelled || this.#attempts.isFinished) {
      return false;
    }
    this.#cancel(this.#attempts.takeOver(run), run);
    return true;
  }

  /** Ends attempts whose place `provider` has taken. */
  #cancel(runs: readonly RunningAttempt[], provider: RunningAttempt): void {
    for (const run of runs) {
      run.isCancelled = true;
      run.attempt.abort(
        run.startedAt < provider.startedAt
          ? { kind: 'silent' }
          : { kind: 'superseded', wasSent: run.attempt.wasSent },
      );
    }
  }

  #abortAll(resultOf: (attempt: Attempt) => AttemptResult): void {
    for (const { attempt } of this.#attempts.running) {
      attempt.abort(resultOf(attempt));
    }
  }

  /**
   * Watches a repeatable attempt. A stream counts as silent only if its endpoint sends nothing
   * on other connections either, unless these lead another way as the path of this one is cut.
   */
  #watchSilence(
    { entry }: EndpointSelection,
    self: () => RunningAttempt,
  ): SilenceWatch {
    const { timers, fleetState, endpointPaths } = this.#options;
    const { route } = this.#request.decision;
    return new SilenceWatch({
      timers,
      limit: () => this.#silenceLimit,
      isAwaited: () => self().attempt.wasSent && !self().attempt.isPaused,
      onSilence: now => {
        const isPathCut =
          self().attempt.via === undefined &&
          endpointPaths.isCut(entry.address);
        const lastActivityAt = fleetState.lastActivityAt(entry.id);
        const isResponsive =
          route.answer.kind === 'stream' &&
          !isPathCut &&
          lastActivityAt !== undefined &&
          elapsed(lastActivityAt, now) < MAX_EVENT_SILENCE / 2;
        if (!isResponsive) {
          this.#onSilence(self());
        }
      },
    });
  }

  /** Gives the body back, or allows that, as far as no further attempt can need it. */
  #updateBodyNeed(): void {
    const { body, decision } = this.#request;
    const { repeatable, maxAttempts } = decision.route;
    const { running, isPlacing, isFinished } = this.#attempts;
    const isWritten = running.every(({ attempt }) => attempt.isBodyWritten);
    if (isPlacing || !isWritten) {
      return;
    }
    const isLast =
      !repeatable || this.#possibleRuns + running.length >= maxAttempts;
    const isAccepted = running.some(({ attempt }) => attempt.isAccepted);
    if (isFinished || (isLast && isAccepted)) {
      body.release();
    } else {
      body.markReleasable(isLast ? 'unlikely-retry' : 'possible-retry');
    }
  }

  /** Begins another attempt beside a silent one. */
  #onSilence(run: RunningAttempt): void {
    const { chooser, log, timers } = this.#options;
    this.#attempts.onSilence(run);
    const mayTry =
      this.#attempts.wantsAnother &&
      !this.#attempts.isPlacing &&
      this.#mayAttempt() &&
      // An attempt at an endpoint with a limit may get no permit.
      chooser.unlimited(this.#untriedQuery, timers.now()) > 0;
    if (!mayTry) {
      return;
    }
    const next = this.#nextStep({ kind: 'silent' });
    log.write('silent', {
      request: this.#request.head.requestId,
      endpoint: run.choice.entry.id,
      limit: Math.round(this.#silenceLimit),
      events: this.#relay.events,
      possibleRuns: this.#possibleRuns + this.#attempts.running.length,
      untried: this.#untried(),
      next,
    });
    if (next.kind === 'again') {
      this.#placeAnother();
    }
  }

  /**
   * Waits for the end of an attempt, and for what shows whether its response is whole. One
   * that only the end of its connection marks is passed on if the endpoint made it; the
   * caller's response then ends with a mark.
   */
  async #settle(
    run: RunningAttempt,
    permit: Extract<Placement, { kind: 'endpoint' }>['permit'],
  ): Promise<AttemptResult> {
    const { attempt, choice } = run;
    const result = await this.#examine(run, await attempt.done);
    permit?.release(isRejectionForRoom(result));
    if (run.events > 0) {
      this.#request.streamGuard.onAttemptEnd(choice.entry, attempt, result);
    }
    const isFramed = attempt.responseHead?.framing !== 'connection';
    await this.#crashGuard.recordEnd(
      choice.entry,
      { result, isFramed },
      run.events,
    );
    return result;
  }

  async #examine(
    { attempt, choice, sink }: RunningAttempt,
    result: AttemptResult,
  ): Promise<AttemptResult> {
    const { responseHead, via } = attempt;
    if (result.kind !== 'unproven-end' || !responseHead) {
      return result;
    }
    const isProven = await this.#options.connectionEnd.isMadeByEndpoint(
      choice.entry,
      via,
    );
    return isProven
      ? sink.finish(responseHead)
      : { kind: 'broken', breakage: 'process-end' };
  }

  /** Records the end of an attempt and decides what follows if no other one runs. */
  #recordEnd(run: RunningAttempt, result: AttemptResult): AttemptEnding {
    const { fleetState, timers, gatewayMetrics, log, admissionGate } =
      this.#options;
    const { head, decision, service } = this.#request;
    const { attempt, choice, startedAt, sink } = run;
    const now = timers.now();
    fleetState.onAttemptEnded(
      choice.entry.id,
      result,
      elapsed(startedAt, attempt.respondedAt ?? now),
      now,
    );
    if (showsDuration(result)) {
      admissionGate.recordDuration(
        service,
        decision.route.id,
        elapsed(startedAt, now),
      );
    }
    if (result.kind === 'declined' && result.decline === 'other-instance') {
      fleetState.onReplaced(choice.entry);
    }
    if (mayHaveRun(result)) {
      this.#possibleRuns += 1;
    } else {
      this.#notRun += 1;
    }
    const step: NextStep =
      this.#attempts.isFinished || isTakenOver({ result })
        ? { kind: 'done' }
        : this.#nextStep(result, run);
    gatewayMetrics.recordAttempt(service, result.kind);
    log.write('attempt', {
      request: head.requestId,
      route: decision.route.id,
      version: decision.version,
      endpoint: choice.entry.id,
      reason: choice.reason,
      load: Math.round(choice.load * 10) / 10,
      speed: unusualSpeed(choice.speed),
      slowdown: unusualSpeed(attempt.responseHead?.load?.slowdown),
      missing: choice.missing,
      fetchFrom: choice.fetchFrom?.id,
      subject: head.prompt && subjectPart(head.prompt)?.id,
      newChannel: attempt.isNewConnection,
      via: attempt.via,
      idle: attempt.idleTime,
      keep: attempt.responseHead?.keepAliveTimeout,
      framing: attempt.responseHead?.framing,
      end: result,
      took: Math.round(elapsed(startedAt, now)),
      events: this.#relay.events,
      held: this.#relay.heldBytes || undefined,
      waited: this.#waited && Math.round(this.#waited),
      beside: this.#attempts.running.length - 1 || undefined,
      next: step,
    });
    this.#relay.release(sink);
    return { step, result };
  }

  /** What follows the end of an attempt, or the silence of one that still runs. */
  #nextStep(result: AttemptResult, ended?: RunningAttempt): NextStep {
    const { fleetState } = this.#options;
    const { decision, exchange, service } = this.#request;
    const { route } = decision;
    const others = this.#attempts.running.filter(run => run !== ended).length;
    return nextStep({
      result,
      repeatable: route.repeatable,
      possibleRuns: this.#possibleRuns + others,
      notRun: this.#notRun,
      maxAttempts: route.maxAttempts,
      untried: this.#untried(),
      responseStarted: exchange.hasResponseStarted,
      isContinuable: !exchange.hasResponseStarted || this.#relay.events > 0,
      remaining: this.#mayAttempt() ? this.#remaining : milliseconds(0),
      goal: route.latencyGoal,
      takeRetry: () =>
        !this.#attempts.isPlacing &&
        this.#crashGuard.decide().kind === 'run' &&
        fleetState.takeRetry(service),
    });
  }

  #finish({ step, result }: AttemptEnding, ended?: RunningAttempt): void {
    const { timers, gatewayMetrics } = this.#options;
    const { exchange, decision, arrivedAt } = this.#request;
    if (result.kind === 'stopping') {
      this.#giveUpAsStopping(result);
    } else if (step.kind === 'pass-on' && !exchange.isOver) {
      this.#passResponseOn();
    } else if (step.kind === 'give-up' && !exchange.isOver) {
      this.#giveUp(step.reason, result);
    }
    if (ended && step.kind === 'pass-on') {
      this.#cancel(this.#attempts.running, ended);
    } else {
      this.#abortAll(() => result);
    }
    gatewayMetrics.recordRequest(
      decision.route.id,
      exchange.hasDisconnected ? 'caller-left' : step.kind,
      elapsed(arrivedAt, timers.now()),
    );
  }

  /**
   * Sends the caller the endpoint's response. A status by which callers assume that
   * nothing ran is not passed on: an attempt whose response proves that ends
   * as `declined`, so this response comes without proof.
   */
  #passResponseOn(): void {
    const response = this.#relay.bufferedResponse;
    if (!response) {
      return;
    }
    const { head, body } = response;
    if (promisesNotRun(head.status)) {
      this.#refuse({
        kind: 'may-have-run',
        cause: `endpoint answered ${head.status} without proof`,
      });
      return;
    }
    this.#request.exchange.respond(head, body);
  }

  #refuseSuspect(retryAfter: Milliseconds): void {
    this.#attempts.finish();
    if (this.#mayHaveRun) {
      this.#giveUp('may-have-run');
      return;
    }
    this.#refuse({ kind: 'not-run', cause: 'crashes-endpoints', retryAfter });
  }

  #giveUpWithoutEndpoint({
    retryAfter,
  }: Extract<Placement, { kind: 'none' }>): void {
    this.#attempts.finish();
    if (this.#mayHaveRun) {
      this.#giveUp('may-have-run');
    } else if (retryAfter === undefined) {
      this.#giveUp('no-endpoint');
    } else {
      this.#refuse({
        kind: 'not-run',
        cause: 'no-permit',
        retryAfter: milliseconds(Math.max(MIN_RETRY_AFTER, retryAfter)),
      });
    }
  }

  /** Answers a request for which a router that is stopping has no time left. */
  #giveUpAsStopping(result?: AttemptResult): void {
    this.#attempts.finish();
    const { exchange, head } = this.#request;
    if (exchange.isOver) {
      return;
    }
    if (exchange.hasResponseStarted) {
      this.#onEndedByStop('cut');
      this.#giveUp('stopping', result);
    } else if (this.#mayHaveRun) {
      this.#onEndedByStop('mayHaveRun');
      this.#refuse({ kind: 'may-have-run', cause: 'stopping' });
    } else {
      this.#onEndedByStop('notRun');
      this.#options.refusals.sendStopping(exchange, head);
    }
  }

  #giveUp(reason: string, result?: AttemptResult): void {
    const { timers, chooser, refusals } = this.#options;
    const { exchange, head, service, expiresAt } = this.#request;
    if (exchange.hasResponseStarted) {
      this.#logCut(reason, result);
      exchange.abort();
      return;
    }
    if (reason === 'not-run' && !this.#isInTime()) {
      refusals.sendStopping(exchange, head);
      return;
    }
    const now = timers.now();
    const remaining = milliseconds(Math.max(0, elapsed(now, expiresAt)));
    const holdTime = chooser.holdTime(service, now);
    this.#refuse(this.#refusalFor(reason, remaining, result, holdTime));
  }

  /** Logs how far a response came that is broken off, and when. */
  #logCut(reason: string, result: AttemptResult | undefined): void {
    const { timers, log, shutdownSequence } = this.#options;
    const { exchange, head, arrivedAt, expiresAt } = this.#request;
    const now = timers.now();
    const { signal } = shutdownSequence;
    log.write('cut', {
      request: head.requestId,
      reason,
      end: result,
      events: this.#relay.events,
      unsent: exchange.unsentBytes || undefined,
      age: Math.round(elapsed(arrivedAt, now)),
      timeLeft: Math.round(elapsed(now, expiresAt)),
      sinceSignal: signal && Math.round(elapsed(signal.latest, now)),
      heldUp: signal && Math.round(elapsed(signal.earliest, signal.latest)),
    });
  }

  #refusalFor(
    reason: string,
    remaining: Milliseconds,
    result: AttemptResult | undefined,
    holdTime: Milliseconds | undefined,
  ): CallerRefusal {
    switch (reason) {
      case 'not-run':
      case 'no-endpoint':
        return this.#options.refusals.notRun(
          result?.kind ?? reason,
          remaining,
          holdTime,
        );
      case 'timeout':
        return { kind: 'timeout' };
      default: {
        const response = this.#relay.bufferedResponse;
        const afterStatus = response
          ? ` after status ${response.head.status}`
          : '';
        return {
          kind: 'may-have-run',
          cause: `${result?.kind ?? reason}${afterStatus}`,
        };
      }
    }
  }

  #refuse(refusal: CallerRefusal): void {
    const { exchange, head } = this.#request;
    this.#options.refusals.send(exchange, head, refusal);
  }

  /** Whether the request may have run, or the caller has a part of its response. */
  get #mayHaveRun(): boolean {
    return (
      this.#possibleRuns > 0 ||
      this.#request.exchange.hasResponseStarted ||
      this.#attempts.running.some(({ attempt }) => attempt.wasSent)
    );
  }

  /** Whether another attempt may begin: there is time for it, and the body was not released. */
  #mayAttempt(): boolean {
    return this.#request.body.isHeld && this.#isInTime();
  }

  /** Whether a router that is stopping has the time for another attempt. */
  #isInTime(): boolean {
    const { shutdownSequence, timers } = this.#options;
    const { decision, expiresAt } = this.#request;
    const { answer, repeatable, latencyGoal } = decision.route;
    const query = { answer, repeatable, expiresAt };
    return this.#tried.size === 0
      ? shutdownSequence.accepts(query, timers.now())
      : shutdownSequence.continues(query, latencyGoal, timers.now());
  }

  /** Time until the request has to be answered. */
  get #remaining(): Milliseconds {
    const { shutdownSequence, timers } = this.#options;
    const { expiresAt } = this.#request;
    const answersBy = shutdownSequence.answersBy ?? expiresAt;
    const end = answersBy < expiresAt ? answersBy : expiresAt;
    return milliseconds(Math.max(0, elapsed(timers.now(), end)));
  }

  /** Time for which an endpoint may work on the request. */
  get #timeToRun(): Milliseconds {
    const { shutdownSequence, timers } = this.#options;
    const { decision, expiresAt } = this.#request;
    const { breaksOffAt } = shutdownSequence;
    if (decision.route.answer.kind !== 'stream' || breaksOffAt === undefined) {
      return this.#remaining;
    }
    const end = breaksOffAt < expiresAt ? breaksOffAt : expiresAt;
    return milliseconds(Math.max(0, elapsed(timers.now(), end)));
  }

  get #silenceLimit(): Milliseconds {
    const { route } = this.#request.decision;
    if (route.answer.kind === 'whole') {
      return milliseconds(route.latencyGoal * SILENCE_PER_GOAL);
    }
    return this.#relay.events === 0
      ? MAX_FIRST_EVENT_SILENCE
      : MAX_EVENT_SILENCE;
  }

  get #untriedQuery() {
    const { service, streamGuard } = this.#request;
    return {
      service,
      tried: this.#tried,
      accepts: (entry: EndpointEntry) => streamGuard.accepts(entry),
    };
  }

  /** Number of endpoints at which the request may still be attempted. */
  #untried(): number {
    const { chooser, timers } = this.#options;
    return chooser.untried(this.#untriedQuery, timers.now());
  }
}

function releaseUnused(placement: Placement): void {
  if (placement.kind === 'endpoint') {
    placement.permit?.release(false);
  }
}

function isRejectionForRoom(result: AttemptResult): boolean {
  return result.kind === 'declined' && result.decline === 'full';
}

/** Rounds a speed or slowdown for the log; returns undefined for the usual one. */
function unusualSpeed(factor = 1): number | undefined {
  return factor === 1 ? undefined : Math.round(factor * 100) / 100;
}

/** Whether an attempt ran to its end, or for all the time of its request. */
function showsDuration(result: AttemptResult): boolean {
  switch (result.kind) {
    case 'answered':
    case 'delivered':
      return result.status < MIN_SERVER_ERROR_STATUS;
    default:
      return result.kind === 'unproven-end' || result.kind === 'expired';
  }
}

/** Statuses from which callers conclude that their request did not run. */
function promisesNotRun(status: number): boolean {
  return status === 408 || status === 421 || status === 429 || status === 503;
}
