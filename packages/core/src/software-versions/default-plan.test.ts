import { expect } from 'chai';

import type { EndpointEntry } from '../endpoints/endpoint-entry';
import { FIRST_ERA } from '../store/feed-position';
import { endpointId, serviceId, softwareVersion, zoneId } from '../types/ids';
import { instant, milliseconds, seconds } from '../types/units';
import { planDefaults } from './default-plan';
import type { DefaultPlanQuery } from './default-plan';
import type { DefaultVersion } from './default-versions';
import { VersionPresence } from './version-presence';

const service = serviceId('s');
const LIFETIME = seconds(60);
/** Time for which a default version without endpoints is kept. */
const RETIREMENT_MS = LIFETIME + seconds(30);
/** Time after a change of the list in which streams may begin without a record by the one before, and live. */
const OLD_LIST_MS = seconds(40) + LIFETIME;
/** Absence up to which a version counts as used. */
const MAX_BRIEF_ABSENCE_MS = 2500;
/** The store's time minus the router's. */
const CLOCK_OFFSET_MS = 5000;
/** When the list that is known was written, on the router's clock. */
const LISTED_AT_MS = 1_000_000;

const entry = (version: string | undefined): EndpointEntry => ({
  id: endpointId(`e-${version}`),
  service,
  address: { host: '10.0.0.1', port: 1 },
  zone: zoneId('z'),
  slots: 1,
  leaving: false,
  warmUp: milliseconds(0),
  startedAt: undefined,
  softwareVersion: version === undefined ? undefined : softwareVersion(version),
});

const stored = (
  version: string,
  since: number,
  unusedSince?: number,
  successor?: string,
): DefaultVersion => ({
  service,
  version: softwareVersion(version),
  since: since + CLOCK_OFFSET_MS,
  unusedSince:
    unusedSince === undefined ? undefined : unusedSince + CLOCK_OFFSET_MS,
  ...(successor !== undefined && {
    successor: { version: softwareVersion(successor), agreedAt: undefined },
  }),
});

