/**
 * Simulates the I/O layer of a router around a lease manager and an engine
 * reconciler, in virtual time.
 */
import type {
  EngineResponse,
  EngineCommand,
} from '@sesamegrade/core/engine-orders/engine-row';
import {
  EngineReconciler,
  DEFAULT_ENGINE_ORDER_SETTINGS,
} from '@sesamegrade/core/engine-orders/engine-reconciler';
import type { ModelPlan } from '@sesamegrade/core/engine-orders/engine-planner';
import type { EngineOrder } from '@sesamegrade/core/engine-orders/engine-state';
import type { LeaseCommand } from '@sesamegrade/core/leases/lease';
import { LeaseManager } from '@sesamegrade/core/leases/lease-manager';
import type { LeaseRules } from '@sesamegrade/core/leases/lease-rules';
import type { Random } from '@sesamegrade/core/random/random';
import { NoopEventRecorder } from '@sesamegrade/core/timeline/event';
import type { EndpointId } from '@sesamegrade/core/types/ids';
import { leaseId, routerId } from '@sesamegrade/core/types/ids';
import type { Instant, Milliseconds } from '@sesamegrade/core/types/units';
import { instant, milliseconds } from '@sesamegrade/core/types/units';
import type { ExchangeFault } from '../simulation/fault';
import type { FaultyStore } from '../simulation/faulty-store';
import { Process } from '../simulation/process';
import type { Schedule } from '../simulation/schedule';

export const ENGINE_ORDER_STEPS = [
  'take-lease',
  'renew-lease',
  'release-lease',
  'read-lease',
  'read-engine',
  'order',
  'load',
] as const;

export type EngineOrderStep = (typeof ENGINE_ORDER_STEPS)[number];

export const ENGINE_LEASE = leaseId('engines');

/** The simulation as a router uses it. */
export interface EngineOrderEnvironment {
  readonly schedule: Schedule;
  readonly random: Random;
  readonly store: FaultyStore;
  readonly rules: LeaseRules;
  readonly enginesCheckFence: boolean;
  /**
   * Counts a step, injects its faults and returns the fault of the current
   * exchange, if any.
   */
  reach(
    step: EngineOrderStep,
    router: EngineOrderRouter,
  ): ExchangeFault | undefined;
  readEngine(
    engine: EndpointId,
    fault: ExchangeFault | undefined,
    reply: (response: EngineResponse) => void,
  ): void;
  /** Sends an order; called only after the permission was given. */
  sendOrder(
    router: EngineOrderRouter,
    order: EngineOrder,
    engine: EndpointId,
    fault: ExchangeFault | undefined,
    reply: (response: EngineResponse) => void,
  ): void;
  onOrderPermitted(router: EngineOrderRouter, order: EngineOrder): void;
}

const TICK = milliseconds(500);
/** Max fraction by which a router's clock runs fast or slow. */
const CLOCK_DRIFT = 0.003;
const MAX_CLOCK_OFFSET_MS = 1_000_000;

export class EngineOrderRouter {
  readonly name: string;
  readonly process: Process;
  readonly leaseManager: LeaseManager;
  readonly reconciler: EngineReconciler;
  readonly #environment: EngineOrderEnvironment;
  readonly #clockOffset: number;
  readonly #clockRate: number;
  /**
   * Whether this router is assigned the engine orders, by its own view of the
   * fleet.
   */
  isAssigned = true;

  constructor(name: string, environment: EngineOrderEnvironment) {
    const { random, rules } = environment;
    this.name = name;
    this.#environment = environment;
    this.process = new Process(random);
    this.#clockOffset = random.integer(0, MAX_CLOCK_OFFSET_MS);
    this.#clockRate = 1 + (random.fraction() * 2 - 1) * CLOCK_DRIFT;
    const recorder = new NoopEventRecorder();
    const shared = { random, recorder };
    const router = routerId(name);
    this.leaseManager = new LeaseManager({
      ...shared,
      router,
      holder: name,
      rules,
    });
    this.reconciler = new EngineReconciler({
      ...shared,
      lease: ENGINE_LEASE,
      leaseManager: this.leaseManager,
      settings: {
        ...DEFAULT_ENGINE_ORDER_SETTINGS,
        enginesCheckFence: environment.enginesCheckFence,
      },
    });
  }

  /** The router's own monotonic clock. */
  get now(): Instant {
    const elapsedTime = this.#environment.schedule.now * this.#clockRate;
    return instant(this.#clockOffset + elapsedTime);
  }

  start(engines: readonly EndpointId[], plans: readonly ModelPlan[]): void {
    this.reconciler.setEngines(engines);
    this.reconciler.setPlans(plans);
    this.#tickLater(milliseconds(this.#environment.random.integer(0, TICK)));
  }

  #tickLater(delay: Milliseconds): void {
    this.#environment.schedule.after(delay, () => {
      this.process.run(() => {
        this.#tick();
      });
      if (this.process.state !== 'dead') {
        this.#tickLater(TICK);
      }
    });
  }

  #tick(): void {
    if (this.isAssigned) {
      this.leaseManager.acquire(ENGINE_LEASE, this.now);
    } else {
      this.leaseManager.release(ENGINE_LEASE, this.now);
    }
    this.leaseManager.tick(this.now);
    this.reconciler.tick(this.now);
    this.#drain();
  }

  #drain(): void {
    for (const command of this.leaseManager.takeCommands()) {
      this.#runLeaseCommand(command);
    }
    for (const command of this.reconciler.takeCommands()) {
      this.#runEngineCommand(command);
    }
  }

  #runLeaseCommand(command: LeaseCommand): void {
    if (command.kind === 'write') {
      const { ticket, operations } = command;
      const fault = this.#environment.reach(this.#stepOf(command), this);
      this.process.run(() => {
        this.#environment.store.write(operations, fault, response => {
          this.#runAndDrain(() => {
            this.leaseManager.onWriteResponse(ticket, response, this.now);
          });
        });
      });
    } else if (command.kind === 'read') {
      const { ticket, table, key } = command;
      const fault = this.#environment.reach('read-lease', this);
      this.process.run(() => {
        this.#environment.store.read(table, key, fault, response => {
          this.#runAndDrain(() => {
            this.leaseManager.onReadResponse(ticket, response, this.now);
          });
        });
      });
    }
  }

  #stepOf(command: Extract<LeaseCommand, { kind: 'write' }>): EngineOrderStep {
    if (!this.isAssigned) {
      return 'release-lease';
    }
    const isHeld =
      this.leaseManager.activeFence(ENGINE_LEASE, this.now) !== undefined;
    const isInsert = command.operations[0]?.condition.kind === 'absent';
    return isHeld && !isInsert ? 'renew-lease' : 'take-lease';
  }

  #runEngineCommand(command: EngineCommand): void {
    const { ticket, engine } = command;
    const reply = (response: EngineResponse) => {
      this.#runAndDrain(() => {
        this.reconciler.onResponse(ticket, response, this.now);
      });
    };
    if (command.kind === 'read-engine') {
      const fault = this.#environment.reach('read-engine', this);
      this.process.run(() => {
        this.#environment.readEngine(engine, fault, reply);
      });
      return;
    }
    const fault = this.#environment.reach('order', this);
    this.process.run(() => {
      if (this.reconciler.permitOrder(ticket, this.now)) {
        this.#environment.onOrderPermitted(this, command.order);
        this.#environment.sendOrder(this, command.order, engine, fault, reply);
      }
    });
  }

  #runAndDrain(action: () => void): void {
    this.process.run(() => {
      action();
      this.#drain();
    });
  }
}
