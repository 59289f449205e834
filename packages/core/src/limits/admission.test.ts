import { expect } from 'chai';
import fc from 'fast-check';

import { Random } from '../random/random';
import { requestId, routerId, teamId } from '../types/ids';
import type { RequestId } from '../types/ids';
import { bytes, instant, seconds } from '../types/units';
import { Admission } from './admission';
import type { AdmissionDecision } from './admission';
import { DemandTable } from './demand-table';
import { DemandTopic } from './demand-topic';
import { GossipedShares } from './gossiped-shares';
import { maxMinShares } from './max-min-shares';
import { poolId } from './pool';
import { TeamLimiter } from './team-limiter';
import { FixedTeamPolicy, UNLIMITED_TEAM } from './team-policy';

const pool = poolId('drafting');
const quiet = teamId('quiet');
const surging = teamId('surging');
const start = instant(0);

function build(limits: Partial<typeof UNLIMITED_TEAM> = {}) {
  const policy = new FixedTeamPolicy(
    new Map([[quiet, { ...UNLIMITED_TEAM, ...limits }]]),
  );
  const table = new DemandTable();
  const admission = new Admission({
    policy,
    limiter: new TeamLimiter(policy),
    shares: new GossipedShares(pool, table, policy),
    meter: table.meter(pool),
    random: new Random(7),
  });
  return { table, admission };
}

function entry(id: string, team = quiet, priority = 0, deadline = 60_000) {
  return {
    request: requestId(id),
    team,
    priority,
    deadline: instant(deadline),
  };
}

describe('Admission', () => {
  it('queues requests at the bound and admits them by priority when a slot becomes free', () => {
    const { admission } = build();
    admission.onCapacityChanged({ slots: 40, free: 1 });
    expect(admission.request(entry('a'), start).kind).to.equal('admitted');
    expect(admission.request(entry('b'), start).kind).to.equal('queued');
    const urgent = entry('c', quiet, -1);
    expect(admission.request(urgent, start).kind).to.equal('queued');
    admission.onFinished(requestId('a'), instant(100));
    expect(admission.tick(instant(100))).to.deep.equal([
      { kind: 'admitted', request: 'c' },
    ]);
  });

  it('refuses a queued request when the maximum wait ends, well before its deadline', () => {
    const { admission } = build();
    admission.onCapacityChanged({ slots: 40, free: 0 });
    const decision = admission.request(entry('a'), start);
    expect(decision).to.include({ kind: 'queued', until: 2000 });
    const later = admission.tick(instant(2000));
    expect(later).to.have.lengthOf(1);
    expect(later[0]).to.have.nested.property('reason.kind', 'overloaded');
    expect(admission.tick(instant(60_000))).to.deep.equal([]);
  });

  it('refuses requests immediately that the queue cannot serve in time', () => {
    const { admission } = build();
    admission.onCapacityChanged({ slots: 40, free: 0 });
    const kinds = [0, 1, 2, 3, 4].map(
      index => admission.request(entry(`r${index}`), start).kind,
    );
    expect(kinds).to.deep.equal([
      'queued',
      'queued',
      'refused',
      'refused',
      'refused',
    ]);
  });

  it('sheds requests of a team whose surge only peers report and admits those of a quiet team', () => {
    const { admission, table } = build();
    new DemandTopic(table).receive(
      routerId('peer'),
      [
        ['drafting', 'surging', 4000],
        ['drafting', 'quiet', 100],
      ],
      start,
    );
    admission.onCapacityChanged({ slots: 40, free: 40 });
    let shed = 0;
    for (let index = 0; index < 20; index += 1) {
      const id = `s${index}`;
      const decision = admission.request(entry(id, surging), start);
      shed += decision.kind === 'refused' ? 1 : 0;
      expect(admission.request(entry(`q${index}`), start).kind).to.equal(
        'admitted',
      );
    }
    expect(shed).to.be.at.least(18);
  });

  it('refuses requests of a team above its in-flight limit', () => {
    const { admission } = build({ maxInFlight: 2 });
    admission.onCapacityChanged({ slots: 40, free: 40 });
    admission.request(entry('a'), start);
    admission.request(entry('b'), start);
    const third = admission.request(entry('c'), start);
    expect(third).to.have.nested.property('reason.kind', 'team-over-limit');
  });

  it('decides each request once and counts queued requests correctly under invalid capacities, priorities and deadlines', () => {
    const anyNumber = fc.oneof(
      fc.integer({ min: -5, max: 50 }),
      fc.constantFrom(NaN, Infinity, -Infinity, 1e300),
    );
    const step = fc.oneof(
      fc.record({
        kind: fc.constant('request' as const),
        priority: anyNumber,
        deadline: anyNumber,
      }),
      fc.record({
        kind: fc.constant('capacity' as const),
        slots: anyNumber,
        free: anyNumber,
      }),
      fc.record({ kind: fc.constant('finish' as const), index: fc.nat(50) }),
      fc.record({ kind: fc.constant('requeue' as const), index: fc.nat(50) }),
      fc.record({ kind: fc.constant('tick' as const), by: anyNumber }),
    );
    fc.assert(
      fc.property(fc.array(step, { maxLength: 80 }), steps => {
        const { admission } = build();
        const open = new Map<RequestId, 'queued' | 'admitted'>();
        let now = start;
        let count = 0;
        const recordDecision = (decision: AdmissionDecision) => {
          if (decision.kind === 'refused') {
            open.delete(decision.request);
          } else {
            open.set(decision.request, decision.kind);
          }
        };
        for (const action of steps) {
          if (action.kind === 'request') {
            count += 1;
            recordDecision(
              admission.request(
                entry(
                  `r${count}`,
                  quiet,
                  action.priority,
                  now + action.deadline,
                ),
                now,
              ),
            );
          } else if (action.kind === 'capacity') {
            admission.onCapacityChanged(action);
          } else if (action.kind === 'finish') {
            const id = requestId(`r${action.index}`);
            admission.onFinished(id, now);
            if (open.get(id) === 'admitted') {
              open.delete(id);
            }
          } else if (action.kind === 'requeue') {
            const id = requestId(`r${action.index}`);
            const decision = admission.requeue(id, now);
            expect(decision !== undefined).to.equal(
              open.get(id) === 'admitted',
            );
            if (decision) {
              recordDecision(decision);
            }
          } else {
            const by = Number.isFinite(action.by) ? Math.abs(action.by) : 1;
            now = instant(Math.min(now + by * 100, 1e9));
            for (const decision of admission.tick(now)) {
              expect(open.get(decision.request)).to.equal('queued');
              recordDecision(decision);
            }
          }
          const queued = [...open.values()].filter(kind => kind === 'queued');
          expect(admission.waiting).to.equal(queued.length);
          expect(admission.waiting).to.be.at.most(count);
        }
        admission.tick(instant(now + seconds(10)));
        expect(admission.waiting).to.equal(0);
      }),
      { seed: 4, numRuns: 300 },
    );
  });
});

