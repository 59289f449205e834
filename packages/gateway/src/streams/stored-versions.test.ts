import { expect } from 'chai';

import { EndpointDirectory } from '@sesamegrade/core/endpoints/endpoint-directory';
import { VersionHistory } from '@sesamegrade/core/software-versions/version-history';
import { Random } from '@sesamegrade/core/random/random';
import { revision, storeEra } from '@sesamegrade/core/store/feed-position';
import { BackgroundTasks } from '@sesamegrade/core/tasks/background-tasks';
import { ManualTimerService } from '@sesamegrade/core/time/manual-timer-service';
import {
  endpointId,
  serviceId,
  softwareVersion,
  zoneId,
} from '@sesamegrade/core/types/ids';
import { fail, succeed } from '@sesamegrade/core/types/result';
import { milliseconds, seconds } from '@sesamegrade/core/types/units';
import type { DecisionLog } from '../logs/decision-log';
import { StoredVersions } from './stored-versions';

const settle = () => new Promise(resolve => setImmediate(resolve));
const entry = (service: string, version: string) => ({
  id: endpointId(`${service}-${version}`),
  service: serviceId(service),
  address: { host: '10.0.0.1', port: 1 },
  zone: zoneId('z'),
  slots: 1,
  leaving: false,
  warmUp: milliseconds(0),
  startedAt: undefined,
  softwareVersion: softwareVersion(version),
});

function open(isFirstReader: boolean, era = 0) {
  const duty = { isReader: isFirstReader, isRelay: false };
  const timers = new ManualTimerService();
  const directory = new EndpointDirectory();
  const history = new VersionHistory(() => seconds(30));
  const calls = { reads: 0, writes: [] as number[] };
  const lines: { event: string; fields: unknown }[] = [];
  let value: Uint8Array | undefined;
  let at = 1;
  const position = () => ({ era: storeEra(era), revision: revision(at + 100) });
  const page = () => ({
    rows: value
      ? [{ key: 'software-versions', value, revision: revision(at) }]
      : [],
    position: position(),
    storeTime: timers.now() + 1_000_000,
  });
  const stored = new StoredVersions({
    settings: { router: { first_start: false } },
    routerRows: {
      readAll: () => {
        calls.reads += 1;
        return Promise.resolve(succeed(page()));
      },
      replace: (_key: string, next: Uint8Array, expected: number) => {
        if (expected !== (value ? at : 0)) {
          return Promise.resolve(fail({ kind: 'conflict' }));
        }
        calls.writes.push(timers.now());
        value = next;
        at += 1;
        return Promise.resolve(succeed(storeEra(era)));
      },
    } as never,
    versionHistory: history,
    endpointDirectory: directory,
    fleetReplica: duty,
    peerUpdates: duty,
    random: new Random(1),
    timers,
    backgroundTasks: new BackgroundTasks(({ error }) => {
      throw error;
    }),
    log: {
      write: (event: string, fields: unknown) => lines.push({ event, fields }),
    } as unknown as DecisionLog,
  });
  const pass = async (length: number) => {
    for (let passed = 0; passed < length; passed += 250) {
      timers.advance(milliseconds(250));
      stored.tick(timers.now());
      await settle();
    }
  };
  const put = (json: unknown) => {
    value = new TextEncoder().encode(JSON.stringify(json));
    at += 1;
  };
  const row = () =>
    JSON.parse(new TextDecoder().decode(value)) as { uses: unknown[] };
  return {
    ...{ duty, timers, directory, history, calls, stored, pass, put, page },
    row,
    lines,
  };
}

