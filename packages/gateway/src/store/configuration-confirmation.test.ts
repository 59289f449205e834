import { expect } from 'chai';

import { Random } from '@sesamegrade/core/random/random';
import { FeedCoverage } from '@sesamegrade/core/store/feed-coverage';
import { revision, storeEra } from '@sesamegrade/core/store/feed-position';
import { ManualTimerService } from '@sesamegrade/core/time/manual-timer-service';
import { configurationVersion, routerId } from '@sesamegrade/core/types/ids';
import { fail, succeed } from '@sesamegrade/core/types/result';
import { seconds } from '@sesamegrade/core/types/units';
import { ConfigurationConfirmation } from './configuration-confirmation';
import type { FeedResult } from './feed-source';

const VERSION = 4;
const ERA = 1;
const page = (era: number, at: number): FeedResult =>
  succeed({
    rows: [],
    position: { era: storeEra(era), revision: revision(at) },
  });

describe('ConfigurationConfirmation', () => {
  let coverage: FeedCoverage;
  let applied: number;
  let answer: () => FeedResult;
  let confirmation: ConfigurationConfirmation;

  const record = (era: number, at: number) => {
    coverage.record({
      origin: routerId('r'),
      position: { era: storeEra(era), revision: revision(at) },
      confirmedAt: new ManualTimerService().now(),
    });
  };

  beforeEach(() => {
    coverage = new FeedCoverage({ bound: seconds(2), random: new Random(1) });
    applied = 0;
    confirmation = new ConfigurationConfirmation({
      configurationFeed: { readChanges: () => Promise.resolve(answer()) },
      coverage: { configuration: coverage },
      fleetReplica: {
        configurationEra: storeEra(ERA),
        applyConfigurationChanges: () => {
          applied += 1;
        },
      },
      routes: { version: configurationVersion(VERSION) },
      timers: new ManualTimerService(),
    });
  });

  it('counts only a read of the store that was answered', async () => {
    answer = () => page(ERA, 100);
    expect(await confirmation.read()).to.equal(false);
    record(ERA, 50);
    expect(await confirmation.read()).to.equal(true);
    answer = () => fail({ kind: 'unreachable', detail: 'no response' });
    expect(await confirmation.read()).to.equal(false);
    expect(applied).to.equal(1);
  });

  // Guards against a configuration of a store that was restored while it was under way.
  it('applies nothing of another era', async () => {
    record(ERA, 50);
    answer = () => {
      record(ERA + 1, 20);
      return page(ERA, 100);
    };
    expect(await confirmation.read()).to.equal(false);
    expect(applied).to.equal(0);
  });

  // Guards against the word of a relay by whose configuration streams begin elsewhere.
  it('believes a peer only if its configuration is in force here', () => {
    const told = (version: unknown, era: unknown) =>
      confirmation.isAsNewAs({ configuration: { version, era } });
    expect(told(VERSION, ERA)).to.equal(true);
    expect(told(VERSION - 1, ERA)).to.equal(true);
    expect(told(VERSION + 1, ERA)).to.equal(false);
    expect(told(VERSION, ERA + 1)).to.equal(false);
    expect(told('4', ERA)).to.equal(false);
    expect(confirmation.isAsNewAs({})).to.equal(false);
    expect(confirmation.isAsNewAs(confirmation.statement())).to.equal(true);
  });
});
