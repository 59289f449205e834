/**
 * Simulates the I/O layer of a router around an order manager, in virtual time
 * without sockets.
 */
import type { OrderCall, OrderCommand } from '@sesamegrade/core/orders/order';
import { OrderManager } from '@sesamegrade/core/orders/order-manager';
import type {
  OrderState,
  RecordedResult,
} from '@sesamegrade/core/orders/order-row';
import { parseOrderRow } from '@sesamegrade/core/orders/order-row';
import type { OrderRules } from '@sesamegrade/core/orders/order-rules';
import { DEFAULT_ORDER_SETTINGS } from '@sesamegrade/core/orders/order-settings';
import type { Random } from '@sesamegrade/core/random/random';
import { NoopEventRecorder } from '@sesamegrade/core/timeline/event';
import type { RequestId } from '@sesamegrade/core/types/ids';
import { routerId } from '@sesamegrade/core/types/ids';
import type { TableOperation } from '@sesamegrade/core/types/platform';
import type { RefusalReason } from '@sesamegrade/core/types/refusal';
import { milliseconds } from '@sesamegrade/core/types/units';
import type { ExchangeFault } from '../simulation/fault';
import type { FaultyStore } from '../simulation/faulty-store';
import { Process } from '../simulation/process';
import type { Schedule } from '../simulation/schedule';
import type { CallerResult } from './order-checks';

export const ORDER_STEPS = [
  'begin',
  'claim',
  'read',
  'place',
  'send',
  'run',
  'answer',
  'record',
  'withdraw',
] as const;

export type OrderStep = (typeof ORDER_STEPS)[number];

/** The simulation as a router uses it. */
export interface OrderEnvironment {
  readonly schedule: Schedule;
  readonly random: Random;
  readonly store: FaultyStore;
  readonly rules: OrderRules;
  /**
   * Counts a step, injects its faults and returns the fault of the current
   * exchange, if any.
   */
  reach(step: OrderStep, router: OrderRouter): ExchangeFault | undefined;
  /** Sends a call to an endpoint on behalf of the router. */
  post(
    router: OrderRouter,
    call: OrderCall,
    fault: ExchangeFault | undefined,
  ): void;
  /** Responds to the caller of a request and records its result. */
  respond(
    router: OrderRouter,
    call: OrderCall,
    outcome: CallerResult['outcome'],
    startedAt: CallerResult['startedAt'],
  ): void;
}

interface PendingCall {
  readonly call: OrderCall;
  readonly startedAt: CallerResult['startedAt'];
  placements: number;
}

const TICK = milliseconds(40);
const MAX_PLACEMENTS = 3;
const MAX_PLACEMENT_MS = 4;

export class OrderRouter {
  readonly name: string;
  readonly process: Process;
  readonly orderManager: OrderManager;
  readonly #environment: OrderEnvironment;
  readonly #pending = new Map<RequestId, PendingCall>();
  #isTicking = false;

  constructor(name: string, environment: OrderEnvironment) {
    this.name = name;
    this.#environment = environment;
    this.process = new Process(environment.random);
    this.orderManager = new OrderManager({
      router: routerId(name),
      tokenPrefix: name,
      random: environment.random,
      recorder: new NoopEventRecorder(),
      settings: DEFAULT_ORDER_SETTINGS,
      rules: environment.rules,
    });
  }

  /** Refuses calls with new keys; calls in progress continue. */
  stop(): void {
    this.orderManager.stop();
  }

  accept(call: OrderCall): void {
    const startedAt = this.#environment.schedule.now;
    this.#pending.set(call.request, { call, startedAt, placements: 0 });
    this.#environment.reach('begin', this);
    this.process.run(() => {
      this.orderManager.begin(call, this.#environment.schedule.now);
      this.#drain();
    });
  }

  onRefused(request: RequestId): void {
    this.process.run(() => {
      this.orderManager.onRefused(request);
      this.#place(request);
      this.#drain();
    });
  }

  onResponse(request: RequestId, text: string): void {
    this.process.run(() => {
      const result: RecordedResult = {
        status: 201,
        contentType: 'text/plain',
        body: { kind: 'inline', base64: text },
      };
      this.orderManager.onResponse(
        request,
        result,
        this.#environment.schedule.now,
      );
      this.#respond(request, { kind: 'answer', text });
      this.#drain();
    });
  }

  onResponseLost(request: RequestId): void {
    this.process.run(() => {
      this.orderManager.onResponseLost(request, this.#environment.schedule.now);
      this.#respond(request, { kind: 'unknown' });
      this.#drain();
    });
  }

  #drain(): void {
    for (const command of this.orderManager.takeCommands()) {
      this.#run(command);
    }
    if (!this.#isTicking && this.orderManager.openCount > 0) {
      this.#isTicking = true;
      this.#runAfter(TICK, () => {
        this.#isTicking = false;
        this.orderManager.tick(this.#environment.schedule.now);
        this.#drain();
      });
    }
  }

