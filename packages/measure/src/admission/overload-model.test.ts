import { expect } from 'chai';

import { OverloadModel } from './overload-model';
import type {
  ClassResult,
  OverloadResult,
  OverloadScenario,
  TrafficClass,
} from './overload-model';
import { OVERLOAD_SCENARIOS } from './overload-scenarios';
import { seconds } from '@sesamegrade/core/types/units';

function sumOf(
  { byClass }: OverloadResult,
  isIncluded: (kind: TrafficClass) => boolean,
): ClassResult {
  const sum: ClassResult = {
    offered: 0,
    inTime: 0,
    served: 0,
    refused: 0,
    cutOff: 0,
    largeOffered: 0,
    largeServed: 0,
  };
  for (const [kind, result] of byClass) {
    if (isIncluded(kind)) {
      sum.offered += result.offered;
      sum.inTime += result.inTime;
      sum.served += result.served;
      sum.refused += result.refused;
      sum.cutOff += result.cutOff;
      sum.largeOffered += result.largeOffered;
      sum.largeServed += result.largeServed;
    }
  }
  return sum;
}

const all = () => true;
const ofPriority = (priority: number) => (kind: TrafficClass) =>
  kind.priority === priority;
const ofTeam = (team: number) => (kind: TrafficClass) =>
  kind.team === `team-${team}`;
const servedShare = ({ served, offered }: ClassResult) => served / offered;
const inTimeShare = ({ inTime, offered }: ClassResult) => inTime / offered;

const run = (scenario: OverloadScenario, hasAdmission = true) =>
  new OverloadModel({ ...scenario, hasAdmission }).run();

function expectSoundRefusals(result: OverloadResult, maxHeldMs: number): void {
  expect(result.refusals).to.be.greaterThan(0);
  expect(result.wrongRefusals).to.equal(0);
  expect(result.maxRetryShare).to.be.at.most(1 / 3 + 1e-9);
  // Half of the goal, and the time until the next decision.
  expect(result.maxHeldMs).to.be.at.most(maxHeldMs);
}

/** What callers of every class and team need while the fleet is full. */
function expectFair(result: OverloadResult): void {
  const shares = [0, 1, 2]
    .map(priority => sumOf(result, ofPriority(priority)))
    .filter(({ offered }) => offered > 0);
  for (const [priority, sum] of shares.entries()) {
    for (const lessUrgent of shares.slice(priority + 1)) {
      expect(servedShare(sum)).to.be.at.least(servedShare(lessUrgent) - 0.05);
      expect(inTimeShare(sum)).to.be.at.least(inTimeShare(lessUrgent) * 0.85);
    }
  }
  const served = servedShare(sumOf(result, all));
  for (let team = 0; team < 8; team += 1) {
    expect(servedShare(sumOf(result, ofTeam(team)))).to.be.at.least(served / 4);
  }
}

