/** Runs the commands of the lease manager on the platform's table and those of the reconcilers on engines. */
import type { EngineGroup } from '@sesamegrade/core/engine-orders/engine-group';
import type { EngineReconciler } from '@sesamegrade/core/engine-orders/engine-reconciler';
import type {
  EngineResponse,
  EngineCommand,
} from '@sesamegrade/core/engine-orders/engine-row';
import type { LeaseCommand } from '@sesamegrade/core/leases/lease';
import type { LeaseManager } from '@sesamegrade/core/leases/lease-manager';
import type { BackgroundTasks } from '@sesamegrade/core/tasks/background-tasks';
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
import type { PlatformClient } from '../platform-client/platform-client';

export interface EngineCommandRunnerOptions {
  readonly leaseManager: LeaseManager;
  readonly engineGroups: readonly EngineGroup[];
  readonly platform: PlatformClient;
  readonly client: EndpointClient;
  readonly directory: FleetDirectory;
  readonly timers: TimerService;
  readonly backgroundTasks: BackgroundTasks;
}

const TICK_PERIOD = milliseconds(100);
/** Must not exceed the maximum send time that the lease rules assume. */
const ORDER_TIMEOUT_MS = 1500;
const CONFLICT = 409;
const OK = 200;

export class EngineCommandRunner {
  readonly #options: EngineCommandRunnerOptions;
  readonly #heldLeases = new Map<LeaseId, FencingNumber>();

  constructor(options: EngineCommandRunnerOptions) {
    this.#options = options;
  }

  /** Leases that this router holds, with their fencing numbers. */
  get heldLeases(): ReadonlyMap<LeaseId, FencingNumber> {
    return this.#heldLeases;
  }

  /** Number of leases whose release is not stored yet. */
  get unreleasedLeaseCount(): number {
    return this.#options.leaseManager.openCount;
  }

  start(): () => void {
    return this.#options.timers.every(TICK_PERIOD, now => {
      this.#options.leaseManager.tick(now);
      for (const group of this.#options.engineGroups) {
        group.tick(now);
      }
      this.#runCommands();
    });
  }

  /** Releases every lease; no orders are sent to engines afterwards. */
  releaseAll(): void {
    const { leaseManager, timers } = this.#options;
    leaseManager.releaseAll(timers.now());
    this.#runCommands();
  }

  #run(task: string, work: () => Promise<void>): void {
    this.#options.backgroundTasks.run(task, work);
  }

  #runCommands(): void {
    const { leaseManager, engineGroups } = this.#options;
    for (const command of leaseManager.takeCommands()) {
      this.#runLeaseCommand(command);
    }
    for (const { reconciler } of engineGroups) {
      for (const command of reconciler.takeCommands()) {
        this.#run('engine-order', () =>
          this.#runEngineCommand(reconciler, command),
        );
      }
    }
  }

  #runLeaseCommand(command: LeaseCommand): void {
    switch (command.kind) {
      case 'write':
        this.#run('lease-write', () => this.#write(command));
        return;
      case 'read':
        this.#run('lease-read', () => this.#read(command));
        return;
      case 'taken':
        this.#heldLeases.set(command.lease, command.fence);
        return;
      case 'lost':
        this.#heldLeases.delete(command.lease);
    }
  }

  async #write(
    command: Extract<LeaseCommand, { kind: 'write' }>,
  ): Promise<void> {
    const { leaseManager, platform } = this.#options;
    const response = await platform.write(command.operations);
    leaseManager.onWriteResponse(command.ticket, response, this.#now());
    this.#runCommands();
  }

  async #read(command: Extract<LeaseCommand, { kind: 'read' }>): Promise<void> {
    const { leaseManager, platform } = this.#options;
    const response = await platform.read(command.table, command.key);
    leaseManager.onReadResponse(command.ticket, response, this.#now());
    this.#runCommands();
  }

  async #runEngineCommand(
    reconciler: EngineReconciler,
    command: EngineCommand,
  ): Promise<void> {
    const { ticket, engine } = command;
    if (command.kind === 'read-engine') {
      const response = await this.#call(engine, readCall());
      reconciler.onResponse(ticket, response, this.#now());
      return;
    }
    const call = orderCall(command.order);
    if (!reconciler.permitOrder(ticket, this.#now())) {
      return;
    }
    const response = await this.#call(engine, call);
    reconciler.onResponse(ticket, response, this.#now());
  }

  async #call(engine: EndpointId, call: OutgoingCall): Promise<EngineResponse> {
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
      const isReport = statusCode === OK || statusCode === CONFLICT;
      return isReport ? { kind: 'reported', value } : { kind: 'failed' };
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
