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

/** Returns the distinct promises that the histories violate. */
function violatedPromises(
  newVersionHistory: () => VersionHistory,
): Set<string> {
  const violated = new Set<Violation['promise']>();
  for (let seed = 1; seed <= HISTORIES; seed += 1) {
    const plan = randomPlan(new Random(seed), CONFIGURATION_STEPS);
    const simulation = new ConfigurationSimulation({
      seed,
      plan,
      newVersionHistory,
    });
    for (const { promise } of simulation.run().violations) {
      violated.add(promise);
    }
  }
  return violated;
}

describe('histories of configuration changes', () => {
  it('violate no promise with the production version history', () => {
    expect([...violatedPromises(() => new VersionHistory())]).to.deep.equal([]);
  });

  it('detect a lower version being applied over a higher one', () => {
    const violated = violatedPromises(() => new AppliesLowerVersion());
    expect(violated).to.include('no-revert');
  });
});
