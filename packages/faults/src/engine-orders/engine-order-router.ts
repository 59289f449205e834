/** A router's shell around a lease keeper and a reconciler, on a schedule. */
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

/** What a router needs from the world around it. */
export interface EngineOrderEnvironment {
  readonly schedule: Schedule;
  readonly random: Random;
  readonly store: FaultyStore;
  readonly rules: LeaseRules;
  readonly enginesCheckFence: boolean;
  reach(
    step: EngineOrderStep,
    router: EngineOrderRouter,
  ): ExchangeFault | undefined;
  readEngine(
    engine: EndpointId,
    fault: ExchangeFault | undefined,
    reply: (answer: EngineResponse) => void,
  ): void;
  /** Called with the permission given; the order is on its way. */
  sendOrder(
    router: EngineOrderRouter,
    order: EngineOrder,
    engine: EndpointId,
    fault: ExchangeFault | undefined,
    reply: (answer: EngineResponse) => void,
  ): void;
  onOrderPermitted(router: EngineOrderRouter, order: EngineOrder): void;
}

const TICK = milliseconds(500);
/** Highest part by which a clock runs fast or slow. */
const CLOCK_DRIFT = 0.003;
const LONGEST_CLOCK_OFFSET_MS = 1_000_000;

export class EngineOrderRouter {
  readonly name: string;
  readonly process: Process;
  readonly leaseManager: LeaseManager;
  readonly reconciler: EngineReconciler;
  readonly #world: EngineOrderEnvironment;
  readonly #clockOffset: number;
  readonly #clockRate: number;
  /** Whether the duty falls on this router by its own view. */
  isAssigned = true;

  constructor(name: string, world: EngineOrderEnvironment) {
    const { random, rules } = world;
    this.name = name;
    this.#world = world;
    this.process = new Process(random);
    this.#clockOffset = random.integer(0, LONGEST_CLOCK_OFFSET_MS);
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
        enginesCheckFence: world.enginesCheckFence,
      },
    });
  }

  /** The router's own monotonic clock. */
  get now(): Instant {
    const elapsedTime = this.#world.schedule.now * this.#clockRate;
    return instant(this.#clockOffset + elapsedTime);
  }

  start(engines: readonly EndpointId[], plans: readonly ModelPlan[]): void {
    this.reconciler.setEngines(engines);
    this.reconciler.setPlans(plans);
    this.#tickLater(milliseconds(this.#world.random.integer(0, TICK)));
  }

  #tickLater(delay: Milliseconds): void {
    this.#world.schedule.after(delay, () => {
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
      this.#runLease(command);
    }
    for (const command of this.reconciler.takeCommands()) {
      this.#runEngine(command);
    }
  }

  #runLease(command: LeaseCommand): void {
    if (command.kind === 'write') {
      const { ticket, operations } = command;
      const fault = this.#world.reach(this.#stepOf(command), this);
      this.process.run(() => {
        this.#world.store.write(operations, fault, answer => {
          this.#later(() => {
            this.leaseManager.onWriteResponse(ticket, answer, this.now);
          });
        });
      });
    } else if (command.kind === 'read') {
      const { ticket, table, key } = command;
      const fault = this.#world.reach('read-lease', this);
      this.process.run(() => {
        this.#world.store.read(table, key, fault, answer => {
          this.#later(() => {
            this.leaseManager.onReadResponse(ticket, answer, this.now);
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

  #runEngine(command: EngineCommand): void {
    const { ticket, engine } = command;
    const reply = (answer: EngineResponse) => {
      this.#later(() => {
        this.reconciler.onResponse(ticket, answer, this.now);
      });
    };
    if (command.kind === 'read-engine') {
      const fault = this.#world.reach('read-engine', this);
      this.process.run(() => {
        this.#world.readEngine(engine, fault, reply);
      });
      return;
    }
    const fault = this.#world.reach('order', this);
    this.process.run(() => {
      if (this.reconciler.permitOrder(ticket, this.now)) {
        this.#world.onOrderPermitted(this, command.order);
        this.#world.sendOrder(this, command.order, engine, fault, reply);
      }
    });
  }

  #later(action: () => void): void {
    this.process.run(() => {
      action();
      this.#drain();
    });
  }
}