describe('maxMinShares', () => {
  it('allocates all usable capacity, exceeds no demand and gives no team more than the common level', () => {
    const demand = fc.oneof(fc.double({ min: 0, max: 100, noNaN: true }));
    fc.assert(
      fc.property(
        fc.double({ min: 0, max: 500, noNaN: true }),
        fc.array(
          fc.record({ demand, weight: fc.integer({ min: 1, max: 9 }) }),
          {
            maxLength: 12,
          },
        ),
        (capacity, rows) => {
          const demands = rows.map((row, index) => ({
            ...row,
            team: teamId(`t${index}`),
          }));
          const shares = maxMinShares(capacity, demands);
          const total = [...shares.values()].reduce((sum, x) => sum + x, 0);
          const totalDemand = demands.reduce((sum, row) => sum + row.demand, 0);
          expect(total).to.be.closeTo(Math.min(capacity, totalDemand), 1e-6);
          const unsatisfied = demands.filter(
            row => (shares.get(row.team) ?? 0) < row.demand - 1e-9,
          );
          const levels = unsatisfied.map(
            row => (shares.get(row.team) ?? 0) / row.weight,
          );
          const level = Math.min(...levels);
          for (const row of demands) {
            const own = (shares.get(row.team) ?? 0) / row.weight;
            expect(own).to.be.at.most(level + 1e-6);
          }
        },
      ),
      { seed: 4 },
    );
  });
});

describe('DemandTopic', () => {
  it('stays within the byte budget, sends the largest change first and sends no change twice', () => {
    const table = new DemandTable();
    const topic = new DemandTopic(table);
    const meter = table.meter(pool);
    for (let index = 0; index < 40; index += 1) {
      meter.recordArrival(index < 30 ? surging : quiet, start);
    }
    const peer = routerId('peer');
    const first = topic.take(peer, bytes(40), start);
    expect(first).to.have.lengthOf(1);
    expect(first[0]).to.have.nested.property('[1]', 'surging');
    expect(topic.take(peer, bytes(1000), start)).to.have.lengthOf(1);
    expect(topic.take(peer, bytes(1000), start)).to.have.lengthOf(0);
  });

  it('rejects malformed entries and expires the demand of a silent peer', () => {
    const table = new DemandTable();
    const topic = new DemandTopic(table);
    const peer = routerId('peer');
    const bad = [null, 'x', ['a', 'b'], ['a', 'b', -1], ['a', 'b', 1e99], {}];
    expect(topic.receive(peer, bad, start)).to.equal(bad.length);
    expect(topic.receive(peer, [['drafting', 'quiet', 50]], start)).to.equal(0);
    expect(table.totals(pool, start).get(quiet)).to.equal(5);
    expect(table.totals(pool, instant(16_000)).size).to.equal(0);
  });
});
