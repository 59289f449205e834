/** Carries leases to the platform's table and orders to engines. */
import type { EngineGroup } from '@sesamegrade/core/engine-orders/engine-group';
import type { EngineReconciler } from '@sesamegrade/core/engine-orders/engine-reconciler';
import type {
  EngineResponse,
  EngineCommand,
} from '@sesamegrade/core/engine-orders/engine-row';
import type { LeaseCommand } from '@sesamegrade/core/leases/lease';
import type { LeaseManager } from '@sesamegrade/core/leases/lease-manager';
import type { TimerService } from '@sesamegrade/core/time/timer-service';
import type {
  EndpointId,
  FencingNumber,
  LeaseId,
} from '@sesamegrade/core/types/ids';
import { milliseconds } from '@sesamegrade/core/types/units';
import type { Instant } from '@sesamegrade/core/types/units';
import type { OutgoingCall } from '../dispatch/exchange';
import type { EndpointClient } from '../endpoints/endpoint-client';
import type { FleetDirectory } from '../fleet/fleet-directory';
import type { Platform } from '../platform/platform';

export interface EngineOrderDeskOptions {
  readonly leaseKeeper: LeaseManager;
  readonly engineGroups: readonly EngineGroup[];
  readonly platform: Platform;
  readonly client: EndpointClient;
  readonly directory: FleetDirectory;
  readonly timers: TimerService;
}

const TICK_PERIOD = milliseconds(100);
/** Not above the longest send that the leases allow for. */
const ORDER_TIMEOUT_MS = 1500;
const CONFLICT = 409;
const OK = 200;

export class EngineOrderDesk {
  readonly #options: EngineOrderDeskOptions;
  readonly #held = new Map<LeaseId, FencingNumber>();

  constructor(options: EngineOrderDeskOptions) {
    this.#options = options;
  }

  /** Leases that this router holds, with their fencing numbers. */
  get held(): ReadonlyMap<LeaseId, FencingNumber> {
    return this.#held;
  }

  /** Leases that still have to be given up in the store. */
  get open(): number {
    return this.#options.leaseKeeper.openCount;
  }

  start(): () => void {
    return this.#options.timers.every(TICK_PERIOD, now => {
      this.#options.leaseKeeper.tick(now);
      for (const group of this.#options.engineGroups) {
        group.tick(now);
      }
      this.#perform();
    });
  }

  /** Gives every lease up; no order is sent any more. */
  releaseAll(): void {
    const { leaseKeeper, timers } = this.#options;
    leaseKeeper.releaseAll(timers.now());
    this.#perform();
  }

  #perform(): void {
    const { leaseKeeper, engineGroups } = this.#options;
    for (const command of leaseKeeper.takeCommands()) {
      this.#performLease(command);
    }
    for (const { reconciler } of engineGroups) {
      for (const command of reconciler.takeCommands()) {
        void this.#performEngine(reconciler, command);
      }
    }
  }

  #performLease(command: LeaseCommand): void {
    switch (command.kind) {
      case 'write':
        void this.#write(command);
        return;
      case 'read':
        void this.#read(command);
        return;
      case 'taken':
        this.#held.set(command.lease, command.fence);
        return;
      case 'lost':
        this.#held.delete(command.lease);
    }
  }

  async #write(
    command: Extract<LeaseCommand, { kind: 'write' }>,
  ): Promise<void> {
    const { leaseKeeper, platform } = this.#options;
    const answer = await platform.write(command.operations);
    leaseKeeper.onWriteResponse(command.ticket, answer, this.#now());
    this.#perform();
  }

  async #read(command: Extract<LeaseCommand, { kind: 'read' }>): Promise<void> {
    const { leaseKeeper, platform } = this.#options;
    const answer = await platform.read(command.table, command.key);
    leaseKeeper.onReadResponse(command.ticket, answer, this.#now());
    this.#perform();
  }

  async #performEngine(
    reconciler: EngineReconciler,
    command: EngineCommand,
  ): Promise<void> {
    const { ticket, engine } = command;
    if (command.kind === 'read-engine') {
      const answer = await this.#exchange(engine, readCall());
      reconciler.onResponse(ticket, answer, this.#now());
      return;
    }
    const call = orderCall(command.order);
    if (!reconciler.permitOrder(ticket, this.#now())) {
      return;
    }
    const answer = await this.#exchange(engine, call);
    reconciler.onResponse(ticket, answer, this.#now());
  }

  async #exchange(
    engine: EndpointId,
    call: OutgoingCall,
  ): Promise<EngineResponse> {
    const { directory, client } = this.#options;
    const address = directory.addressOf(engine);
    if (address === undefined) {
      return { kind: 'failed' };
    }
    const signal = AbortSignal.timeout(ORDER_TIMEOUT_MS);
    const result = await client.send(address, call, signal);
    if (result.kind === 'failed') {
      return { kind: 'failed' };
    }
    const { statusCode, body } = result.response;
    try {
      const value: unknown = await body.json();
      const told = statusCode === OK || statusCode === CONFLICT;
      return told ? { kind: 'reported', value } : { kind: 'failed' };
    } catch {
      return { kind: 'failed' };
    }
  }

  #now(): Instant {
    return this.#options.timers.now();
  }
}

function readCall(): OutgoingCall {
  return { method: 'GET', path: '/desired', headers: {}, body: undefined };
}

function orderCall(order: object): OutgoingCall {
  return {
    method: 'PUT',
    path: '/desired',
    headers: { 'content-type': 'application/json' },
    body: Buffer.from(JSON.stringify(order)),
  };
}
