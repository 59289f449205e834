import { expect } from 'chai';

import type { EndpointEntry } from '@sesamegrade/core/endpoints/endpoint-entry';
import { Random } from '@sesamegrade/core/random/random';
import { ManualTimerService } from '@sesamegrade/core/time/manual-timer-service';
import type {
  Cancel,
  TimerListener,
} from '@sesamegrade/core/time/timer-service';
import {
  endpointId,
  routeId,
  serviceId,
  teamId,
} from '@sesamegrade/core/types/ids';
import { milliseconds, seconds } from '@sesamegrade/core/types/units';
import type { Milliseconds } from '@sesamegrade/core/types/units';
import { AdmissionGate } from './admission-gate';
import type {
  AdmissionOutcome,
  GateRequest,
  PendingAdmission,
} from './admission-gate';

/** Counts the timers that are not cancelled. */
class CountingTimers extends ManualTimerService {
  active = 0;

  override every(period: Milliseconds, listener: TimerListener): Cancel {
    this.active += 1;
    const cancel = super.every(period, listener);
    return () => {
      this.active -= 1;
      cancel();
    };
  }
}

const SERVICE = serviceId('service');
const ROUTE = routeId('route');
const SLOTS = 10;

describe('AdmissionGate', () => {
  let timers: CountingTimers;
  let requests: number;
  let age: Milliseconds | undefined;
  let decisions: string[];
  let gate: AdmissionGate;

  beforeEach(() => {
    open(true);
  });

  function open(isEnabled: boolean): void {
    timers = new CountingTimers();
    requests = SLOTS;
    age = milliseconds(100);
    decisions = [];
    const endpoints = [1, 2].map(
      number =>
        ({ id: endpointId(`e-${number}`), slots: SLOTS }) as EndpointEntry,
    );
    gate = new AdmissionGate({
      settings: {
        admission: {
          enabled: isEnabled,
          max_wait_ms: seconds(60),
          max_waiting: 100,
        },
      },
      endpointDirectory: { usable: () => endpoints },
      // The second endpoint is not chosen from, so that its free slots are of no use.
      loads: {
        total: id => (id === endpointId('e-1') ? requests : 0),
        viewAge: () => age,
      },
      health: { accepts: id => id !== endpointId('e-2') },
      holds: { remaining: () => milliseconds(0) },
      routerDirectory: { fleetSize: 4 },
      timers,
      random: new Random(1),
      gatewayMetrics: {
        recordAdmission: decision => decisions.push(decision),
        registerGauge: () => undefined,
      },
    });
    for (let count = 0; count < 40; count += 1) {
      gate.recordDuration(SERVICE, ROUTE, seconds(2));
    }
  }

  function enter(
    fields: Partial<GateRequest> = {},
  ): PendingAdmission | undefined {
    return gate.enter({
      service: SERVICE,
      route: ROUTE,
      team: teamId('team'),
      priority: 2,
      latencyGoal: seconds(100),
      remaining: seconds(200),
      repeatable: true,
      ...fields,
    });
  }

  /** Enters requests until one waits. */
  function enterWaiting(fields: Partial<GateRequest> = {}): {
    pending: PendingAdmission;
    outcome: () => AdmissionOutcome | undefined;
  } {
    requests = 100;
    for (;;) {
      const pending = enter(fields);
      if (pending && gate.waiting > 0) {
        let outcome: AdmissionOutcome | undefined;
        pending.outcome.then(
          result => {
            outcome = result;
          },
          () => undefined,
        );
        return { pending, outcome: () => outcome };
      }
    }
  }

  const settle = () => new Promise(resolve => setImmediate(resolve));

  // Guards against timers and promises for every request of a service with free slots.
  it('lets requests pass without a timer while slots are free', () => {
    requests = SLOTS - 1;
    expect(enter()).to.equal(undefined);
    expect(decisions).to.deep.equal(['admitted']);
    expect(timers.active).to.equal(0);
  });

  // Guards against a router that was told to admit everything and does not.
  it('lets all requests pass if it is disabled', () => {
    open(false);
    requests = 1000;
    for (let count = 0; count < 100; count += 1) {
      expect(enter()).to.equal(undefined);
    }
  });

  // Guards against requests that are sent for a caller that has left, or by a router that stops.
  it('ends a wait that is cancelled, and its timer', async () => {
    const { pending, outcome } = enterWaiting();
    expect(timers.active).to.equal(1);
    pending.cancel();
    pending.cancel();
    await settle();
    expect(outcome()).to.deep.equal({ kind: 'cancelled' });
    expect(gate.waiting).to.equal(0);
    expect(timers.active).to.equal(0);
    expect(decisions.filter(kind => kind === 'cancelled').length).to.equal(1);
  });

  // Guards against requests that wait on although slots are free.
  it('admits a waiting request when slots are free', async () => {
    const { outcome } = enterWaiting();
    requests = 0;
    timers.advance(seconds(2));
    await settle();
    expect(outcome()).to.deep.equal({ kind: 'admitted' });
    expect(timers.active).to.equal(0);
  });

  // Guards against requests that are held for all of their time.
  it('refuses a waiting request whose wait is over', async () => {
    const { outcome } = enterWaiting({ latencyGoal: seconds(20) });
    timers.advance(seconds(10.1));
    await settle();
    expect(outcome()?.kind).to.equal('refused');
  });

  // Guards against requests that wait for what a router that is cut off cannot learn.
  it('admits waiting requests once the view is too old', async () => {
    const { outcome } = enterWaiting();
    age = seconds(3);
    timers.advance(milliseconds(25));
    await settle();
    expect(outcome()).to.deep.equal({ kind: 'admitted' });
  });
});
