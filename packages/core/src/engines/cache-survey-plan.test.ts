import { expect } from 'chai';

import { endpointId, routerId } from '../types/ids';
import type { EndpointId } from '../types/ids';
import { instant } from '../types/units';
import { CacheSurveyPlan } from './cache-survey-plan';

const routers = Array.from({ length: 18 }, (_, index) => routerId(`r${index}`));
const engines = Array.from({ length: 9 }, (_, index) =>
  endpointId(`e${index}`),
);

/** Runs the plans of all routers for 5 s; returns the number of queries to each engine. */
function survey(
  plans: readonly CacheSurveyPlan[],
  responds: (engine: EndpointId) => boolean = () => true,
): Map<EndpointId, number> {
  const queries = new Map<EndpointId, number>();
  for (let time = 0; time <= 5000; time += 50) {
    for (const plan of plans) {
      for (const engine of plan.takeEnginesToQuery(routers, instant(time))) {
        queries.set(engine, (queries.get(engine) ?? 0) + 1);
        if (responds(engine)) {
          plans.forEach(other => other.markKnown(engine));
        }
      }
    }
  }
  return queries;
}

describe('CacheSurveyPlan', () => {
  it('queries each engine once after all routers restarted at once', () => {
    const plans = routers.map(router => new CacheSurveyPlan(router));
    plans.forEach(plan => {
      plan.begin(engines, instant(0));
    });
    const queries = survey(plans);
    expect([...queries.keys()].sort()).to.deep.equal([...engines].sort());
    expect([...queries.values()].every(count => count === 1)).to.equal(true);
  });

  it('queries at least all engines but one while half of the routers are down', () => {
    const plans = routers
      .filter((_, index) => index % 2 === 0)
      .map(router => new CacheSurveyPlan(router));
    plans.forEach(plan => {
      plan.begin(engines, instant(0));
    });
    expect(survey(plans).size).to.be.at.least(engines.length - 1);
  });

  it('queries an engine that does not respond at most four times', () => {
    const plans = routers.map(router => new CacheSurveyPlan(router));
    plans.forEach(plan => {
      plan.begin(engines, instant(0));
    });
    const queries = survey(plans, () => false);
    expect(Math.max(...queries.values())).to.be.at.most(4);
  });

  it('queries no engine when one router restarts and its peers send their state', () => {
    const plan = new CacheSurveyPlan(routers[0] ?? routerId('r'));
    engines.slice(0, 5).forEach(engine => plan.markKnown(engine));
    plan.begin(engines, instant(0));
    engines.slice(5).forEach(engine => plan.markKnown(engine));
    expect(survey([plan]).size).to.equal(0);
    expect(engines.every(engine => plan.isKnown(engine))).to.equal(true);
  });

  // Guards against an engine whose list is never read as its turn came during an evacuation.
  it('leaves an engine due that may not be queried, and unknown', () => {
    const plan = new CacheSurveyPlan(routerId('r'));
    const only = [routerId('r')];
    const engine = endpointId('e0');
    plan.begin([engine], instant(0));
    expect(
      plan.takeEnginesToQuery(only, instant(4000), () => false),
    ).to.deep.equal([]);
    expect(plan.isKnown(engine)).to.equal(false);
    plan.begin([], instant(5000));
    expect(plan.takeEnginesToQuery(only, instant(5100))).to.deep.equal([]);
    expect(plan.takeEnginesToQuery(only, instant(5500))).to.deep.equal([
      engine,
    ]);
  });

  it('knows no engine and queries none before the survey has begun', () => {
    const plan = new CacheSurveyPlan(routers[0] ?? routerId('r'));
    expect(plan.isKnown(endpointId('e0'))).to.equal(false);
    expect(plan.takeEnginesToQuery(routers, instant(9000))).to.deep.equal([]);
  });
});
