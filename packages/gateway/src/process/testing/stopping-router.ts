/**
 * Model of the planned stop of a router on a clock that its user moves: the stop itself is that of
 * the process, requests and endpoints are made up.
 */
import { TimerService } from '@sesamegrade/core/time/timer-service';
import { addTime, instant, milliseconds } from '@sesamegrade/core/types/units';
import type { Instant } from '@sesamegrade/core/types/units';
import { GatewayProcess } from '../gateway-process';
import type { GatewayProcessOptions } from '../gateway-process';
import { ShutdownSequence } from '../shutdown-sequence';
import type { EndScope } from '../shutdown-sequence';

/** All times are in ms on the clock of the model. */
export interface PlannedRequest {
  readonly kind: 'order' | 'lookup' | 'stream' | 'resumable';
  /** When its last byte was sent. */
  readonly sentAt: number;
  /** Time limit that the caller states, from `sentAt` on. */
  readonly deadline: number;
  readonly routeTimeout: number;
  /** Time that it waits for admission once it has been read. */
  readonly admission: number;
  /** Time for which its endpoint works. */
  readonly work: number;
  /** Time after which its endpoint sends the first event of a stream. */
  readonly firstEvent: number;
}

export interface HoldUp {
  readonly from: number;
  readonly to: number;
}

export interface StopPlan {
  readonly grace: number;
  /** When signals are sent; the kill is timed at the first one. */
  readonly signals: readonly number[];
  /** Times in which the process does not run. */
  readonly holdUps: readonly HoldUp[];
  readonly requests: readonly PlannedRequest[];
  /** Whether a process that goes on after a hold-up handles signals before it reads. */
  readonly handlesSignalsFirst: boolean;
}

/** What is seen of a request from outside the router. */
export interface RequestTrace {
  readonly request: PlannedRequest;
  readonly readAt: number | undefined;
  /** When it was passed on to an endpoint. */
  readonly passedOnAt: number | undefined;
  readonly endedAt: number;
  readonly ending: 'answered' | 'broke-off' | 'cut';
}

/** Step of the clock; a process that runs reads and fires its timers once in a step. */
const STEP = milliseconds(5);
const ROUTER_TIMER_PERIOD = milliseconds(50);
/** Time before the first signal at which the process starts. */
const LEAD_TIME = 4000;

/** Timers of a process: they fire on `run` only. */
class SteppedTimerService extends TimerService {
  #now: Instant;

  constructor(start: Instant) {
    super();
    this.#now = start;
  }

  now(): Instant {
    return this.#now;
  }

  wallTime(): number {
    return this.#now;
  }

  step(): void {
    this.#now = addTime(this.#now, STEP);
  }

  run(): void {
    this.runDue(this.#now);
  }

  protected onAdded(): void {
    // The model moves the time itself.
  }
}

/** A request at the router. */
class ModelRequest {
  readonly plan: PlannedRequest;
  readAt: Instant | undefined;
  passedOnAt: Instant | undefined;
  endedAt: Instant | undefined;
  hasStarted = false;
  #ending: RequestTrace['ending'] = 'cut';

  constructor(plan: PlannedRequest) {
    this.plan = plan;
  }

  get isRunning(): boolean {
    return this.readAt !== undefined && this.endedAt === undefined;
  }

  get isStream(): boolean {
    return this.plan.kind === 'stream' || this.plan.kind === 'resumable';
  }

  get isRepeatable(): boolean {
    return this.plan.kind === 'lookup' || this.plan.kind === 'resumable';
  }

  /** The router counts limits from when it has read a request. */
  get expiresAt(): Instant {
    const { deadline, routeTimeout } = this.plan;
    const limit = milliseconds(Math.min(deadline, routeTimeout));
    return addTime(this.readAt ?? instant(0), limit);
  }

  end(ending: RequestTrace['ending'], now: Instant): void {
    if (this.endedAt === undefined) {
      this.endedAt = now;
      this.#ending = ending;
    }
  }

  /** Ends it as far as the router can: a response that has started only breaks off. */
  answer(now: Instant): void {
    this.end(this.hasStarted ? 'broke-off' : 'answered', now);
  }

  trace(): RequestTrace {
    return {
      request: this.plan,
      readAt: this.readAt,
      passedOnAt: this.passedOnAt,
      endedAt: this.endedAt ?? Infinity,
      ending: this.#ending,
    };
  }
}

export class StoppingRouter {
  readonly #plan: StopPlan;
  readonly #timers: SteppedTimerService;
  readonly #sequence: ShutdownSequence;
  readonly #process: GatewayProcess;
  readonly #requests: readonly ModelRequest[];
  #handledSignals = 0;
  #hasExited = false;

