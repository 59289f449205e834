import { expect } from 'chai';

import { Random } from '../random/random';
import { requestId, routeId, teamId } from '../types/ids';
import { addTime, instant, milliseconds, seconds } from '../types/units';
import { ServiceAdmission } from './service-admission';
import type {
  ServiceDecision,
  ServiceRequest,
  ServiceView,
} from './service-admission';

const FREE: ServiceView = {
  slots: 100,
  requests: 99,
  routers: 10,
  age: milliseconds(100),
};
const FULL: ServiceView = { ...FREE, requests: 300 };
const NOW = instant(1000);
const ROUTE = routeId('route');

describe('ServiceAdmission', () => {
  let admission: ServiceAdmission;
  let count: number;

  beforeEach(() => {
    admission = new ServiceAdmission(new Random(1));
    count = 0;
  });

  function request(fields: Partial<ServiceRequest> = {}): ServiceRequest {
    count += 1;
    return {
      request: requestId(String(count)),
      route: ROUTE,
      team: teamId('team'),
      priority: 2,
      latencyGoal: seconds(2),
      remaining: seconds(10),
      repeatable: true,
      ...fields,
    };
  }

  function learn(duration: number): void {
    for (let index = 0; index < 40; index += 1) {
      admission.recordDuration(ROUTE, milliseconds(duration));
    }
  }

  function decideMany(
    number: number,
    view: ServiceView,
    fields: Partial<ServiceRequest> = {},
  ): ServiceDecision[] {
    return Array.from({ length: number }, () =>
      admission.decide(request(fields), view, NOW),
    );
  }

  const kinds = (decisions: readonly ServiceDecision[]) =>
    new Set(decisions.map(({ kind }) => kind));

  // Guards against requests that are held or refused while slots are free.
  it('admits every request while slots are free, also one that is unlikely to finish', () => {
    learn(5000);
    const fields = { remaining: milliseconds(600) };
    expect(kinds(decideMany(500, FREE, fields))).to.deep.equal(
      new Set(['admit']),
    );
  });

  // Guards against a router that is cut off from the others and refuses by what it no longer sees.
  for (const [name, age] of [
    ['no view', undefined],
    ['a view that is 3 s old', seconds(3)],
  ] as const) {
    it(`admits every request with ${name}`, () => {
      learn(5000);
      expect(kinds(decideMany(500, { ...FULL, age }))).to.deep.equal(
        new Set(['admit']),
      );
    });
  }

  // Guards against a view that loses its effect suddenly, so that all routers admit at once.
  it('counts less of what exceeds the slots the older the view is', () => {
    const admitted = [100, 2000, 2500, 2900].map(age => {
      admission = new ServiceAdmission(new Random(1));
      learn(2000);
      let sum = 0;
      for (let at = 0; at < 5000; at += 10) {
        const decision = admission.decide(
          request(),
          { ...FULL, age: milliseconds(age) },
          addTime(NOW, milliseconds(at)),
        );
        sum += Number(decision.kind === 'admit');
      }
      return sum;
    });
    expect(admitted).to.deep.equal(
      admitted.toSorted((left, right) => left - right),
    );
    expect(admitted[3]).to.be.greaterThan(admitted[0] ?? 0);
  });

  // Guards against writes that are cut off with an unknown outcome.
  it('refuses at once what cannot finish, with a delay of at most a third of its time', () => {
    learn(5000);
    const decisions = decideMany(200, FULL, { remaining: milliseconds(600) });
    const delays = decisions.map(decision =>
      decision.kind === 'refuse' && decision.reason === 'too-late'
        ? decision.retryAfter
        : undefined,
    );
    expect(delays).not.to.include(undefined);
    expect(Math.max(...(delays as number[]))).to.be.at.most(200);
    // Guards against callers that all return at once.
    expect(new Set(delays).size).to.be.greaterThan(50);
  });

  // Guards against requests that are held until their deadline.
  it('refuses what cannot start within half of its goal instead of holding it', () => {
    learn(2000);
    const decisions = decideMany(200, FULL);
    expect(decisions.filter(({ kind }) => kind === 'wait').length).to.be.below(
      20,
    );
    expect(decisions.at(-1)?.kind).to.equal('refuse');
  });

  // Guards against a queue that grows without a bound.
  it('holds no more requests than its settings allow', () => {
    admission = new ServiceAdmission(new Random(1), {
      maxWait: seconds(100),
      maxWaiting: 3,
    });
    learn(2000);
    decideMany(500, FULL, {
      latencyGoal: seconds(1000),
      remaining: seconds(2000),
    });
    expect(admission.waiting).to.be.at.most(3);
  });

  // Guards against a request that is sent after its caller has left.
  it('decides no more on a request that was cancelled', () => {
    admission = new ServiceAdmission(new Random(1), {
      maxWait: seconds(100),
      maxWaiting: 100,
    });
    learn(2000);
    const waiting: ServiceRequest[] = [];
    for (let index = 0; index < 100; index += 1) {
      const next = request({
        latencyGoal: seconds(1000),
        remaining: seconds(2000),
      });
      if (admission.decide(next, FULL, NOW).kind === 'wait') {
        waiting.push(next);
      }
    }
    expect(waiting).not.to.deep.equal([]);
    for (const { request: id } of waiting) {
      admission.cancel(id);
    }
    const later = addTime(NOW, seconds(1));
    expect(admission.tick({ ...FULL, requests: 0 }, later)).to.deep.equal([]);
    expect(admission.waiting).to.equal(0);
  });

  // Guards against a slot that goes to the request that came first instead of the most urgent one.
  it('admits waiting requests by priority, then by the time that they have left', () => {
    admission = new ServiceAdmission(new Random(1), {
      maxWait: seconds(100),
      maxWaiting: 100,
    });
    learn(2000);
    const long = { latencyGoal: seconds(1000), remaining: seconds(2000) };
    const overFull = { ...FULL, requests: 100_000 };
    const waits = (fields: Partial<ServiceRequest>) => {
      for (;;) {
        const next = request({ ...long, ...fields });
        if (admission.decide(next, overFull, NOW).kind === 'wait') {
          return next.request;
        }
      }
    };
    const patient = waits({ team: teamId('a'), latencyGoal: seconds(150) });
    const hurried = waits({ team: teamId('b'), latencyGoal: seconds(100) });
    const urgent = waits({ team: teamId('c'), priority: 0 });
    const order: string[] = [];
    const room = { ...FULL, requests: 100, routers: 1 };
    for (let at = 10; order.length < 3 && at < 10_000; at += 10) {
      const decisions = admission.tick(room, addTime(NOW, milliseconds(at)));
      order.push(...decisions.map(({ request: id }) => id));
    }
    expect(order).to.deep.equal([urgent, hurried, patient]);
  });

  // Guards against requests that wait on although the router has lost its view.
  it('admits all waiting requests once the view is too old', () => {
    admission = new ServiceAdmission(new Random(1), {
      maxWait: seconds(100),
      maxWaiting: 100,
    });
    learn(2000);
    decideMany(50, FULL, {
      latencyGoal: seconds(1000),
      remaining: seconds(2000),
    });
    expect(admission.waiting).to.be.greaterThan(0);
    const decisions = admission.tick(
      { ...FULL, age: seconds(3) },
      addTime(NOW, milliseconds(25)),
    );
    expect(
      new Set(decisions.map(({ decision }) => decision.kind)),
    ).to.deep.equal(new Set(['admit']));
    expect(admission.waiting).to.equal(0);
  });
});
