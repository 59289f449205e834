import { expect } from 'chai';

import { LeaseManager } from '../leases/lease-manager';
import { LeaseRules } from '../leases/lease-rules';
import { Random } from '../random/random';
import { SilentRecorder } from '../timeline/event';
import type { EndpointId } from '../types/ids';
import { endpointId, leaseId, modelId, routerId } from '../types/ids';
import type { Instant } from '../types/units';
import { instant } from '../types/units';
import { planEngines } from './engine-planner';
import {
  EngineReconciler,
  defaultEngineOrderSettings,
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
  const held = (model: string | undefined) =>
    ids.map(id => ({
      id,
      model: model === undefined ? model : modelId(model),
    }));

  it('keeps engines where they are and replaces only the lost one', () => {
    const plans = [plan('a', 2), plan('b', 1)];
    const first = planEngines(held(undefined), plans).targets;
    const lost = [...first].find(([, state]) => state.model === 'a')![0];
    const left = ids
      .filter(id => id !== lost)
      .map(id => ({ id, model: first.get(id)?.model }));
    const second = planEngines(left, plans).targets;
    for (const [id, state] of first) {
      if (id !== lost) {
        expect(second.get(id)).to.deep.equal(state);
      }
    }
    expect(second.size).to.equal(3);
  });

  it('says what is missing and leaves surplus engines alone', () => {
    expect(planEngines(held('a'), [plan('a', 5)]).shortages).to.deep.equal([
      { model: 'a', missing: 1 },
    ]);
    expect(planEngines(held('a'), [plan('a', 1)]).targets.size).to.equal(1);
  });
});

describe('EngineReconciler', () => {
  let now: Instant;
  let keeper: LeaseManager;
  let reconciler: EngineReconciler;
  const engines = new Map<EndpointId, object>();
  const orders: EngineOrder[] = [];

  /** Grants every lease write, so that the router holds the lease with number 1. */
  function holdLease(): void {
    keeper.acquire(lease, now);
    for (const command of keeper.takeCommands()) {
      if (command.kind === 'read') {
        keeper.onReadResponse(command.ticket, { kind: 'absent' }, now);
      }
    }
    for (const command of keeper.takeCommands()) {
      if (command.kind === 'write') {
        const answer = { kind: 'committed', versions: [1] } as const;
        keeper.onWriteResponse(command.ticket, answer, now);
      }
    }
  }

  function run(loading = false): void {
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
      reconciler.answered(ticket, { kind: 'reported', value }, now);
    }
  }

  beforeEach(() => {
    now = instant(0);
    orders.length = 0;
    for (const id of ids) {
      const state = { model: 'a', version: '0', adapters: [], role: 'serve' };
      engines.set(id, { ...state, highestFence: 0, loading: false });
    }
    const shared = { random: new Random(1), recorder: new SilentRecorder() };
    const router = routerId('r1');
    const rules = new LeaseRules();
    keeper = new LeaseManager({ ...shared, router, holder: 'r1.1', rules });
    const settings = { ...defaultEngineOrderSettings, maxLoads: 1 };
    reconciler = new EngineReconciler({ ...shared, lease, keeper, settings });
    reconciler.setEngines(ids);
    reconciler.setPlans([plan('a', 2)]);
  });

  it('gives no orders without the lease', () => {
    run();
    expect(orders).to.deep.equal([]);
  });

  it('limits loads and orders each engine once', () => {
    holdLease();
    run();
    run(true);
    run(true);
    expect(orders).to.have.length(1);
    for (const [id, state] of engines) {
      engines.set(id, { ...state, loading: false });
    }
    now = instant(5000);
    run();
    run();
    expect(orders.map(order => order.fence)).to.deep.equal([1, 1]);
    run();
    expect(orders).to.have.length(2);
  });

  it('raises the number of an engine that already holds the state', () => {
    reconciler.setPlans([{ ...plan('a', 4), version: '0' }]);
    holdLease();
    run();
    run();
    expect(orders).to.have.length(4);
  });

  it('does not send once the lease has lapsed, nor after a higher number', () => {
    holdLease();
    run();
    reconciler.tick(now);
    const [command] = reconciler.takeCommands();
    now = instant(13_000);
    expect(reconciler.permitOrder(command!.ticket, now)).to.equal(false);
    now = instant(0);
    reconciler.tick(now);
    const [again] = reconciler.takeCommands();
    const value = { ...engines.get(ids[0]!), highestFence: 9 };
    reconciler.answered(again!.ticket, { kind: 'reported', value }, now);
    expect(keeper.activeFence(lease, now)).to.equal(undefined);
  });

  it('treats a malformed report as a failure', () => {
    holdLease();
    reconciler.tick(now);
    const [command] = reconciler.takeCommands();
    const answer = { kind: 'reported', value: { model: 7 } } as const;
    reconciler.answered(command!.ticket, answer, now);
    reconciler.tick(now);
    expect(reconciler.takeCommands()).to.deep.equal([]);
  });
});
