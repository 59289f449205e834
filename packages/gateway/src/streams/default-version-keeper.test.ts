import { expect } from 'chai';

import { EndpointDirectory } from '@sesamegrade/core/endpoints/endpoint-directory';
import type { EndpointEntry } from '@sesamegrade/core/endpoints/endpoint-entry';
import type { DefaultVersion } from '@sesamegrade/core/software-versions/default-versions';
import {
  configurationVersion,
  endpointId,
  serviceId,
  softwareVersion,
  zoneId,
} from '@sesamegrade/core/types/ids';
import { milliseconds, seconds } from '@sesamegrade/core/types/units';
import type { Milliseconds } from '@sesamegrade/core/types/units';
import { DefaultVersionKeeper } from './default-version-keeper';
import { decodeDefaults, DEFAULTS_KEY } from './origin-row';
import {
  ReachedStore,
  silentLog,
  STREAM_LIFETIME,
} from './testing/reached-store';

const service = serviceId('s');
/** Time after the start before the list is written. */
const FIRST_WRITE_DELAY = seconds(1);
/** Age of the endpoints up to which a router judges by them. */
const MAX_ENDPOINTS_AGE_MS = 2000;
/** Absence up to which a version counts as used. */
const MAX_BRIEF_ABSENCE = milliseconds(2500);
/** Time for which a router has to see only one version before it lists a first one. */
const ONLY_VERSION_SPAN = milliseconds(STREAM_LIFETIME + 30_000);
/** More than a write and the two reads around it take. */
const WRITE_TIME_MS = 50;
const STARTED_AT = 1;

const entry = (version: string): EndpointEntry => ({
  id: endpointId(`e-${version}`),
  service,
  address: { host: '10.0.0.1', port: 1 },
  zone: zoneId('z'),
  slots: 1,
  leaving: false,
  warmUp: milliseconds(0),
  startedAt: STARTED_AT,
  softwareVersion: softwareVersion(version),
});