describe('StoredVersions', () => {
  const use = (version: string, until: number | null = null) => ({
    service: 's',
    version,
    until,
  });

  // Guards against a gap that the row is taken to cover although its writer may have had it too.
  it('completes a history with gaps only when it is read for that', async () => {
    const { directory, history, put, stored, page, timers } = open(false);
    directory.replace([entry('s', 'v1')], timers.now());
    put({ since: 0, uses: [use('v1')], era: 0 });
    history.markMissed({ era: storeEra(0), revision: revision(50) });
    stored.onRows(page());
    expect(history.hasMissed).to.equal(true);
    await stored.readAfterGap();
    expect(history.hasMissed).to.equal(false);
  });

  // Guards against a version that is used unrecorded, as its writer waits after another change.
  it('records a version of a second service before streams may begin there', async () => {
    const { directory, calls, pass, timers, stored } = open(true);
    const list = [entry('a', 'v1'), entry('b', 'v1')];
    directory.replace(list, timers.now());
    stored.onRows({
      ...{ rows: [], storeTime: 1_000_000 },
      position: { era: storeEra(0), revision: revision(1) },
    });
    await pass(5000);
    directory.replace([...list, entry('a', 'v2')], timers.now());
    stored.tick(timers.now());
    await settle();
    timers.advance(milliseconds(40));
    const joinedAt = timers.now();
    directory.replace([...list, entry('a', 'v2'), entry('b', 'v2')], joinedAt);
    stored.tick(joinedAt);
    await settle();
    timers.advance(milliseconds(190));
    await pass(2000);
    expect(calls.writes.at(-1)).to.be.lessThan(joinedAt + 500);
  });

  // Guards against a version that is used unrecorded, as a new writer goes by an old copy of the row.
  it('records a version at once after it took over from another writer', async () => {
    const { duty, directory, calls, pass, put, stored, page, timers } =
      open(false);
    directory.replace([entry('s', 'v1')], timers.now());
    put({ since: 0, uses: [use('v1')], era: 0 });
    stored.onRows(page());
    // The former writer wrote the row twice since.
    put({ since: 0, uses: [use('v1'), use('v0')], era: 0 });
    put({ since: 0, uses: [use('v1'), use('v0', 1_000_000)], era: 0 });
    await pass(5000);
    duty.isReader = true;
    directory.replace([entry('s', 'v1'), entry('s', 'v2')], timers.now());
    const joinedAt = timers.now();
    stored.tick(joinedAt);
    await settle();
    await pass(3000);
    expect(calls.writes[0]).to.be.lessThan(joinedAt + 1000);
  });

  // Guards against a version that is never recorded, as an old copy of the row lists it.
  it('writes the row if a stale copy of it happens to list the versions in use', async () => {
    const { duty, directory, calls, pass, put, stored, page, timers } =
      open(false);
    directory.replace([entry('s', 'v1')], timers.now());
    put({ since: 0, uses: [use('v1'), use('v2')], era: 0 });
    stored.onRows(page());
    put({ since: 0, uses: [use('v1'), use('v2', 1_000_500)], era: 0 });
    await pass(40_000);
    directory.replace([entry('s', 'v1'), entry('s', 'v2')], timers.now());
    duty.isReader = true;
    await pass(60_000);
    expect(calls.writes).to.have.length.at.least(1);
  });

  // Guards against a version that is used unrecorded, as the store rejects the reader alone.
  it('adds a version that the reader does not record, and ends the use of none', async () => {
    for (const [isRelay, latest] of [
      [true, 1500],
      [false, 3000],
    ] as const) {
      const { duty, directory, calls, pass, put, stored, page, timers, row } =
        open(false);
      duty.isRelay = isRelay;
      directory.replace([entry('s', 'v1')], timers.now());
      put({ since: 0, uses: [use('v1'), use('v3')], era: 0 });
      stored.onRows(page());
      await pass(5000);
      expect(calls.writes).to.deep.equal([]);
      directory.replace([entry('s', 'v1'), entry('s', 'v2')], timers.now());
      const joinedAt = timers.now();
      stored.tick(joinedAt);
      await pass(10_000);
      expect(calls.writes).to.have.length(1);
      expect(calls.writes[0]! - joinedAt).to.be.within(1000, latest);
      expect(row().uses).to.have.deep.members(
        ['v1', 'v2', 'v3'].map(v => use(v)),
      );
    }
  });

  // Guards against a version that came and left while the store took no write, and of which no row ever tells.
  it('records the end of a use that the row does not list, or lists as ended before', async () => {
    for (const listed of [[use('v1')], [use('v1'), use('v2', 990_000)]]) {
      const {
        directory,
        history,
        pass,
        put,
        stored,
        page,
        timers,
        row,
        calls,
      } = open(true);
      directory.replace([entry('s', 'v1')], timers.now());
      put({ since: 0, uses: listed, era: 0 });
      stored.onRows(page());
      await pass(5000);
      history.record({
        service: serviceId('s'),
        version: softwareVersion('v2'),
        lastSeenAt: timers.now(),
      });
      const endedAt = page().storeTime;
      await pass(5000);
      expect(row().uses).to.have.deep.members([use('v1'), use('v2', endedAt)]);
      expect(calls.writes).to.have.length(1);
    }
  });

  // Guards against a row that lists the end of a version's use while it is in use, as the reader goes by an old copy.
  it('reads the row again when others say that it lists a version, and then writes it', async () => {
    const { directory, history, pass, put, stored, page, timers, row } =
      open(true);
    directory.replace([entry('s', 'v1'), entry('s', 'v2')], timers.now());
    put({ since: 0, uses: [use('v1'), use('v2')], era: 0 });
    stored.onRows(page());
    await pass(1000);
    put({ since: 0, uses: [use('v1', 1_000_500), use('v2')], era: 0 });
    const told = { service: serviceId('s'), version: softwareVersion('v3') };
    history.record({ ...told, lastSeenAt: timers.now() });
    history.markRecorded(told.service, told.version);
    await pass(5000);
    expect(row().uses).to.deep.include.members([use('v1'), use('v2')]);
  });

  // Guards against a resumed stream of which the log does not tell what its router had been told.
  it('logs when the history becomes complete and incomplete, and up to where it was told', async () => {
    const { directory, history, pass, put, stored, page, timers, lines } =
      open(false);
    directory.replace([entry('s', 'v1')], timers.now());
    put({ since: 0, uses: [use('v1')], era: 0 });
    stored.onRows(page());
    const toldUpTo = page().position;
    await pass(500);
    history.markMissed({ era: storeEra(0), revision: revision(500) });
    await pass(500);
    expect(
      lines.filter(({ event }) => event === 'version-history'),
    ).to.deep.equal(
      [true, false].map(isComplete => ({
        event: 'version-history',
        fields: { isComplete, toldUpTo },
      })),
    );
  });
});
