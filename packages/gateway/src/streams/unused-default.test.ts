import { expect } from 'chai';

import { Random } from '@sesamegrade/core/random/random';
import { ROUTERS, SimulatedFleet } from './testing/simulated-fleet';

/** Time in which every router reads that the default version has no endpoints. */
const UNUSED_READ_MS = 8000;
const STREAMS = 80;

describe('StreamResumption while the default version has no endpoints', () => {
  // Guards against streams that nobody knows after an outage of the store soon after a release, as all routers lost their memory in it.
  it('continues at least half of the streams of an outage of the store after all routers were killed', async () => {
    const fleet = new SimulatedFleet(new Random(1));
    const router = (index: number) => fleet.routers[index % ROUTERS]!;
    const numbers = Array.from({ length: STREAMS }, (_value, index) => index);
    fleet.addEndpoint('v1');
    fleet.addEndpoint('v1');
    fleet.start(ROUTERS);
    await fleet.pass(4000);
    fleet.addEndpoint('v2');
    fleet.addEndpoint('v2');
    await fleet.pass(12_000);
    fleet.removeEndpoints('v1', 2);
    await fleet.pass(UNUSED_READ_MS);
    fleet.store = 'silent';
    await fleet.pass(1000);
    const begun = await Promise.all(
      numbers.map(index => fleet.begin(router(index), `outage-${index}`)),
    );
    expect(begun.map(stream => stream?.version)).to.include('v2');
    await fleet.pass(1500);
    fleet.restart(numbers.slice(0, ROUTERS));
    await fleet.pass(1500);
    fleet.store = 'answers';
    await fleet.pass(5000);
    const resumed = await Promise.all(
      begun
        .filter(stream => stream !== undefined)
        .map(async ({ id, version }) => ({
          version,
          found: (await fleet.resume(router(2), id)).origin?.version,
        })),
    );
    const continued = resumed.filter(({ version, found }) => version === found);
    expect(continued.length).to.be.at.least(resumed.length / 2);
  });
});
