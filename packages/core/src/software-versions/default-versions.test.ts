import { expect } from 'chai';

import type { EndpointEntry } from '../endpoints/endpoint-entry';
import { FIRST_ERA, storeEra } from '../store/feed-position';
import { endpointId, serviceId, softwareVersion, zoneId } from '../types/ids';
import { addTime, instant, milliseconds } from '../types/units';
import { DefaultVersions, MAX_UNUSED_LIST_AGE } from './default-versions';
import type { DefaultVersion, StoreRead } from './default-versions';

const service = serviceId('s');
const v1 = softwareVersion('v1');
const v2 = softwareVersion('v2');
const SHOWN_AT = instant(1000);
const READ_AT = instant(2000);
const NOW = instant(3000);
/** The store's time minus the router's. */
const CLOCK_OFFSET_MS = 50_000;

const entry = (version: string): EndpointEntry => ({
  id: endpointId(`e-${version}`),
  service,
  address: { host: '10.0.0.1', port: 1 },
  zone: zoneId('z'),
  slots: 1,
  leaving: false,
  warmUp: milliseconds(0),
  startedAt: undefined,
  softwareVersion: softwareVersion(version),
});

describe('DefaultVersions', () => {
  let versions: DefaultVersions;

  const show = (shown: readonly string[], at = SHOWN_AT) => {
    versions.observe(shown.map(entry), at);
  };
  const read = (
    fields: Partial<DefaultVersion> = {},
    { sentAt = READ_AT, ...rest }: Partial<StoreRead> = {},
    writtenIn = FIRST_ERA,
  ) => {
    versions.apply(
      {
        defaults: [
          { service, version: v1, since: 0, unusedSince: undefined, ...fields },
        ],
        writtenIn,
      },
      {
        era: FIRST_ERA,
        storeTime: sentAt + CLOCK_OFFSET_MS,
        sentAt,
        receivedAt: sentAt,
        ...rest,
      },
    );
  };
  const certain = () => versions.versionOfUnrecorded(service, NOW);
  /** The versions at which a stream may begin without a record. */
  const unrecorded = () =>
    [v1, v2, undefined].filter(version =>
      versions.needsNoRecord(service, version, NOW),
    );

  /** The versions at which a stream may lack a record that the store does not take. */
  const mayLack = (now = NOW) =>
    [v1, v2, undefined].filter(version =>
      versions.mayLackRecord(service, version, now),
    );

  beforeEach(() => {
    versions = new DefaultVersions();
    show(['v1', 'v2']);
  });

  // Guards against a router that has just started and takes every version for the default one.
  it('is certain of nothing before the list was read', () => {
    expect(certain()).to.equal(undefined);
    expect(unrecorded()).to.deep.equal([]);
    expect(mayLack()).to.deep.equal([]);
    expect(versions.isOutdated).to.equal(true);
  });

  it('takes streams without a record for ones of the listed version', () => {
    read();
    expect(certain()).to.equal(v1);
    expect(unrecorded()).to.deep.equal([v1]);
    expect(mayLack()).to.deep.equal([v1]);
    expect(versions.isOutdated).to.equal(false);
  });

  // Guards against a default version that was listed since this router has read the list.
  it('lets no stream lack a record of a service that the list does not name', () => {
    versions.apply(
      { defaults: [], writtenIn: FIRST_ERA },
      {
        era: FIRST_ERA,
        storeTime: undefined,
        sentAt: READ_AT,
        receivedAt: READ_AT,
      },
    );
    expect(certain()).to.equal(undefined);
    expect(unrecorded()).to.deep.equal([]);
    expect(mayLack()).to.deep.equal([]);
    expect(versions.has(service)).to.equal(false);
    show(['v1'], NOW);
    expect(versions.isOutdated).to.equal(true);
  });

  // Guards against records that a restored store has lost.
  it('is certain of nothing by a list of another era', () => {
    const restored = storeEra(1);
    read({}, { era: restored });
    expect(certain()).to.equal(undefined);
    expect(unrecorded()).to.deep.equal([]);
    expect(versions.has(service)).to.equal(true);
    expect(versions.isOutdated).to.equal(true);
    read({}, { era: restored, sentAt: NOW }, restored);
    expect(certain()).to.equal(v1);
    versions.invalidate();
    expect(certain()).to.equal(undefined);
    expect(versions.isOutdated).to.equal(true);
  });

  // Guards against streams of the version before that are taken for ones of the new one.
  it('is certain only from the time that the list names, on the clock of the store', () => {
    read({ since: NOW + CLOCK_OFFSET_MS + 1 });
    expect(certain()).to.equal(undefined);
    expect(unrecorded()).to.deep.equal([]);
    // One that begins now is refused until then, and counts as of this version after.
    expect(mayLack()).to.deep.equal([v1]);
    read({ since: NOW + CLOCK_OFFSET_MS });
    expect(certain()).to.equal(v1);
    expect(unrecorded()).to.deep.equal([v1]);
  });

  // Guards against streams at other versions that count as ones of the default version by a step of the store's clock.
  it('is not certain any earlier by a step of the clock of the store', () => {
    const since = NOW + CLOCK_OFFSET_MS + 1;
    read({ since });
    const storeTime = READ_AT + 1 + 2 * CLOCK_OFFSET_MS;
    read({ since }, { sentAt: instant(READ_AT + 1), storeTime });
    expect(certain()).to.equal(undefined);
    const later = instant(NOW + 1);
    expect(versions.versionOfUnrecorded(service, later)).to.equal(v1);
  });

  // Guards against the same by a step back, on which a list was written, that is made up for.
  it('is certain by the least time that the store has named', () => {
    const since = NOW + 1;
    read();
    read({ since }, { sentAt: instant(READ_AT + 1), storeTime: READ_AT + 1 });
    expect(certain()).to.equal(undefined);
    read({ since }, { sentAt: instant(READ_AT + 2) });
    expect(certain()).to.equal(undefined);
    expect(versions.versionOfUnrecorded(service, instant(NOW + 1))).to.equal(
      v1,
    );
  });

  it('is certain of nothing while only other versions are in use', () => {
    read({ unusedSince: 1 });
    expect(certain()).to.equal(undefined);
    expect(unrecorded()).to.deep.equal([]);
    expect(mayLack()).to.deep.equal([v1, v2, undefined]);
  });

  // Guards against streams that count as of a default version which another router has listed since.
  it('lets no stream lack a record by an old list of which the default version is unused', () => {
    read({ unusedSince: 1 });
    const last = addTime(READ_AT, MAX_UNUSED_LIST_AGE);
    expect(mayLack(last)).to.have.length(3);
    expect(mayLack(addTime(last, milliseconds(1)))).to.deep.equal([]);
  });

  // Guards against a default version that is back before anybody could list it as unused.
  it('lets no stream lack a record only because the default version has no endpoint here', () => {
    read();
    show(['v2'], NOW);
    expect(mayLack()).to.deep.equal([]);
    expect(versions.isUnused).to.equal(true);
    expect(certain()).to.equal(v1);
    show([], NOW);
    expect(versions.isUnused).to.equal(false);
  });

  // Guards against a version that comes back after another router has listed its successor.
  it('needs a record at a version that appeared after the list was read', () => {
    show(['v2']);
    read();
    show(['v1', 'v2'], NOW);
    expect(unrecorded()).to.deep.equal([]);
    expect(mayLack()).to.deep.equal([]);
    expect(versions.isOutdated).to.equal(true);
    read({}, { sentAt: NOW });
    expect(unrecorded()).to.deep.equal([v1]);
    expect(versions.isOutdated).to.equal(false);
  });

  it('knows since when a version has endpoints while other ones come and leave', () => {
    read();
    show(['v1'], NOW);
    show(['v1', 'v2'], NOW);
    expect(unrecorded()).to.deep.equal([v1]);
  });

  // Guards against an answer of a slow peer that hides a newer read of the store.
  it('keeps a read that was sent after the one of a late answer', () => {
    read({ version: v2 });
    read({}, { sentAt: SHOWN_AT, receivedAt: NOW });
    expect(certain()).to.equal(v2);
    read({}, { sentAt: NOW });
    expect(certain()).to.equal(v1);
  });

  // Guards against a relay that reads the store as it was before a restore, and counts as the latest.
  it('keeps a read of a later era than that of an answer', () => {
    const restored = storeEra(1);
    read({}, { era: restored });
    expect(certain()).to.equal(undefined);
    read({}, { sentAt: NOW });
    expect(certain()).to.equal(undefined);
    expect(versions.isOutdated).to.equal(true);
  });

  // Guards against lists that count late for good as the router stood still while an answer waited.
  it('takes the time for which an answer waited for no step of the clock', () => {
    const LATE_MS = 60_000;
    const storeTime = READ_AT + CLOCK_OFFSET_MS;
    read();
    read(
      {},
      { storeTime, receivedAt: addTime(READ_AT, milliseconds(LATE_MS)) },
    );
    read({ since: NOW + CLOCK_OFFSET_MS });
    expect(certain()).to.equal(v1);
  });

  it('goes by a step back of the clock that a late answer shows', () => {
    const STEP_MS = 30_000;
    read();
    read(
      { since: NOW + CLOCK_OFFSET_MS - STEP_MS + 1 },
      {
        storeTime: READ_AT + CLOCK_OFFSET_MS - STEP_MS,
        receivedAt: addTime(READ_AT, milliseconds(2 * STEP_MS)),
      },
    );
    expect(certain()).to.equal(undefined);
  });

  describe('with a successor that all routers go by', () => {
    const LIFETIME = milliseconds(30_000);
    const AGREED_AT_MS = 100_000;
    /** Unix time minus the router's. */
    const WALL_OFFSET_MS = 7_000_000;
    const agreed = {
      unusedSince: AGREED_AT_MS - 2000 + CLOCK_OFFSET_MS,
      successor: {
        version: v2,
        agreedAt: {
          storeTime: AGREED_AT_MS + CLOCK_OFFSET_MS,
          wallTime: AGREED_AT_MS + WALL_OFFSET_MS,
        },
      },
    };
    const apply = (
      fields: Partial<DefaultVersion>,
      {
        lifetime,
        storeOffset = CLOCK_OFFSET_MS,
      }: { lifetime: number | undefined; storeOffset?: number } = {
        lifetime: LIFETIME,
      },
    ) => {
      const at = instant(AGREED_AT_MS);
      versions = new DefaultVersions();
      versions.apply(
        {
          defaults: [{ service, version: v1, since: 0, ...agreed, ...fields }],
          writtenIn: FIRST_ERA,
          lifetime: lifetime === undefined ? undefined : milliseconds(lifetime),
        },
        {
          era: FIRST_ERA,
          storeTime: at + storeOffset,
          sentAt: at,
          receivedAt: at,
        },
      );
    };
    /** The version of a stream whose caller has `remaining` ms left, some time after the agreement. */
    const resumed = (
      after: number,
      remaining: number,
      { lifetime = LIFETIME, wallStep = 0 } = {},
    ) => {
      const now = instant(AGREED_AT_MS + after);
      return versions.versionOfResumed(service, now, {
        remaining: milliseconds(remaining),
        lifetime,
        wallTime: now + WALL_OFFSET_MS + wallStep,
      });
    };

    it('takes a stream for one of the successor that began after the agreement', () => {
      apply({});
      // A caller of a route with 15 s has waited for 7 s, and the begin may be 1 s earlier.
      expect(resumed(8000, 8000)).to.equal(v2);
      expect(resumed(7999, 8000)).to.equal(undefined);
      expect(versions.versionOfUnrecorded(service, NOW)).to.equal(undefined);
    });

    // Guards against a caller that waits for longer than routes allow for, whose stream is older than its time shows.
    it('takes none of a caller that has more time than streams live', () => {
      apply({});
      expect(resumed(60_000, 15_000)).to.equal(v2);
      expect(resumed(60_000, 15_001)).to.equal(undefined);
    });

    // Guards against timeouts that were shortened since, or that a router has not heard of.
    it('goes by the longest life of the list and the router', () => {
      apply({}, { lifetime: 60_000 });
      expect(resumed(8000, 8000)).to.equal(undefined);
      expect(resumed(23_000, 8000)).to.equal(v2);
      apply({}, { lifetime: undefined });
      expect(resumed(60_000, 8000)).to.equal(undefined);
      apply({});
      const lifetime = milliseconds(60_000);
      expect(resumed(8000, 8000, { lifetime })).to.equal(undefined);
    });

    // Guards against a step of either clock, which makes a stream look younger than the agreement.
    it('needs both clocks to show that it began later', () => {
      apply({}, { lifetime: LIFETIME, storeOffset: CLOCK_OFFSET_MS + 60_000 });
      expect(resumed(5000, 8000)).to.equal(undefined);
      apply({});
      expect(resumed(5000, 8000, { wallStep: 60_000 })).to.equal(undefined);
    });

    it('takes none without the agreement, and none of another service before its end', () => {
      apply({ successor: { version: v2, agreedAt: undefined } });
      expect(resumed(60_000, 8000)).to.equal(undefined);
      apply({ since: AGREED_AT_MS + 60_000 + CLOCK_OFFSET_MS });
      expect(resumed(59_999, 8000)).to.equal(undefined);
      expect(resumed(60_000, 8000)).to.equal(v2);
    });

    // Guards against streams of a third version that lack a record as well.
    it('lets only the successor lack a record', () => {
      apply({});
      const now = instant(AGREED_AT_MS);
      const v3 = softwareVersion('v3');
      const mayLackRecord = [v1, v2, v3, undefined].filter(version =>
        versions.mayLackRecord(service, version, now),
      );
      expect(mayLackRecord).to.deep.equal([v2]);
    });
  });
});