// The model has the deployments' routers, slots, rates and delays of load counts.
describe('admission control in a fleet', () => {
  // Guards against control that costs callers of a fleet that is not full.
  it('changes nothing at 131 routers with 400 requests/s at 42 x 64 slots', () => {
    const without = run(OVERLOAD_SCENARIOS.unloaded, false);
    const result = run(OVERLOAD_SCENARIOS.unloaded);
    expect(result.refusals).to.equal(0);
    expect(result.waited).to.equal(0);
    expect(sumOf(result, all)).to.deep.equal(sumOf(without, all));
  });

  // Guards against queues at the engines in which every request misses its goal.
  for (const [name, scenario, maxHeldMs] of [
    [
      '131 routers with 400 requests/s at 42 x 64 slots of which a third is lost',
      OVERLOAD_SCENARIOS.large,
      530,
    ],
    [
      '32 routers with 1,011 requests/s at 63 x 24 slots of which half is lost',
      OVERLOAD_SCENARIOS.small,
      430,
    ],
    [
      'eight times as many requests of the least urgent class',
      OVERLOAD_SCENARIOS.manyLessUrgent,
      530,
    ],
    [
      'eight times as many requests of the most urgent class',
      OVERLOAD_SCENARIOS.manyUrgent,
      530,
    ],
    [
      'two of eight teams with the least urgent priority',
      OVERLOAD_SCENARIOS.urgentTeams,
      530,
    ],
  ] as const) {
    it(`serves urgent requests first, and no team rarely, with ${name}`, () => {
      const without = run(scenario, false);
      const result = run(scenario);
      expectSoundRefusals(result, maxHeldMs);
      expectFair(result);
      expect(result.utilisation).to.be.at.least(0.95);
      expect(inTimeShare(sumOf(result, all))).to.be.greaterThan(
        inTimeShare(sumOf(without, all)),
      );
      expect(result.queuedAtEndpoints).to.be.below(
        without.queuedAtEndpoints / 2,
      );
      const { largeServed, largeOffered, served, offered } = sumOf(result, all);
      expect(largeServed / largeOffered).to.be.at.least(
        (0.5 * served) / offered,
      );
    });
  }

  // Guards against large requests of the least urgent class that are cut off or never fit.
  for (const seed of [1, 2, 3]) {
    it(`serves the largest tenth of every class half as often as the class, with a third of 42 x 64 slots lost, seed ${seed}`, () => {
      const result = run({ ...OVERLOAD_SCENARIOS.large, seed });
      for (const priority of [0, 1, 2]) {
        const { largeServed, largeOffered, served, offered } = sumOf(
          result,
          ofPriority(priority),
        );
        expect(
          largeServed / largeOffered,
          `priority ${priority}`,
        ).to.be.at.least((0.5 * served) / offered);
      }
    });
  }

  // Guards against a team that takes the slots of all others.
  it('keeps a team with 7 times its load to its share', () => {
    const result = run(OVERLOAD_SCENARIOS.greedyTeam);
    const greedy = sumOf(result, ofTeam(0));
    expectSoundRefusals(result, 530);
    for (let team = 1; team < 8; team += 1) {
      const sum = sumOf(result, ofTeam(team));
      expect(servedShare(sum)).to.be.greaterThan(servedShare(greedy));
      expect(inTimeShare(sum)).to.be.at.least(2 * inTimeShare(greedy));
    }
    expect(servedShare(greedy)).to.be.at.least(
      servedShare(sumOf(result, all)) / 4,
    );
  });

  // Guards against refusals at a plain service that has room.
  for (const [name, scenario] of [
    ['queues', OVERLOAD_SCENARIOS.plain],
    ['rejects', OVERLOAD_SCENARIOS.plainRejecting],
  ] as const) {
    it(`refuses nothing at 160 writes/s with one of 3 x 6 slots lost that ${name} when full`, () => {
      const result = run(scenario);
      expect(result.refusals).to.equal(0);
      expect(result.waited).to.equal(0);
      expect(servedShare(sumOf(result, all))).to.be.at.least(0.99);
    });
  }

  // Guards against writes of 600 ms that are cut off after they were sent.
  it('serves more writes and cuts off fewer when one of 3 x 6 slots is lost and the rest is slow', () => {
    const without = sumOf(run(OVERLOAD_SCENARIOS.plainSlow, false), all);
    const result = run(OVERLOAD_SCENARIOS.plainSlow);
    const writes = sumOf(result, all);
    expectSoundRefusals(result, 0);
    expect(writes.served / writes.offered).to.be.greaterThan(
      without.served / without.offered,
    );
    expect(writes.cutOff / writes.offered).to.be.below(
      without.cutOff / without.offered / 2,
    );
  });

  // Guards against routers that refuse by a view that no longer changes.
  for (const [name, viewAge] of [
    ['no view', () => undefined],
    ['a view that is 3 s old', () => seconds(3)],
  ] as const) {
    it(`serves as without it with ${name}`, () => {
      const scenario = { ...OVERLOAD_SCENARIOS.plainSlow, viewAge };
      const result = run(scenario);
      expect(result.refusals).to.equal(0);
      expect(sumOf(result, all)).to.deep.equal(
        sumOf(run(scenario, false), all),
      );
    });
  }
});
