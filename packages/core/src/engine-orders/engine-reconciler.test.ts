import { expect } from 'chai';

import { LeaseManager } from '../leases/lease-manager';
import { LeaseRules } from '../leases/lease-rules';
import { Random } from '../random/random';
import { NoopEventRecorder } from '../timeline/event';
import type { EndpointId } from '../types/ids';
import { endpointId, leaseId, modelId, routerId } from '../types/ids';
import type { Instant } from '../types/units';
import { instant } from '../types/units';
import { planEngines } from './engine-planner';
import {
  EngineReconciler,
  DEFAULT_ENGINE_ORDER_SETTINGS,
} from './engine-reconciler';
import type { EngineOrder } from './engine-state';

const lease = leaseId('engines');
const ids = ['e1', 'e2', 'e3', 'e4'].map(endpointId);
const plan = (model: string, engines: number) => ({
  model: modelId(model),
  version: '1',
  adapters: [],
  role: 'serve',
  engines,
});

describe('planEngines', () => {
  const enginesWith = (model: string | undefined) =>
    ids.map(id => ({
      id,
      model: model === undefined ? model : modelId(model),
    }));

  it('leaves engines on their model and replaces only a lost engine', () => {
    const plans = [plan('a', 2), plan('b', 1)];
    const first = planEngines(enginesWith(undefined), plans).targets;
    const lost = [...first].find(([, state]) => state.model === 'a')![0];
    const remaining = ids
      .filter(id => id !== lost)
      .map(id => ({ id, model: first.get(id)?.model }));
    const second = planEngines(remaining, plans).targets;
    for (const [id, state] of first) {
      if (id !== lost) {
        expect(second.get(id)).to.deep.equal(state);
      }
    }
    expect(second.size).to.equal(3);
  });

  it('reports missing engines and gives surplus engines no target', () => {
    expect(
      planEngines(enginesWith('a'), [plan('a', 5)]).shortages,
    ).to.deep.equal([{ model: 'a', missing: 1 }]);
    expect(planEngines(enginesWith('a'), [plan('a', 1)]).targets.size).to.equal(
      1,
    );
  });
});

describe('EngineReconciler', () => {
  let now: Instant;
  let leaseManager: LeaseManager;
  let reconciler: EngineReconciler;
  const engines = new Map<EndpointId, object>();
  const orders: EngineOrder[] = [];

  /** Commits the lease write, so that the router holds the lease with fencing number 1. */
  function acquireLease(): void {
    leaseManager.acquire(lease, now);
    for (const command of leaseManager.takeCommands()) {
      if (command.kind === 'read') {
        leaseManager.onReadResponse(command.ticket, { kind: 'absent' }, now);
      }
    }
    for (const command of leaseManager.takeCommands()) {
      if (command.kind === 'write') {
        const response = { kind: 'committed', versions: [1] } as const;
        leaseManager.onWriteResponse(command.ticket, response, now);
      }
    }
  }

  function runReconciler(loading = false): void {
    reconciler.tick(now);
    for (const command of reconciler.takeCommands()) {
      const { ticket, engine } = command;
      if (command.kind === 'order-engine') {
        expect(reconciler.permitOrder(ticket, now)).to.equal(true);
        const { order } = command;
        orders.push(order);
        engines.set(engine, { ...order, highestFence: order.fence, loading });
      }
      const value = engines.get(engine);
      reconciler.onResponse(ticket, { kind: 'reported', value }, now);
    }
  }

  beforeEach(() => {
    now = instant(0);
    orders.length = 0;
    for (const id of ids) {
      const state = { model: 'a', version: '0', adapters: [], role: 'serve' };
      engines.set(id, { ...state, highestFence: 0, loading: false });
    }
    const shared = { random: new Random(1), recorder: new NoopEventRecorder() };
    const router = routerId('r1');
    const rules = new LeaseRules();
    leaseManager = new LeaseManager({
      ...shared,
      router,
      holder: 'r1.1',
      rules,
    });
    const settings = { ...DEFAULT_ENGINE_ORDER_SETTINGS, maxLoads: 1 };
    reconciler = new EngineReconciler({
      ...shared,
      lease,
      leaseManager,
      settings,
    });
    reconciler.setEngines(ids);
    reconciler.setPlans([plan('a', 2)]);
  });

  it('sends no orders without the lease', () => {
    runReconciler();
    expect(orders).to.deep.equal([]);
  });

  it('limits concurrent weight loads and sends each engine one order', () => {
    acquireLease();
    runReconciler();
    runReconciler(true);
    runReconciler(true);
    expect(orders).to.have.length(1);
    for (const [id, state] of engines) {
      engines.set(id, { ...state, loading: false });
    }
    now = instant(5000);
    runReconciler();
    runReconciler();
    expect(orders.map(order => order.fence)).to.deep.equal([1, 1]);
    runReconciler();
    expect(orders).to.have.length(2);
  });

  it('sends the new fencing number to engines whose state already matches', () => {
    reconciler.setPlans([{ ...plan('a', 4), version: '0' }]);
    acquireLease();
    runReconciler();
    runReconciler();
    expect(orders).to.have.length(4);
  });

  it('sends no order after the lease has expired or a higher fencing number is reported', () => {
    acquireLease();
    runReconciler();
    reconciler.tick(now);
    const [command] = reconciler.takeCommands();
    now = instant(13_000);
    expect(reconciler.permitOrder(command!.ticket, now)).to.equal(false);
    now = instant(0);
    reconciler.tick(now);
    const [nextCommand] = reconciler.takeCommands();
    const value = { ...engines.get(ids[0]!), highestFence: 9 };
    reconciler.onResponse(
      nextCommand!.ticket,
      { kind: 'reported', value },
      now,
    );
    expect(leaseManager.activeFence(lease, now)).to.equal(undefined);
  });

  it('treats a malformed report as a failed request', () => {
    acquireLease();
    reconciler.tick(now);
    const [command] = reconciler.takeCommands();
    const response = { kind: 'reported', value: { model: 7 } } as const;
    reconciler.onResponse(command!.ticket, response, now);
    reconciler.tick(now);
    expect(reconciler.takeCommands()).to.deep.equal([]);
  });
});
