import { expect } from 'chai';

import type { EndpointEntry } from '../endpoints/endpoint-entry';
import { endpointId, serviceId, zoneId } from '../types/ids';
import { instant, milliseconds, seconds } from '../types/units';
import { ColdEndpoints } from './cold-endpoints';
import type { ColdChange } from './cold-endpoints';
import { EndpointLimits } from './endpoint-limits';

const WALL_TIME = 1_000_000_000;
const at = (value: number) => instant(value * 1000);

const entryOf = (fields: Partial<EndpointEntry> = {}): EndpointEntry => ({
  id: endpointId('e'),
  service: serviceId('s'),
  address: { host: '10.0.0.1', port: 1 },
  zone: zoneId('z'),
  slots: 6,
  leaving: false,
  warmUp: milliseconds(0),
  startedAt: WALL_TIME - 60_000,
  softwareVersion: undefined,
  ...fields,
});

function open(coldRequestsPerSecond = 9.3, slack = 5) {
  const settings = { coldRequestsPerSecond };
  const coldEndpoints = new ColdEndpoints({
    service: () => ({ coldTime: seconds(3), ...settings }),
    wallTime: () => WALL_TIME,
    overage: 1.5,
    slack,
  });
  const changes: ColdChange[] = [];
  coldEndpoints.onChanged(change => {
    changes.push(change);
  });
  const isCold = (now: number) => {
    coldEndpoints.tick(at(now));
    return coldEndpoints.permitRate(entryOf()) !== undefined;
  };
  return { coldEndpoints, changes, isCold, settings };
}

/** Opens with an endpoint that has long been warm. */
function openWithWarm() {
  const all = open();
  all.coldEndpoints.onEntry(entryOf(), at(0), true);
  return all;
}

