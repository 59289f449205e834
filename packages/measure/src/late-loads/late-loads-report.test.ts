import { expect } from 'chai';

import { LATE_FLEETS, runLateFleet } from './late-loads-report';

const OPTIONS = { seed: 1, length: 8 };

describe('placement by late loads', () => {
  for (const fleet of LATE_FLEETS) {
    const { routers, endpoints, requestsPerSecond, lag, hotShare } = fleet;
    const kind =
      hotShare === undefined
        ? `${endpoints} endpoints of a plain service`
        : `${endpoints} engines, with ${100 * hotShare} % about one subject,`;
    // Guards against endpoints above the limit on uneven load, as many routers follow the same late loads.
    it(`keeps ${kind} below the limit with ${routers} routers, ${requestsPerSecond} requests/s and loads ${lag} ms late`, () => {
      const result = runLateFleet(fleet, OPTIONS);
      expect(result.brokenWindows, JSON.stringify(result)).to.equal(0);
    });
  }
});
