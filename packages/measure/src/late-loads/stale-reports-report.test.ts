import { expect } from 'chai';

import { milliseconds } from '@sesamegrade/core/types/units';
import { ENGINE_SITES, runEngineSite } from './stale-reports-report';

const RUN = { seed: 1, length: 5, way: 'speed and correction' } as const;
/** One in seven of 63 engines. */
const FALSE_REPORTS = 9;
/** Their part of the requests, and 3 in 100 as the limit on uneven load allows. */
const MAX_SHARE_OF_FALSE = FALSE_REPORTS / 63 + 0.03;

describe('placement by stale reports', () => {
  for (const { site, routers } of [
    { site: 0, routers: 370 },
    { site: 1, routers: 130 },
    { site: 2, routers: 30 },
    { site: 4, routers: 130 },
  ]) {
    const load = ENGINE_SITES[site];
    if (!load) {
      throw new RangeError(`no load ${site}`);
    }
    const { engines, slots, requestsPerSecond, reportLag } = load;
    // Guards against engines above the limit on uneven load, as routers follow reports that are late.
    it(`keeps ${engines} engines of ${slots} slots below the limit with ${routers} routers, ${requestsPerSecond} requests/s and reports ${reportLag} ms late`, () => {
      const result = runEngineSite(load, { ...RUN, routers });
      expect(result.brokenWindows, JSON.stringify(result)).to.equal(0);
    });

    if (site !== 1) {
      continue;
    }
    // Guards against engines that attract requests by false reports.
    it(`sends ${FALSE_REPORTS} of ${engines} engines that report no request and twice the speed no more than their share of ${requestsPerSecond} requests/s of 30 routers`, () => {
      const falseRun = { ...RUN, routers: 30, falseReports: FALSE_REPORTS };
      const result = runEngineSite(load, falseRun);
      const text = JSON.stringify(result);
      expect(result.brokenWindows, text).to.equal(0);
      expect(result.shareOfFalse, text).to.be.below(MAX_SHARE_OF_FALSE);
    });

    // The check above would pass for any placement if the model did not show the harm of such reports.
    it(`shows the harm of the same reports without the bounds on their weight at ${requestsPerSecond} requests/s`, () => {
      const result = runEngineSite(load, {
        ...RUN,
        routers: 30,
        falseReports: FALSE_REPORTS,
        speeds: {
          initialWeight: 1,
          decayTime: milliseconds(10_000),
          excessDecayTime: milliseconds(10_000),
          maxReduction: 1000,
          maxReductionShare: 1,
        },
      });
      const text = JSON.stringify(result);
      expect(result.brokenWindows, text).to.be.above(0);
      expect(result.shareOfFalse, text).to.be.above(MAX_SHARE_OF_FALSE);
    });
  }
});
