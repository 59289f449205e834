import { expect } from 'chai';

import { VersionHistory } from '@sesamegrade/core/configuration/version-history';
import { Random } from '@sesamegrade/core/random/random';
import type { Violation } from '../simulation/fault';
import { randomPlan } from '../simulation/random-plan';
import { CONFIGURATION_STEPS } from './configuration-router';
import { ConfigurationSimulation } from './configuration-simulation';

const HISTORIES = 200;

class AppliesLowerVersion extends VersionHistory {
  protected override isNewer(version: number): boolean {
    return version !== this.version;
  }
}

/** Promises broken in the histories, each named once. */
function brokenPromises(newVersions: () => VersionHistory): Set<string> {
  const broken = new Set<Violation['promise']>();
  for (let seed = 1; seed <= HISTORIES; seed += 1) {
    const plan = randomPlan(new Random(seed), CONFIGURATION_STEPS);
    const world = new ConfigurationSimulation({
      seed,
      plan,
      newVersionHistory: newVersions,
    });
    for (const { promise } of world.run().violations) {
      broken.add(promise);
    }
  }
  return broken;
}

describe('histories of configuration changes', () => {
  it('keep every promise with the real versions', () => {
    expect([...brokenPromises(() => new VersionHistory())]).to.deep.equal([]);
  });

  it('show a step back when a lower version is applied', () => {
    const broken = brokenPromises(() => new AppliesLowerVersion());
    expect(broken).to.include('no-revert');
  });
});