  constructor(plan: StopPlan) {
    this.#plan = plan;
    const start = instant((plan.signals[0] ?? 0) - LEAD_TIME);
    this.#timers = new SteppedTimerService(start);
    this.#sequence = new ShutdownSequence(() => milliseconds(plan.grace));
    this.#requests = plan.requests.map(request => new ModelRequest(request));
    this.#timers.every(ROUTER_TIMER_PERIOD, () => undefined);
    this.#process = this.#createProcess();
  }

  /** Plays the stop to the exit of the process or its kill. */
  async play(): Promise<readonly RequestTrace[]> {
    const [signalAt = 0] = this.#plan.signals;
    const killedAt = signalAt + this.#plan.grace;
    while (!this.#hasExited && this.#timers.now() < killedAt) {
      this.#timers.step();
      if (!this.#isHeldUp()) {
        await this.#run();
      }
    }
    for (const request of this.#requests) {
      if (request.plan.sentAt <= this.#timers.now()) {
        request.end('cut', this.#timers.now());
      }
    }
    return this.#requests
      .filter(({ endedAt }) => endedAt !== undefined)
      .map(request => request.trace());
  }

  #isHeldUp(): boolean {
    const now = this.#timers.now();
    return this.#plan.holdUps.some(({ from, to }) => now > from && now < to);
  }

  async #run(): Promise<void> {
    if (this.#plan.handlesSignalsFirst) {
      this.#handleSignals();
      this.#read();
    } else {
      this.#read();
      this.#handleSignals();
    }
    this.#timers.run();
    this.#expire();
    // The stop goes on behind the timer that ends it, within this turn and the next one.
    await Promise.resolve();
    await Promise.resolve();
    await new Promise(resolve => {
      setImmediate(resolve);
    });
  }

  #handleSignals(): void {
    const now = this.#timers.now();
    const due = this.#plan.signals.filter(at => at <= now).length;
    for (; this.#handledSignals < due; this.#handledSignals += 1) {
      this.#process.stop().then(
        () => {
          this.#hasExited = true;
        },
        (error: unknown) => {
          throw error;
        },
      );
    }
  }

  /** Reads what callers and endpoints have sent. */
  #read(): void {
    const now = this.#timers.now();
    for (const request of this.#requests) {
      if (request.readAt === undefined && request.plan.sentAt < now) {
        request.readAt = now;
        this.#admit(request);
      }
      this.#readResponse(request);
      this.#passOn(request);
    }
  }

  #passOn(request: ModelRequest): void {
    const { isRunning, readAt, passedOnAt, plan } = request;
    const now = this.#timers.now();
    if (!isRunning || readAt === undefined || passedOnAt !== undefined) {
      return;
    }
    if (now >= readAt + plan.admission && this.#admit(request)) {
      request.passedOnAt = now;
    }
  }

  #admit(request: ModelRequest): boolean {
    const now = this.#timers.now();
    const { isRepeatable, isStream, expiresAt } = request;
    const isAccepted = this.#sequence.accepts(
      {
        answer: isStream
          ? { kind: 'stream', pauseLimit: undefined }
          : { kind: 'whole' },
        repeatable: isRepeatable,
        expiresAt,
      },
      now,
    );
    if (!isAccepted) {
      request.answer(now);
    }
    return isAccepted;
  }

  #readResponse(request: ModelRequest): void {
    const { isRunning, isStream, passedOnAt, plan } = request;
    const now = this.#timers.now();
    if (!isRunning || passedOnAt === undefined) {
      return;
    }
    if (now >= passedOnAt + plan.work) {
      request.end('answered', now);
    } else if (isStream && now >= passedOnAt + plan.firstEvent) {
      request.hasStarted = true;
    }
  }

  #expire(): void {
    const now = this.#timers.now();
    for (const request of this.#requests) {
      if (request.isRunning && now >= request.expiresAt) {
        request.answer(now);
      }
    }
  }

  get #running(): readonly ModelRequest[] {
    return this.#requests.filter(({ isRunning }) => isRunning);
  }

  #createProcess(): GatewayProcess {
    const running = () => this.#running.length;
    const options = {
      settings: { router: {}, caller_limits: {} },
      timers: this.#timers,
      shutdownSequence: this.#sequence,
      backgroundTasks: {},
      gatewayMetrics: { registerGauge: () => undefined },
      log: { write: () => undefined },
      tunnelServer: { openCount: 0, close: () => undefined },
      callerServer: {
        openExchangeCount: 0,
        startDraining: () => undefined,
        closeIdleConnections: () => undefined,
        resetUnframed: () => undefined,
        logUnfinished: () => undefined,
        close: () => undefined,
      },
      forwarder: {
        get running() {
          return running();
        },
        endedByStop: {},
        endRunning: (scope: EndScope) => {
          for (const request of this.#running) {
            // Only streams have begun: their break shows, as they are sent in chunks.
            if (scope === 'all' || !request.hasStarted) {
              request.answer(this.#timers.now());
            }
          }
        },
      },
    };
    return new GatewayProcess(options as unknown as GatewayProcessOptions);
  }
}
