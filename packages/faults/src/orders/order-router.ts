/** A router's shell around an order book, on a schedule instead of sockets. */
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

/** What a router needs from the world around it. */
export interface OrderEnvironment {
  readonly schedule: Schedule;
  readonly random: Random;
  readonly store: FaultyStore;
  readonly rules: OrderRules;
  /** Tells that a step is reached; returns the fault of its exchange. */
  reach(step: OrderStep, router: OrderRouter): ExchangeFault | undefined;
  /** Sends a call to an endpoint on behalf of the router. */
  post(
    router: OrderRouter,
    call: OrderCall,
    fault: ExchangeFault | undefined,
  ): void;
  /** Hands a verdict to the caller, if the connection still stands. */
  respond(
    router: OrderRouter,
    call: OrderCall,
    said: CallerResult['outcome'],
    began: CallerResult['startedAt'],
  ): void;
}

interface PendingCall {
  readonly call: OrderCall;
  readonly began: CallerResult['startedAt'];
  placements: number;
}

const TICK = milliseconds(40);
const MAX_PLACEMENTS = 3;
const LONGEST_PLACEMENT_MS = 4;

export class OrderRouter {
  readonly name: string;
  readonly process: Process;
  readonly orderManager: OrderManager;
  readonly #world: OrderEnvironment;
  readonly #pending = new Map<RequestId, PendingCall>();
  #isTicking = false;

  constructor(name: string, world: OrderEnvironment) {
    this.name = name;
    this.#world = world;
    this.process = new Process(world.random);
    this.orderManager = new OrderManager({
      router: routerId(name),
      tokenPrefix: name,
      random: world.random,
      recorder: new NoopEventRecorder(),
      settings: DEFAULT_ORDER_SETTINGS,
      rules: world.rules,
    });
  }

  /** Refuses calls with new keys; those under way go on. */
  stop(): void {
    this.orderManager.stop();
  }

  accept(call: OrderCall): void {
    const began = this.#world.schedule.now;
    this.#pending.set(call.request, { call, began, placements: 0 });
    this.#world.reach('begin', this);
    this.process.run(() => {
      this.orderManager.begin(call, this.#world.schedule.now);
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
      this.orderManager.onResponse(request, result, this.#world.schedule.now);
      this.#tell(request, { kind: 'answer', text });
      this.#drain();
    });
  }

  onResponseLost(request: RequestId): void {
    this.process.run(() => {
      this.orderManager.onResponseLost(request, this.#world.schedule.now);
      this.#tell(request, { kind: 'unknown' });
      this.#drain();
    });
  }

  #drain(): void {
    for (const command of this.orderManager.takeCommands()) {
      this.#run(command);
    }
    if (!this.#isTicking && this.orderManager.openCount > 0) {
      this.#isTicking = true;
      this.#later(TICK, () => {
        this.#isTicking = false;
        this.orderManager.tick(this.#world.schedule.now);
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
        this.#tell(command.request, answerOf(command.result));
        return;
      case 'refuse':
        this.#tell(
          command.request,
          refusalOf(command.reason.kind, command.outcome === 'not_run'),
        );
    }
  }

  #write(ticket: number, operations: readonly TableOperation[]): void {
    const fault = this.#world.reach(stepOfWrite(operations), this);
    this.process.run(() => {
      this.#world.store.write(operations, fault, answer => {
        this.process.run(() => {
          this.orderManager.onWriteResponse(
            ticket,
            answer,
            this.#world.schedule.now,
          );
          this.#drain();
        });
      });
    });
  }

  #read(ticket: number, table: string, key: string): void {
    const fault = this.#world.reach('read', this);
    this.process.run(() => {
      this.#world.store.read(table, key, fault, answer => {
        this.process.run(() => {
          this.orderManager.onReadResponse(
            ticket,
            answer,
            this.#world.schedule.now,
          );
          this.#drain();
        });
      });
    });
  }

  /** Chooses an endpoint, which takes a moment, and sends if that is still allowed. */
  #place(request: RequestId): void {
    const pending = this.#pending.get(request);
    if (!pending) {
      this.orderManager.onNotSent(request, this.#world.schedule.now);
      return;
    }
    pending.placements += 1;
    this.#world.reach('place', this);
    const { random } = this.#world;
    this.#later(milliseconds(random.integer(0, LONGEST_PLACEMENT_MS)), () => {
      this.#send(pending);
      this.#drain();
    });
  }

  #send(pending: PendingCall): void {
    const { call } = pending;
    const { now } = this.#world.schedule;
    if (pending.placements > MAX_PLACEMENTS) {
      const outcome = this.orderManager.onNotSent(call.request, now);
      const isUnrun = outcome === 'not_run';
      this.#tell(call.request, refusalOf('no-endpoint', isUnrun));
      return;
    }
    if (!this.orderManager.permitSend(call.request, now)) {
      return;
    }
    const fault = this.#world.reach('send', this);
    this.process.run(() => {
      this.#world.post(this, call, fault);
    });
  }

  #later(delay: ReturnType<typeof milliseconds>, action: () => void): void {
    this.#world.schedule.after(delay, () => {
      this.process.run(action);
    });
  }

  #tell(request: RequestId, said: CallerResult['outcome']): void {
    const pending = this.#pending.get(request);
    if (pending) {
      this.#pending.delete(request);
      this.#world.respond(this, pending.call, said, pending.began);
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

function answerOf(result: RecordedResult): CallerResult['outcome'] {
  const text = result.body.kind === 'inline' ? result.body.base64 : '';
  return { kind: 'answer', text };
}

function refusalOf(
  reason: RefusalReason['kind'],
  isUnrun: boolean,
): CallerResult['outcome'] {
  return isUnrun ? { kind: 'not_run', reason } : { kind: 'unknown' };
}