  #run(command: OrderCommand): void {
    switch (command.kind) {
      case 'write':
        this.#write(command.ticket, command.operations);
        return;
      case 'read':
        this.#read(command.ticket, command.table, command.key);
        return;
      case 'send':
        this.#place(command.request);
        return;
      case 'replay':
        this.#respond(command.request, outcomeOfResult(command.result));
        return;
      case 'refuse':
        this.#respond(
          command.request,
          outcomeOfRefusal(command.reason.kind, command.outcome === 'not_run'),
        );
    }
  }

  #write(ticket: number, operations: readonly TableOperation[]): void {
    const fault = this.#environment.reach(stepOfWrite(operations), this);
    this.process.run(() => {
      this.#environment.store.write(operations, fault, response => {
        this.process.run(() => {
          this.orderManager.onWriteResponse(
            ticket,
            response,
            this.#environment.schedule.now,
          );
          this.#drain();
        });
      });
    });
  }

  #read(ticket: number, table: string, key: string): void {
    const fault = this.#environment.reach('read', this);
    this.process.run(() => {
      this.#environment.store.read(table, key, fault, response => {
        this.process.run(() => {
          this.orderManager.onReadResponse(
            ticket,
            response,
            this.#environment.schedule.now,
          );
          this.#drain();
        });
      });
    });
  }

  /**
   * Simulates the time of choosing an endpoint, then sends if that is still
   * permitted.
   */
  #place(request: RequestId): void {
    const pending = this.#pending.get(request);
    if (!pending) {
      this.orderManager.onNotSent(request, this.#environment.schedule.now);
      return;
    }
    pending.placements += 1;
    this.#environment.reach('place', this);
    const { random } = this.#environment;
    this.#runAfter(milliseconds(random.integer(0, MAX_PLACEMENT_MS)), () => {
      this.#send(pending);
      this.#drain();
    });
  }

  #send(pending: PendingCall): void {
    const { call } = pending;
    const { now } = this.#environment.schedule;
    if (pending.placements > MAX_PLACEMENTS) {
      const outcome = this.orderManager.onNotSent(call.request, now);
      const hasNotRun = outcome === 'not_run';
      this.#respond(call.request, outcomeOfRefusal('no-endpoint', hasNotRun));
      return;
    }
    if (!this.orderManager.permitSend(call.request, now)) {
      return;
    }
    const fault = this.#environment.reach('send', this);
    this.process.run(() => {
      this.#environment.post(this, call, fault);
    });
  }

  #runAfter(delay: ReturnType<typeof milliseconds>, action: () => void): void {
    this.#environment.schedule.after(delay, () => {
      this.process.run(action);
    });
  }

  #respond(request: RequestId, outcome: CallerResult['outcome']): void {
    const pending = this.#pending.get(request);
    if (pending) {
      this.#pending.delete(request);
      this.#environment.respond(this, pending.call, outcome, pending.startedAt);
    }
  }
}

function stepOfWrite(operations: readonly TableOperation[]): OrderStep {
  const [operation] = operations;
  const row =
    operation?.change.kind === 'put'
      ? parseOrderRow(operation.change.value)
      : undefined;
  const state: OrderState['kind'] = row?.ok ? row.value.state.kind : 'claimed';
  switch (state) {
    case 'claimed':
      return 'claim';
    case 'withdrawn':
      return 'withdraw';
    case 'done':
    case 'unsettled':
      return 'record';
  }
}

function outcomeOfResult(result: RecordedResult): CallerResult['outcome'] {
  const text = result.body.kind === 'inline' ? result.body.base64 : '';
  return { kind: 'answer', text };
}

function outcomeOfRefusal(
  reason: RefusalReason['kind'],
  hasNotRun: boolean,
): CallerResult['outcome'] {
  return hasNotRun ? { kind: 'not_run', reason } : { kind: 'unknown' };
}
