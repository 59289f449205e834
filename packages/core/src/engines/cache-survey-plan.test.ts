import { expect } from 'chai';

import { endpointId, routerId } from '../types/ids';
import type { EndpointId } from '../types/ids';
import { instant } from '../types/units';
import { CacheSurveyPlan } from './cache-survey-plan';

const routers = Array.from({ length: 18 }, (_, index) => routerId(`r${index}`));
const engines = Array.from({ length: 9 }, (_, index) =>
  endpointId(`e${index}`),
);

/** Lets routers take their turns for some seconds; returns how often each engine was asked. */
function survey(
  plans: readonly CacheSurveyPlan[],
  answers: (engine: EndpointId) => boolean = () => true,
): Map<EndpointId, number> {
  const asked = new Map<EndpointId, number>();
  for (let time = 0; time <= 5000; time += 50) {
    for (const plan of plans) {
      for (const engine of plan.takeEnginesToQuery(routers, instant(time))) {
        asked.set(engine, (asked.get(engine) ?? 0) + 1);
        if (answers(engine)) {
          plans.forEach(other => other.markKnown(engine));
        }
      }
    }
  }
  return asked;
}

describe('CacheSurveyPlan', () => {
  it('asks each engine once after all routers were killed at once', () => {
    const plans = routers.map(router => new CacheSurveyPlan(router));
    plans.forEach(plan => {
      plan.begin(engines, instant(0));
    });
    const asked = survey(plans);
    expect([...asked.keys()].sort()).to.deep.equal([...engines].sort());
    expect([...asked.values()].every(count => count === 1)).to.equal(true);
  });

  it('asks every engine although half of the routers are still down', () => {
    const plans = routers
      .filter((_, index) => index % 2 === 0)
      .map(router => new CacheSurveyPlan(router));
    plans.forEach(plan => {
      plan.begin(engines, instant(0));
    });
    expect(survey(plans).size).to.be.at.least(engines.length - 1);
  });

  it('asks an engine that does not answer a few times and no more', () => {
    const plans = routers.map(router => new CacheSurveyPlan(router));
    plans.forEach(plan => {
      plan.begin(engines, instant(0));
    });
    const asked = survey(plans, () => false);
    expect(Math.max(...asked.values())).to.be.at.most(4);
  });

  it('asks nothing when a single router restarts beside peers that know', () => {
    const plan = new CacheSurveyPlan(routers[0] ?? routerId('r'));
    engines.slice(0, 5).forEach(engine => plan.markKnown(engine));
    plan.begin(engines, instant(0));
    engines.slice(5).forEach(engine => plan.markKnown(engine));
    expect(survey([plan]).size).to.equal(0);
    expect(engines.every(engine => plan.isKnown(engine))).to.equal(true);
  });

  it('says that it knows nothing before the engines were read', () => {
    const plan = new CacheSurveyPlan(routers[0] ?? routerId('r'));
    expect(plan.isKnown(endpointId('e0'))).to.equal(false);
    expect(plan.takeEnginesToQuery(routers, instant(9000))).to.deep.equal([]);
  });
});
