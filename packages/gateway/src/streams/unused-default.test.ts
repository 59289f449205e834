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

  describe('joins no versions', () => {
    const [first, cutOff] = [0, 3];
    let fleet: SimulatedFleet;

    beforeEach(async () => {
      fleet = new SimulatedFleet(new Random(1));
      fleet.addEndpoint('v1');
      fleet.start(ROUTERS);
      await fleet.pass(4000);
    });

    /** Kills all routers in an outage, and returns the version at which a stream is resumed after that. */
    async function versionAfterLoss(id: string): Promise<string | undefined> {
      fleet.store = 'silent';
      await fleet.pass(1000);
      fleet.restart([0, 1, 2, 3]);
      await fleet.pass(1500);
      fleet.store = 'answers';
      await fleet.pass(4000);
      const { origin } = await fleet.resume(fleet.routers[2]!, id);
      return origin?.version;
    }

    // Guards against a router that was cut off before the last endpoint left, and goes on with its version.
    it('if a router that was cut off begins streams at the default one', async () => {
      fleet.addEndpoint('v2');
      await fleet.pass(2000);
      fleet.cut(cutOff);
      // Its endpoint still serves, though its entry is gone for the others.
      fleet.removeEndpoints('v1', 1);
      await fleet.pass(10_000);
      fleet.startEndpoint(1, 'v1');
      const stream = await fleet.begin(fleet.routers[cutOff]!, 'behind-cut');
      fleet.removeEndpoints('v1', 1);
      expect(stream?.version).to.equal('v1');
      expect(await versionAfterLoss('behind-cut')).to.equal(undefined);
    });

    // Guards against a stream that a caller resumes late, when all routers have forgotten the version that began it.
    it('if a stream of the default one is resumed after the agreement', async () => {
      const stream = await fleet.begin(fleet.routers[first]!, 'early');
      expect(stream?.version).to.equal('v1');
      fleet.addEndpoint('v2');
      await fleet.pass(1000);
      fleet.removeEndpoints('v1', 1);
      await fleet.pass(7000);
      expect(await versionAfterLoss('early')).to.equal(undefined);
    });

    // Guards against a time of the store that is not the time that has passed.
    it('if the clock of the store steps forward by 20 s meanwhile', async () => {
      const stream = await fleet.begin(fleet.routers[first]!, 'early');
      expect(stream?.version).to.equal('v1');
      fleet.addEndpoint('v2');
      await fleet.pass(1000);
      fleet.removeEndpoints('v1', 1);
      await fleet.pass(7000);
      fleet.stepStoreClock(20_000);
      expect(await versionAfterLoss('early')).to.equal(undefined);
    });

    // Guards against streams of a version that joined in an outage, which lack a record as those of the successor do.
    it('if a third version joins before the outage', async () => {
      fleet.addEndpoint('v2');
      await fleet.pass(1000);
      fleet.removeEndpoints('v1', 1);
      await fleet.pass(8000);
      fleet.addEndpoint('v3');
      fleet.addEndpoint('v3');
      fleet.addEndpoint('v3');
      await fleet.pass(500);
      fleet.store = 'silent';
      await fleet.pass(1000);
      const begun = await Promise.all(
        Array.from({ length: 8 }, (_value, at) =>
          fleet.begin(fleet.routers[at % ROUTERS]!, `outage-${at}`),
        ),
      );
      const streams = begun.filter(stream => stream !== undefined);
      expect(streams.map(({ version }) => version)).to.include('v2');
      expect(streams.map(({ version }) => version)).not.to.include('v3');
      const [last] = streams.slice(-1);
      expect(await versionAfterLoss(last?.id ?? '')).to.equal('v2');
    });
  });
});
