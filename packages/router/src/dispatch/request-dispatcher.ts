/** Passes messages to the request flow and runs the commands that it returns. */
import type { RequestFlow } from '@sesamegrade/core/requests/request-flow';
import type {
  Refusal,
  Request,
  RequestCommand,
  RequestMessage,
} from '@sesamegrade/core/requests/types';
import type { StreamPosition } from '@sesamegrade/core/streams/event-id';
import type { BackgroundTasks } from '@sesamegrade/core/tasks/background-tasks';
import type { TimerService } from '@sesamegrade/core/time/timer-service';
import type { RequestId } from '@sesamegrade/core/types/ids';
import { milliseconds } from '@sesamegrade/core/types/units';
import type { AttemptRunner, AttemptTask } from '../endpoints/attempt-runner';
import type { Exchange } from './exchange';

/** Records calls that must run at most once. */
export abstract class OrderRecorder {
  abstract record(exchange: Exchange): void;
  abstract settle(
    request: Request,
    disposition: 'never-sent' | 'in-doubt',
  ): void;
  /** The endpoint certainly did not run the call, so it may be sent again. */
  abstract onRefused(request: RequestId): void;
  /** Whether the call may still be sent; must be checked right before sending. */
  abstract permitSend(request: Request): boolean;
}

/** Counts accepted, finished and refused requests. */
export abstract class RequestCounter {
  abstract countAccepted(request: Request): void;
  abstract countFinished(request: Request): void;
  abstract countRefused(request: Request, refusal: Refusal): void;
}

export interface RequestDispatcherOptions {
  readonly flow: RequestFlow;
  readonly timers: TimerService;
  readonly backgroundTasks: BackgroundTasks;
  readonly counter: RequestCounter;
}

/** Period of the request flow's ticks. */
const TICK_PERIOD = milliseconds(20);

export class RequestDispatcher {
  readonly #flow: RequestFlow;
  readonly #timers: TimerService;
  readonly #backgroundTasks: BackgroundTasks;
  readonly #counter: RequestCounter;
  readonly #exchanges = new Map<RequestId, Exchange>();
  readonly #idleWaiters = new Set<() => void>();
  #attemptRunner: AttemptRunner | undefined;
  #orderRecorder: OrderRecorder | undefined;

  constructor(options: RequestDispatcherOptions) {
    this.#flow = options.flow;
    this.#timers = options.timers;
    this.#backgroundTasks = options.backgroundTasks;
    this.#counter = options.counter;
  }

  /** Number of requests that have not ended. */
  get inFlight(): number {
    return this.#exchanges.size;
  }

  /** Sets the components that run commands and starts the ticks; called once. */
  start(
    attemptRunner: AttemptRunner,
    orderRecorder: OrderRecorder,
  ): () => void {
    this.#attemptRunner = attemptRunner;
    this.#orderRecorder = orderRecorder;
    return this.#timers.every(TICK_PERIOD, now => {
      this.#runCommands(this.#flow.tick(now));
    });
  }

  /** Whether a request with this id is in flight. */
  has(id: RequestId): boolean {
    return this.#exchanges.has(id);
  }

  accept(exchange: Exchange): void {
    this.#add(exchange);
    this.post({ kind: 'arrived', request: exchange.request });
  }

  /** Resumes a stream of an earlier attempt, possibly of another router. */
  reattach(exchange: Exchange, position: StreamPosition): void {
    this.#add(exchange);
    const { endpoint, attempt } = position;
    const { request } = exchange;
    this.post({ kind: 'reattached', request, endpoint, attempt });
  }

  post(message: RequestMessage): void {
    if (message.kind === 'not-sent' || message.kind === 'declined') {
      this.#orderRecorder?.onRefused(message.request);
    }
    const commands = this.#flow.handle(message, this.#timers.now());
    this.#runCommands(commands);
    this.#countAndRemove(message);
  }

  /** Resolves when no request is in flight. */
  waitUntilIdle(): Promise<void> {
    if (this.inFlight === 0) {
      return Promise.resolve();
    }
    return new Promise(resolve => {
      this.#idleWaiters.add(resolve);
    });
  }

  exchangeOf(id: RequestId): Exchange | undefined {
    return this.#exchanges.get(id);
  }

  #add(exchange: Exchange): void {
    const { request, callerResponse } = exchange;
    this.#exchanges.set(request.id, exchange);
    this.#counter.countAccepted(request);
    callerResponse.onDisconnect(() => {
      this.post({ kind: 'caller-left', request: request.id });
    });
  }

  #runCommands(commands: readonly RequestCommand[]): void {
    for (const command of commands) {
      const exchange = this.#exchanges.get(command.request);
      if (exchange) {
        this.#runCommand(command, exchange);
      }
    }
    for (const command of commands) {
      this.#removeIfEnded(command.request);
    }
  }

  #runCommand(command: RequestCommand, exchange: Exchange): void {
    switch (command.kind) {
      case 'send':
        this.#send({ ...command, exchange });
        return;
      case 'resume':
        this.#timers.after(command.after, () => {
          this.#runAttempt(runner => runner.resume({ ...command, exchange }));
        });
        return;
      case 'cancel':
        this.#attemptRunner?.cancel(
          command.attempt,
          command.endpoint,
          exchange.shape.kind === 'stream',
        );
        return;
      case 'record':
        this.#orderRecorder?.record(exchange);
        return;
      case 'settle':
        this.#orderRecorder?.settle(exchange.request, command.disposition);
        return;
      case 'refuse':
        this.#counter.countRefused(exchange.request, command.refusal);
        exchange.callerResponse.refuse(command.refusal);
    }
  }

  #send(task: AttemptTask): void {
    const { request } = task.exchange;
    const mustRunOnce =
      request.target.kind === 'call' && !request.target.repeatable;
    if (mustRunOnce && this.#orderRecorder?.permitSend(request) !== true) {
      this.post({
        kind: 'withheld',
        request: request.id,
        attempt: task.attempt,
      });
      return;
    }
    this.#runAttempt(runner => runner.send(task));
  }

  #runAttempt(work: (runner: AttemptRunner) => Promise<void>): void {
    const runner = this.#attemptRunner;
    if (runner) {
      this.#backgroundTasks.run('attempt', () => work(runner));
    }
  }

  #countAndRemove(message: RequestMessage): void {
    const id =
      typeof message.request === 'string'
        ? message.request
        : message.request.id;
    if (message.kind === 'finished' || message.kind === 'replayed') {
      const exchange = this.#exchanges.get(id);
      if (exchange) {
        this.#counter.countFinished(exchange.request);
      }
    }
    this.#removeIfEnded(id);
  }

  /** Removes the exchange of a request that has ended. */
  #removeIfEnded(id: RequestId): void {
    if (this.#flow.row(id) || !this.#exchanges.delete(id)) {
      return;
    }
    if (this.inFlight > 0) {
      return;
    }
    for (const resolve of this.#idleWaiters) {
      resolve();
    }
    this.#idleWaiters.clear();
  }
}