// Guards against endpoints that get the load of warm ones while they are cold, and against
// warm ones that stay limited.
describe('ColdEndpoints', () => {
  it('takes an endpoint for cold that is listed later than the first list, counted from the arrival of its row', () => {
    const { coldEndpoints, changes, isCold } = open();
    coldEndpoints.onEntry(entryOf(), at(10), false);
    expect(isCold(13.4)).to.equal(true);
    expect(isCold(13.5)).to.equal(false);
    expect(changes.map(({ kind, reason }) => [kind, reason])).to.deep.equal([
      ['cold', 'listed'],
      ['warm', 'elapsed'],
    ]);
  });

  it('takes those of the first list for cold only if they have started lately, by either clock', () => {
    for (const [age, remaining] of [
      [60_000, 0],
      [4600, 0],
      // 1 s of the age may be a difference of the clocks.
      [2000, 2.5],
      [0, 3.5],
      // The clock of the endpoint is ahead.
      [-90_000, 3.5],
    ] as const) {
      const { coldEndpoints, isCold } = open();
      const startedAt = WALL_TIME - age;
      coldEndpoints.onEntry(entryOf({ startedAt }), at(0), true);
      expect(isCold(0)).to.equal(remaining > 0);
      expect(isCold(remaining - 0.1)).to.equal(remaining > 0);
      expect(isCold(remaining)).to.equal(false);
    }
  });

  it('takes an endpoint of the first list for cold that does not name its start', () => {
    const { coldEndpoints, isCold } = open();
    coldEndpoints.onEntry(entryOf({ startedAt: undefined }), at(0), true);
    expect(isCold(0)).to.equal(true);
    expect(isCold(3.5)).to.equal(false);
  });

  it('takes an endpoint for cold that is restarted, and again if it restarts while it is cold', () => {
    const { coldEndpoints, changes, isCold } = openWithWarm();
    expect(isCold(0)).to.equal(false);
    coldEndpoints.onEntry(entryOf({ startedAt: WALL_TIME }), at(10), false);
    expect(isCold(12)).to.equal(true);
    coldEndpoints.onEntry(entryOf({ startedAt: WALL_TIME + 1 }), at(12), false);
    expect(isCold(15.4)).to.equal(true);
    expect(isCold(15.5)).to.equal(false);
    expect(changes.map(({ reason }) => reason)).to.deep.equal([
      'restarted',
      'restarted',
      'elapsed',
    ]);
  });

  it('takes an endpoint for cold whose row names a warm-up time, also one that is longer than the cold time', () => {
    const { coldEndpoints, changes, isCold } = openWithWarm();
    coldEndpoints.onEntry(entryOf({ warmUp: seconds(8) }), at(10), false);
    expect(isCold(18.4)).to.equal(true);
    // A later row of the instance ends no warm-up time that an earlier one named.
    coldEndpoints.onEntry(entryOf(), at(18.4), false);
    expect(isCold(18.4)).to.equal(true);
    expect(isCold(18.5)).to.equal(false);
    expect(changes[0]).to.include({ kind: 'cold', reason: 'warm-up' });
  });

  // Guards against endpoints that are never warm as all of their rows name the same time.
  it('counts a warm-up time once that rows repeat, and anew after another one', () => {
    const { coldEndpoints, isCold } = openWithWarm();
    const row = entryOf({ warmUp: seconds(8) });
    coldEndpoints.onEntry(row, at(10), false);
    coldEndpoints.onEntry(row, at(16), false);
    expect(isCold(18.5)).to.equal(false);
    coldEndpoints.onEntry(entryOf(), at(19), false);
    coldEndpoints.onEntry(row, at(20), false);
    expect(isCold(28.4)).to.equal(true);
    expect(isCold(28.5)).to.equal(false);
  });

  it('takes the endpoints of a zone for cold whose evacuation ends, and no others', () => {
    const { coldEndpoints, changes, isCold } = openWithWarm();
    coldEndpoints.onEntry(
      entryOf({ id: endpointId('f'), zone: zoneId('other') }),
      at(0),
      true,
    );
    coldEndpoints.onZonesReopened([zoneId('z'), zoneId('unknown')], at(10));
    expect(isCold(13.4)).to.equal(true);
    expect(coldEndpoints.size).to.equal(1);
    expect(isCold(13.5)).to.equal(false);
    expect(changes[0]).to.include({ endpoint: 'e', reason: 'zone-reopened' });
  });

  it('takes an instance for warm whose row comes back after an outage of the store', () => {
    const { coldEndpoints, isCold } = openWithWarm();
    coldEndpoints.onGone(endpointId('e'), at(10));
    coldEndpoints.onEntry(entryOf(), at(20), false);
    expect(isCold(20)).to.equal(false);
    coldEndpoints.onGone(endpointId('e'), at(30));
    coldEndpoints.onEntry(entryOf({ startedAt: WALL_TIME }), at(40), false);
    expect(isCold(40)).to.equal(true);
  });

  it('counts no endpoint that is gone', () => {
    const { coldEndpoints, changes } = open();
    coldEndpoints.onEntry(entryOf(), at(0), false);
    expect(coldEndpoints.size).to.equal(1);
    coldEndpoints.onGone(endpointId('e'), at(1));
    expect(coldEndpoints.size).to.equal(0);
    expect(changes.at(-1)).to.include({ kind: 'warm', reason: 'gone' });
  });

  it('follows a configuration that is read after the list, or changes', () => {
    const { coldEndpoints, changes, isCold, settings } = open(0);
    coldEndpoints.onEntry(entryOf(), at(0), false);
    expect(isCold(0)).to.equal(false);
    settings.coldRequestsPerSecond = 9.3;
    expect(isCold(1)).to.equal(true);
    // No permit can be asked for at such a rate.
    settings.coldRequestsPerSecond = 1e9;
    expect(isCold(2)).to.equal(false);
    settings.coldRequestsPerSecond = 9.3;
    expect(isCold(2)).to.equal(true);
    settings.coldRequestsPerSecond = 0;
    expect(isCold(2)).to.equal(false);
    expect(changes.at(-1)).to.include({ reason: 'configuration' });
  });

  it('allows a rate at which two issuers with saved tokens and late requests stay within the bound', () => {
    for (const perSecond of [1, 4, 9.3, 40, 200]) {
      const { coldEndpoints } = open(perSecond);
      coldEndpoints.onEntry(entryOf(), at(0), false);
      const rate = coldEndpoints.permitRate(entryOf()) ?? Number.NaN;
      expect(rate).to.be.within(0.6 * perSecond, perSecond);
      const bursts = 2 * 2 + 1.4 * rate * 0.5;
      const issued = 1.4 * rate * 1.2;
      expect(bursts + issued).to.be.at.most(perSecond * 1.5 + 5 + 1e-9);
      // One issuer alone stays within the bound if permits are used as late as they can be.
      expect(2 + 0.5 * rate + rate * 1.7).to.be.at.most(perSecond * 1.5 + 5);
    }
  });

  it('lowers the limit that an endpoint states itself, and leaves a lower one', () => {
    const { coldEndpoints, isCold } = open();
    const limits = new EndpointLimits(coldEndpoints);
    expect(limits.of(entryOf())).to.equal(undefined);
    coldEndpoints.onEntry(entryOf(), at(0), false);
    const rate = coldEndpoints.permitRate(entryOf());
    const state = (perSecond: number) => {
      limits.requests.onStatement(
        entryOf(),
        { kind: 'limit', perSecond },
        at(0),
        at(0),
      );
    };
    expect(limits.of(entryOf())?.perSecond).to.equal(rate);
    expect(limits.isCold(entryOf())).to.equal(true);
    state(100);
    expect(limits.of(entryOf())?.perSecond).to.equal(rate);
    state(1);
    expect(limits.of(entryOf())?.perSecond).to.equal(1);
    expect(isCold(4)).to.equal(false);
    state(100);
    expect(limits.of(entryOf())?.perSecond).to.equal(100);
  });
});