describe('planDefaults', () => {
  let presence: VersionPresence;
  let defaults: readonly DefaultVersion[];

  const show = (versions: readonly (string | undefined)[], at: number) => {
    presence.observe(versions.map(entry), instant(at));
  };
  const planAt = (now: number, fields: Partial<DefaultPlanQuery> = {}) =>
    planDefaults({
      list: { defaults, writtenIn: FIRST_ERA },
      isCurrent: true,
      presence,
      isFirstStart: false,
      lifetime: LIFETIME,
      inheritedUntil: new Map(),
      storeTime: now + CLOCK_OFFSET_MS,
      now: instant(now),
      ...fields,
    });

  beforeEach(() => {
    presence = new VersionPresence();
    defaults = [stored('v1', LISTED_AT_MS)];
  });

  it('lists a version at once at the first start', () => {
    defaults = [];
    show(['v2', 'v1'], 0);
    const plan = planAt(0, { isFirstStart: true });
    expect(plan).to.deep.equal([stored('v1', 0)]);
  });

  // Guards against streams of endpoints without a version that are taken for ones of the first version.
  it('is certain of it later if there are endpoints without a version', () => {
    defaults = [];
    show(['v2', 'v1', undefined], 0);
    const plan = planAt(0, { isFirstStart: true });
    expect(plan).to.deep.equal([stored('v1', OLD_LIST_MS)]);
  });

  // Guards against streams of versions that left before this router saw the service.
  it('lists the first version otherwise once it was the only one for longer than a stream lives', () => {
    defaults = [];
    show(['v1'], 0);
    show(['v1'], RETIREMENT_MS);
    expect(planAt(RETIREMENT_MS - 1)).to.deep.equal([]);
    expect(planAt(RETIREMENT_MS)).to.deep.equal([
      stored('v1', RETIREMENT_MS + LIFETIME),
    ]);
  });

  it('lists none while a service has or had several versions, or one without a name', () => {
    defaults = [];
    show(['v1', 'v2'], 0);
    show(['v1'], 1);
    expect(planAt(RETIREMENT_MS)).to.deep.equal([]);
    show(['v1', undefined], RETIREMENT_MS + 1);
    expect(planAt(2 * RETIREMENT_MS)).to.deep.equal([]);
  });

  // Guards against a version that came and left while the router heard nothing.
  it('counts the time of the only version anew after changes were missed', () => {
    defaults = [];
    show(['v1'], 0);
    presence.markMissed();
    show(['v1'], 1);
    expect(planAt(RETIREMENT_MS)).to.deep.equal([]);
    expect(planAt(RETIREMENT_MS + 1)).to.have.length(1);
  });

  it('marks a version unused only if another one has endpoints', () => {
    show([], LISTED_AT_MS);
    expect(planAt(LISTED_AT_MS)).to.deep.equal(defaults);
    show(['v2'], LISTED_AT_MS + 1);
    const unused = [stored('v1', LISTED_AT_MS, LISTED_AT_MS + 1, 'v2')];
    expect(planAt(LISTED_AT_MS + 1)).to.deep.equal(unused);
    defaults = unused;
    expect(planAt(LISTED_AT_MS + 2)).to.deep.equal(unused);
    show([], LISTED_AT_MS + RETIREMENT_MS + 1);
    expect(planAt(LISTED_AT_MS + RETIREMENT_MS + 1)).to.deep.equal(unused);
  });

  // Guards against a default version that counts as unused while its entries are back after an outage of the store.
  it('marks a version unused more than 2.5 s after its last endpoint', () => {
    show(['v1', 'v2'], LISTED_AT_MS);
    const absentAt = LISTED_AT_MS + MAX_BRIEF_ABSENCE_MS;
    show(['v2'], absentAt);
    expect(planAt(absentAt)).to.deep.equal(defaults);
    expect(planAt(absentAt + 1)).to.deep.equal([
      stored('v1', LISTED_AT_MS, absentAt + 1, 'v2'),
    ]);
  });

  // Guards against streams that are refused as no version serves, or as the only one comes late.
  it('marks a version that has been away for long unused only once another one has endpoints', () => {
    show(['v1'], LISTED_AT_MS);
    const absentAt = LISTED_AT_MS + RETIREMENT_MS;
    show([], absentAt);
    expect(planAt(absentAt)).to.deep.equal(defaults);
    show([undefined], absentAt);
    expect(planAt(absentAt)).to.deep.equal([
      stored('v1', LISTED_AT_MS, absentAt),
    ]);
  });

  // Guards against a version of another service that counts as the default one's successor.
  it('counts only versions of the same service', () => {
    show(['v1'], LISTED_AT_MS);
    const absentAt = LISTED_AT_MS + RETIREMENT_MS;
    const other = { ...entry('v2'), service: serviceId('a') };
    presence.observe([other], instant(absentAt));
    expect(planAt(absentAt)).to.deep.include(defaults[0]);
  });

  // Guards against a time without endpoints that a short return of the version, too short to be listed, does not end.
  it('counts the 2.5 s anew after a return of the version', () => {
    show(['v1', 'v2'], LISTED_AT_MS);
    const backAt = LISTED_AT_MS + MAX_BRIEF_ABSENCE_MS;
    show(['v1', 'v2'], backAt);
    show(['v2'], backAt + 1);
    expect(planAt(backAt + MAX_BRIEF_ABSENCE_MS)).to.deep.equal(defaults);
    expect(planAt(backAt + MAX_BRIEF_ABSENCE_MS + 1)[0]?.unusedSince).to.equal(
      backAt + MAX_BRIEF_ABSENCE_MS + 1 + CLOCK_OFFSET_MS,
    );
  });

  // Guards against a stream without a record that may have begun at one of several versions.
  it('names a successor only while the version has one, and keeps it beside others', () => {
    show(['v2', 'v3'], LISTED_AT_MS);
    const unnamed = [stored('v1', LISTED_AT_MS, LISTED_AT_MS)];
    expect(planAt(LISTED_AT_MS)).to.deep.equal(unnamed);
    defaults = [stored('v1', LISTED_AT_MS, LISTED_AT_MS, 'v2')];
    expect(planAt(LISTED_AT_MS + 1)).to.deep.equal(defaults);
    show(['v3'], LISTED_AT_MS + 2);
    expect(planAt(LISTED_AT_MS + 2)).to.deep.equal([
      stored('v1', LISTED_AT_MS, LISTED_AT_MS, 'v3'),
    ]);
    show(['v1', 'v3'], LISTED_AT_MS + 3);
    expect(planAt(LISTED_AT_MS + 3)[0]).not.to.have.property('successor');
  });

  // Guards against streams of the old version that are resumed at the new one.
  it('changes the version after its retirement and to a single successor', () => {
    defaults = [stored('v1', 0, LISTED_AT_MS)];
    const retiredAt = LISTED_AT_MS + RETIREMENT_MS;
    show(['v2', 'v3'], retiredAt);
    expect(planAt(retiredAt)).to.deep.equal(defaults);
    show(['v2', undefined], retiredAt);
    expect(planAt(retiredAt)).to.deep.equal(defaults);
    show([undefined], retiredAt);
    expect(planAt(retiredAt)).to.deep.equal(defaults);
    show(['v2'], retiredAt);
    expect(planAt(retiredAt - 1)).to.deep.equal([
      stored('v1', 0, LISTED_AT_MS, 'v2'),
    ]);
    expect(planAt(retiredAt)).to.deep.equal([
      stored('v2', retiredAt + OLD_LIST_MS),
    ]);
  });

  // Guards against streams that began elsewhere without a record while the version was unused.
  it('uses a version that comes back, and is certain of it once streams of the time before have ended', () => {
    defaults = [stored('v1', 0, LISTED_AT_MS)];
    show(['v1', 'v2'], LISTED_AT_MS + RETIREMENT_MS);
    expect(planAt(LISTED_AT_MS + RETIREMENT_MS)).to.deep.equal([
      stored('v1', LISTED_AT_MS + RETIREMENT_MS + OLD_LIST_MS),
    ]);
  });

  // Guards against records that a restored store has lost.
  it('is certain once streams of the time before a restore have ended, or at once of the only version', () => {
    defaults = [stored('v1', 0)];
    const fields = { isCurrent: false };
    show(['v1'], 0);
    show(['v1'], LIFETIME);
    expect(planAt(LIFETIME, fields)).to.deep.equal([stored('v1', LIFETIME)]);
    expect(planAt(LIFETIME - 1, fields)).to.deep.equal([
      stored('v1', LIFETIME - 1 + OLD_LIST_MS),
    ]);
    show(['v1', 'v2'], LIFETIME + 1);
    expect(planAt(LIFETIME + 1, fields)).to.deep.equal([
      stored('v1', LIFETIME + 1 + OLD_LIST_MS),
    ]);
  });

  // Guards against streams of another service that a restore makes count as ones of this one.
  it('is certain no earlier after a restore of the store than before it', () => {
    defaults = [stored('v1', 2 * LIFETIME)];
    show(['v1'], 0);
    show(['v1'], LIFETIME);
    expect(planAt(LIFETIME, { isCurrent: false })).to.deep.equal(defaults);
  });

  // Guards against a retirement whose time a restored store does not tell.
  it('begins the time without endpoints anew after a restore', () => {
    defaults = [stored('v1', 0, 0)];
    show(['v2'], LISTED_AT_MS);
    expect(planAt(LISTED_AT_MS, { isCurrent: false })).to.deep.equal([
      stored('v1', LISTED_AT_MS + OLD_LIST_MS, LISTED_AT_MS, 'v2'),
    ]);
  });

  // Guards against a list that is written again and again as the clocks differ by a little.
  it('is certain only once streams that a service inherited have ended', () => {
    show(['v1'], LISTED_AT_MS);
    const planUntil = (until: number) =>
      planAt(LISTED_AT_MS, {
        inheritedUntil: new Map([[service, until + CLOCK_OFFSET_MS]]),
      });
    expect(planUntil(LISTED_AT_MS - 1)).to.deep.equal(defaults);
    expect(planUntil(LISTED_AT_MS + 1000)).to.deep.equal(defaults);
    const raised = [stored('v1', LISTED_AT_MS + 1001)];
    expect(planUntil(LISTED_AT_MS + 1001)).to.deep.equal(raised);
  });

  it('plans each service by itself, in the order of their names', () => {
    const other = serviceId('a');
    defaults = [];
    presence.observe(
      [entry('v1'), { ...entry('v2'), service: other }],
      instant(0),
    );
    const plan = planAt(0, { isFirstStart: true });
    expect(plan.map(each => [each.service, each.version])).to.deep.equal([
      ['a', 'v2'],
      ['s', 'v1'],
    ]);
  });
});