describe('DefaultVersionKeeper', () => {
  let store: ReachedStore;
  let directory: EndpointDirectory;
  let keeper: DefaultVersionKeeper;
  /** Age of the last confirmation of the endpoints; undefined if there is none. */
  let age: Milliseconds | undefined;

  const open = (isFirstStart = true) => {
    const { timers, defaultVersions, backgroundTasks } = store;
    return new DefaultVersionKeeper({
      settings: { router: { first_start: isFirstStart } },
      streamRows: store.rows,
      originTable: store.originTable(),
      defaultVersions,
      endpointDirectory: directory,
      coverage: { endpoints: { age: () => age } },
      routes: { version: configurationVersion(1) },
      routeHistory: {
        routing: undefined,
        confirm: () => undefined,
        follows: () => true,
      },
      successorAgreement: { tick: () => undefined, includesAll: () => false },
      fleetReplica: { isReader: true },
      peerUpdates: { isRelay: true },
      streamLifetime: () => STREAM_LIFETIME,
      timers,
      backgroundTasks,
      log: silentLog,
    });
  };
  const list = (...versions: readonly string[]) => {
    directory.replace(versions.map(entry), store.timers.now());
  };
  const leave = (version: string) => {
    directory.markLeaving(endpointId(`e-${version}`), STARTED_AT);
  };
  const tick = async () => {
    keeper.tick(store.timers.now());
    await store.pass(WRITE_TIME_MS);
  };
  /** The entry of the service in the stored list. */
  const stored = (): DefaultVersion | undefined => {
    const row = store.table
      .rows(store.counter.position(Infinity))
      .find(({ key }) => key === DEFAULTS_KEY);
    return row?.value && decodeDefaults(row.value)?.defaults[0];
  };
  /** Has v1 listed, and v2 seen beside it; returns when both were seen last. */
  const listBoth = async (): Promise<number> => {
    list('v1', 'v2');
    await tick();
    expect(stored()).to.include({ version: 'v1', unusedSince: undefined });
    const seenAt = store.timers.now();
    keeper.tick(seenAt);
    return seenAt;
  };
  const advanceTo = (at: number) => {
    store.timers.advance(milliseconds(at - store.timers.now()));
  };

  beforeEach(() => {
    store = new ReachedStore();
    directory = new EndpointDirectory();
    age = milliseconds(0);
    keeper = open();
    store.timers.advance(FIRST_WRITE_DELAY);
  });

  // Guards against a list that is written by endpoints which have been replaced since.
  it('judges only by endpoints that were confirmed within 2 s', async () => {
    list('v1');
    for (const unknown of [undefined, milliseconds(MAX_ENDPOINTS_AGE_MS + 1)]) {
      age = unknown;
      await tick();
      expect(stored()).to.equal(undefined);
    }
    age = milliseconds(MAX_ENDPOINTS_AGE_MS);
    await tick();
    expect(stored()).to.include({ version: 'v1' });
  });

  // Guards against a default version that is listed as unused by a router that has missed its new endpoints.
  it('lists no version as unused by endpoints that were confirmed longer ago', async () => {
    const seenAt = await listBoth();
    leave('v1');
    advanceTo(seenAt + 2 * MAX_BRIEF_ABSENCE);
    age = milliseconds(MAX_ENDPOINTS_AGE_MS + 1);
    await tick();
    expect(stored()).to.include({ unusedSince: undefined });
    age = milliseconds(MAX_ENDPOINTS_AGE_MS);
    await tick();
    expect(stored()!.unusedSince).to.be.a('number');
  });

  // Guards against a default version at which no stream can begin any more, as its endpoints leave.
  it('lists no version of which all endpoints leave as the first one', async () => {
    list('v1', 'v2');
    leave('v1');
    await tick();
    expect(stored()).to.include({ version: 'v2' });
  });

  // Guards against streams that are all recorded for as long as endpoints of the old version drain.
  for (const [kind, end] of [
    ['leave by their own word', leave],
    [
      'have left by the word of a peer',
      (version: string) => directory.applyDeparture(endpointId(`e-${version}`)),
    ],
  ] as const) {
    it(`counts endpoints that ${kind} for none of their version`, async () => {
      const seenAt = await listBoth();
      expect(store.defaultVersions.isUnused).to.equal(false);
      end('v1');
      advanceTo(seenAt + MAX_BRIEF_ABSENCE + 1);
      await tick();
      expect(stored()).to.include({ version: 'v1' });
      expect(stored()!.unusedSince).to.be.a('number');
      expect(store.defaultVersions.isUnused).to.equal(true);
    });
  }

  // Guards against a default version that counts as unused while its entries are back after an outage of the store.
  it('lists a version as unused once it has been away for more than 2.5 s', async () => {
    const seenAt = await listBoth();
    leave('v1');
    advanceTo(seenAt + MAX_BRIEF_ABSENCE);
    await tick();
    expect(stored()).to.include({ version: 'v1', unusedSince: undefined });
    await tick();
    expect(stored()!.unusedSince).to.be.above(seenAt + MAX_BRIEF_ABSENCE);
  });

  // Guards against streams that are refused as no version serves for a moment.
  it('lists no version as unused while no other one has endpoints', async () => {
    const seenAt = await listBoth();
    leave('v1');
    leave('v2');
    advanceTo(seenAt + 10 * MAX_BRIEF_ABSENCE);
    await tick();
    expect(stored()).to.include({ version: 'v1', unusedSince: undefined });
  });

  // Guards against a version that came and left in a gap, and one that is never listed as each short gap counts.
  for (const [gap, isListed] of [
    [MAX_ENDPOINTS_AGE_MS, true],
    [MAX_ENDPOINTS_AGE_MS + 1, false],
  ] as const) {
    it(`counts the time of an only version ${isListed ? 'on' : 'anew'} after a gap of ${gap} ms`, async () => {
      keeper = open(false);
      list('v1');
      await tick();
      age = milliseconds(gap);
      keeper.markMissed();
      age = milliseconds(0);
      store.timers.advance(ONLY_VERSION_SPAN);
      await tick();
      expect(stored()?.version).to.equal(isListed ? 'v1' : undefined);
      store.timers.advance(ONLY_VERSION_SPAN);
      await tick();
      expect(stored()?.version).to.equal('v1');
    });
  }

  // Guards against a list that is written before it is known how many versions a router that has just started sees.
  for (const [time, isWritten] of [
    [FIRST_WRITE_DELAY - 1, false],
    [FIRST_WRITE_DELAY, true],
  ] as const) {
    it(`${isWritten ? 'writes' : 'does not write'} the list ${time} ms after its start`, async () => {
      keeper = open();
      list('v1');
      store.timers.advance(milliseconds(time));
      await tick();
      expect(stored()?.version).to.equal(isWritten ? 'v1' : undefined);
    });
  }
});
