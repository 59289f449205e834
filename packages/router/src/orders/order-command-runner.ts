/** Runs the order manager's commands: table reads and writes, sends, replays and refusals. */
import type { OrderManager } from '@sesamegrade/core/orders/order-manager';
import type { OrderCommand } from '@sesamegrade/core/orders/order';
import { MAX_INLINE_RESULT_BYTES } from '@sesamegrade/core/orders/order-row';
import type { RecordedResult } from '@sesamegrade/core/orders/order-row';
import type { Request } from '@sesamegrade/core/requests/types';
import type { BackgroundTasks } from '@sesamegrade/core/tasks/background-tasks';
import type { TimerService } from '@sesamegrade/core/time/timer-service';
import type { RequestId } from '@sesamegrade/core/types/ids';
import { milliseconds } from '@sesamegrade/core/types/units';
import type { Exchange } from '../dispatch/exchange';
import { OrderRecorder } from '../dispatch/request-dispatcher';
import type { RequestDispatcher } from '../dispatch/request-dispatcher';
import { sendCompleteResponse } from '../endpoints/buffered-relay';
import type { CompleteResponse } from '../endpoints/buffered-relay';
import type { PlatformClient } from '../platform-client/platform-client';

export interface OrderCommandRunnerOptions {
  readonly orderManager: OrderManager;
  readonly platform: PlatformClient;
  readonly timers: TimerService;
  readonly backgroundTasks: BackgroundTasks;
  readonly dispatcher: RequestDispatcher;
}

const TICK_PERIOD = milliseconds(20);
const JSON_TYPE = 'application/json';

export class OrderCommandRunner extends OrderRecorder {
  readonly #orderManager: OrderManager;
  readonly #platform: PlatformClient;
  readonly #timers: TimerService;
  readonly #backgroundTasks: BackgroundTasks;
  readonly #dispatcher: RequestDispatcher;

  constructor(options: OrderCommandRunnerOptions) {
    super();
    this.#orderManager = options.orderManager;
    this.#platform = options.platform;
    this.#timers = options.timers;
    this.#backgroundTasks = options.backgroundTasks;
    this.#dispatcher = options.dispatcher;
  }

  /** Number of orders whose last state is not stored yet. */
  get openOrderCount(): number {
    return this.#orderManager.openCount;
  }

  start(): () => void {
    return this.#timers.every(TICK_PERIOD, now => {
      this.#orderManager.tick(now);
      this.#runCommands();
    });
  }

  override record({ request }: Exchange): void {
    const { target } = request;
    if (target.kind !== 'call' || target.key === undefined) {
      return;
    }
    this.#orderManager.begin(
      {
        request: request.id,
        team: request.team,
        service: target.service,
        key: target.key,
        fingerprint: request.fingerprint,
        deadline: request.deadline,
      },
      this.#timers.now(),
    );
    this.#runCommands();
  }

  override permitSend(request: Request): boolean {
    const permitted = this.#orderManager.permitSend(
      request.id,
      this.#timers.now(),
    );
    this.#runCommands();
    return permitted;
  }

  override onRefused(request: RequestId): void {
    this.#orderManager.onRefused(request);
    this.#runCommands();
  }

  override settle(
    request: Request,
    disposition: 'never-sent' | 'in-doubt',
  ): void {
    const now = this.#timers.now();
    if (disposition === 'in-doubt') {
      this.#orderManager.onResponseLost(request.id, now);
    } else {
      this.#orderManager.onNotSent(request.id, now);
    }
    this.#runCommands();
  }

  /** Records a complete response, so that a repeated call receives the same one. */
  async onResponse(
    request: Request,
    response: CompleteResponse,
  ): Promise<void> {
    const { target } = request;
    if (target.kind !== 'call' || target.repeatable) {
      return;
    }
    const result = await this.#recordedResult(request, response);
    this.#orderManager.onResponse(request.id, result, this.#timers.now());
    this.#runCommands();
  }

  async #recordedResult(
    request: Request,
    { status, headers, body }: CompleteResponse,
  ): Promise<RecordedResult> {
    const type = headers['content-type'];
    const contentType = typeof type === 'string' ? type : JSON_TYPE;
    if (body.length <= MAX_INLINE_RESULT_BYTES) {
      const base64 = body.toString('base64');
      return { status, contentType, body: { kind: 'inline', base64 } };
    }
    const key = `order-results/${request.fingerprint}/${request.id}`;
    const stored = await this.#platform.writeObject(key, body);
    if (stored.kind === 'stored') {
      return { status, contentType, body: { kind: 'object', key } };
    }
    return { status, contentType, body: { kind: 'dropped' } };
  }

  #runCommands(): void {
    for (const command of this.#orderManager.takeCommands()) {
      this.#runCommand(command);
    }
  }

  #run(task: string, work: () => Promise<void>): void {
    this.#backgroundTasks.run(task, work);
  }

  #runCommand(command: OrderCommand): void {
    switch (command.kind) {
      case 'write':
        this.#run('order-write', () => this.#write(command));
        return;
      case 'read':
        this.#run('order-read', () => this.#read(command));
        return;
      case 'send':
        this.#dispatcher.post({ kind: 'recorded', request: command.request });
        return;
      case 'replay':
        this.#run('order-replay', () =>
          this.#replay(command.request, command.result),
        );
        return;
      case 'refuse':
        this.#dispatcher.post({
          kind: 'not-recorded',
          request: command.request,
          reason: command.reason,
          outcomeUnknown: command.outcome !== 'not_run',
        });
    }
  }

  async #write(
    command: Extract<OrderCommand, { kind: 'write' }>,
  ): Promise<void> {
    const response = await this.#platform.write(command.operations);
    this.#orderManager.onWriteResponse(
      command.ticket,
      response,
      this.#timers.now(),
    );
    this.#runCommands();
  }

  async #read(command: Extract<OrderCommand, { kind: 'read' }>): Promise<void> {
    const response = await this.#platform.read(command.table, command.key);
    this.#orderManager.onReadResponse(
      command.ticket,
      response,
      this.#timers.now(),
    );
    this.#runCommands();
  }

  /** Sends the caller the recorded response of an earlier call with the same key. */
  async #replay(request: RequestId, result: RecordedResult): Promise<void> {
    const body = await this.#bodyOf(result);
    const exchange = this.#dispatcher.exchangeOf(request);
    if (!exchange) {
      return;
    }
    if (body === undefined) {
      this.#dispatcher.post({
        kind: 'not-recorded',
        request,
        reason: { kind: 'order-unsettled' },
        outcomeUnknown: true,
      });
      return;
    }
    sendCompleteResponse(
      exchange.callerResponse,
      {
        status: result.status,
        headers: { 'content-type': result.contentType },
        body,
      },
      { 'x-answer-repeated': 'true' },
    );
    this.#dispatcher.post({ kind: 'replayed', request });
  }

  async #bodyOf({ body }: RecordedResult): Promise<Buffer | undefined> {
    switch (body.kind) {
      case 'inline':
        return Buffer.from(body.base64, 'base64');
      case 'object': {
        const object = await this.#platform.readObject(body.key);
        return object.kind === 'found' ? Buffer.from(object.body) : undefined;
      }
      case 'dropped':
        return undefined;
    }
  }
}
