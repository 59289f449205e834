import { expect } from 'chai';

import { configurationVersion } from '../types/ids';
import { instant } from '../types/units';
import { RestoredConfiguration } from './restored-configuration';

const held = (version: number) => ({
  configuration: {
    version: configurationVersion(version),
    routes: [],
    services: new Map(),
    limits: {} as never,
    teams: [],
  },
  raw: new Uint8Array([version]),
});

describe('RestoredConfiguration', () => {
  it('gives the newest held configuration once the operator has had time to write a newer one', () => {
    const restored = new RestoredConfiguration();
    restored.hold(held(3), instant(0));
    restored.hold(held(4), instant(6000));
    expect(restored.takeDue(instant(9900))).to.equal(undefined);
    expect(restored.takeDue(instant(10_000))?.configuration.version).to.equal(
      4,
    );
    expect(restored.takeDue(instant(20_000))).to.equal(undefined);
  });

  it('gives nothing when the operator has written a newer one meanwhile', () => {
    const restored = new RestoredConfiguration();
    restored.hold(held(3), instant(0));
    restored.clear();
    expect(restored.takeDue(instant(60_000))).to.equal(undefined);
  });
});
