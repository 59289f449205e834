import { expect } from 'chai';

import { LateEngineFleet } from './late-engine-fleet';
import { LateServiceFleet } from './late-service-fleet';

const SECONDS = 8;
const WORK_MS = { engine: 540, service: 71 };

const ENGINE_FLEETS = [
  { routers: 135, endpoints: 98, rate: 500, lag: 165, hotShare: 0 },
  { routers: 135, endpoints: 98, rate: 500, lag: 165, hotShare: 0.1 },
  { routers: 135, endpoints: 98, rate: 500, lag: 165, hotShare: 0.2 },
  { routers: 135, endpoints: 98, rate: 800, lag: 165, hotShare: 0.1 },
  { routers: 135, endpoints: 98, rate: 500, lag: 350, hotShare: 0.1 },
  { routers: 370, endpoints: 98, rate: 500, lag: 200, hotShare: 0.1 },
  { routers: 370, endpoints: 98, rate: 500, lag: 400, hotShare: 0.2 },
  { routers: 113, endpoints: 42, rate: 293, lag: 165, hotShare: 0.2 },
  { routers: 17, endpoints: 8, rate: 60, lag: 150, hotShare: 0.2 },
];

const SERVICE_FLEETS = [
  { routers: 135, endpoints: 5, rate: 176, lag: 165 },
  { routers: 135, endpoints: 5, rate: 280, lag: 350 },
  { routers: 113, endpoints: 3, rate: 102, lag: 165 },
  { routers: 370, endpoints: 20, rate: 700, lag: 400 },
  { routers: 18, endpoints: 5, rate: 60, lag: 150 },
];

describe('placement by late loads', () => {
  for (const { rate, hotShare, ...fleet } of ENGINE_FLEETS) {
    const { routers, endpoints, lag } = fleet;
    // Guards against engines above the limit on uneven load, as many routers follow the same late loads.
    it(`keeps ${endpoints} engines below the limit with ${routers} routers, ${rate} requests/s, loads ${lag} ms late and ${100 * hotShare} % about one subject`, () => {
      const result = new LateEngineFleet({
        ...fleet,
        seed: 1,
        requestsPerSecond: rate,
        length: SECONDS,
        hotShare,
        slots: 24,
        work: WORK_MS.engine,
      }).run();
      expect(result.brokenWindows, JSON.stringify(result)).to.equal(0);
    });
  }

  for (const { rate, ...fleet } of SERVICE_FLEETS) {
    const { routers, endpoints, lag } = fleet;
    // Guards against the same at endpoints of plain services.
    it(`keeps ${endpoints} endpoints below the limit with ${routers} routers, ${rate} requests/s and loads ${lag} ms late`, () => {
      const result = new LateServiceFleet({
        ...fleet,
        seed: 1,
        requestsPerSecond: rate,
        length: SECONDS,
        slots: 6,
        work: WORK_MS.service,
      }).run();
      expect(result.brokenWindows, JSON.stringify(result)).to.equal(0);
    });
  }
});
