import { expect } from 'chai';

import { EndpointDirectory } from '@sesamegrade/core/endpoints/endpoint-directory';
import type { EndpointEntry } from '@sesamegrade/core/endpoints/endpoint-entry';
import { StreamUpdates } from '@sesamegrade/core/peers/stream-updates';
import { Random } from '@sesamegrade/core/random/random';
import { StreamOrigins } from '@sesamegrade/core/software-versions/stream-origins';
import {
  streamLifetime,
  VersionHistory,
} from '@sesamegrade/core/software-versions/version-history';
import { FIRST_ERA, revision } from '@sesamegrade/core/store/feed-position';
import type { Revision } from '@sesamegrade/core/store/feed-position';
import { BackgroundTasks } from '@sesamegrade/core/tasks/background-tasks';
import { ManualTimerService } from '@sesamegrade/core/time/manual-timer-service';
import {
  endpointId,
  requestId,
  routerId,
  serviceId,
  softwareVersion,
  zoneId,
} from '@sesamegrade/core/types/ids';
import type { RouterId, SoftwareVersion } from '@sesamegrade/core/types/ids';
import { fail, succeed } from '@sesamegrade/core/types/result';
import { milliseconds, seconds } from '@sesamegrade/core/types/units';
import type { Milliseconds } from '@sesamegrade/core/types/units';
import type { DecisionLog } from '../logs/decision-log';
import type { FeedRow } from '../store/feed-source';
import { RowTable } from '../store/row-table';
import { StoredVersions } from './stored-versions';
import { StreamLedger } from './stream-ledger';
import { StreamResumption } from './stream-resumption';

const service = serviceId('drafting');
const STEP: Milliseconds = milliseconds(25);
const TICK_PERIOD: Milliseconds = milliseconds(250);
const ROUTERS = 4;
const STREAM_LIFE_MS = 8000;
/** Time within which a resumed stream goes on or is refused. */
const MAX_ANSWER_MS = 900;
/** Time within which peers pass on changed rows. */
const MAX_LAG_MS = 100;
/** Age from which the origin of a stream is stored if the store answers. */
const SETTLED_MS = 500;
const EVENTS = [
  'release',
  'newer',
  'older-leave',
  'kill',
  'kill',
  'kill-all',
  'cut',
  'store',
  'calm',
  'calm',
] as const;
const unreachable = { kind: 'unreachable', detail: 'test' } as const;

class MemoryTable extends RowTable {
  readonly #rows = new Map<string, FeedRow>();
  readonly #clock: () => number;
  #revision = 1;
  isAvailable = true;
  isHanging = false;

  constructor(clock: () => number) {
    super();
    this.#clock = clock;
  }

  override readAll(): ReturnType<RowTable['readAll']> {
    if (this.isHanging) {
      return new Promise(() => undefined);
    }
    return Promise.resolve(
      this.isAvailable
        ? succeed({
            rows: [...this.#rows.values()],
            position: { era: FIRST_ERA, revision: revision(this.#revision) },
            storeTime: this.#clock(),
          })
        : fail(unreachable),
    );
  }

  override put(key: string, value: Uint8Array): ReturnType<RowTable['put']> {
    if (!this.isAvailable) {
      return Promise.resolve(fail(unreachable));
    }
    this.#revision += 1;
    this.#rows.set(key, { key, value, revision: revision(this.#revision) });
    return Promise.resolve(succeed(FIRST_ERA));
  }

  override replace(
    key: string,
    value: Uint8Array,
    expected: Revision,
  ): ReturnType<RowTable['replace']> {
    const current = this.#rows.get(key)?.revision ?? revision(0);
    return current === expected || !this.isAvailable
      ? this.put(key, value)
      : Promise.resolve(fail({ kind: 'conflict' }));
  }
}

interface Stream {
  readonly id: string;
  readonly version: SoftwareVersion;
  readonly beganAt: number;
}

/** A stream with the index of the router that relays it. */
interface Running extends Stream {
  readonly at: number;
}

interface Router {
  readonly id: RouterId;
  readonly timers: ManualTimerService;
  readonly directory: EndpointDirectory;
  readonly resumption: StreamResumption;
  readonly updates: StreamUpdates;
  /** Time by which this router learns late of changed rows. */
  readonly lag: number;
  isCutOff: boolean;
}

/** Routers that share two tables and exchange messages; time passes in steps. */
class Fleet {
  readonly routers: Router[] = [];
  readonly #random: Random;
  readonly #versionRows = new MemoryTable(() => this.now);
  readonly #streamRows = new MemoryTable(() => this.now);
  /** The endpoints by the time since which the store lists them. */
  readonly #lists: {
    readonly since: number;
    readonly entries: EndpointEntry[];
  }[] = [];
  #entries: EndpointEntry[] = [];
  #endpointCount = 0;
  #isFirstStart = true;
  now = 0;

  constructor(random: Random) {
    this.#random = random;
  }

  set isStoreAvailable(isAvailable: boolean) {
    this.#versionRows.isAvailable = isAvailable;
    this.#streamRows.isAvailable = isAvailable;
  }

  set isStoreHanging(isHanging: boolean) {
    this.#versionRows.isHanging = isHanging;
    this.#streamRows.isHanging = isHanging;
  }

  get versions(): SoftwareVersion[] {
    return this.#entries.flatMap(entry => entry.softwareVersion ?? []);
  }

  addEndpoint(version: string): void {
    this.#endpointCount += 1;
    this.#setEntries([
      ...this.#entries,
      {
        id: endpointId(`e-${this.#endpointCount}`),
        service,
        address: { host: '10.0.0.1', port: this.#endpointCount },
        zone: zoneId('z'),
        slots: 8,
        leaving: false,
        warmUp: milliseconds(0),
        startedAt: this.now,
        softwareVersion: softwareVersion(version),
      },
    ]);
  }

  removeEndpoints(version: string, count: number): void {
    const leaving = this.#entries
      .filter(entry => entry.softwareVersion === version)
      .slice(0, count);
    this.#setEntries(this.#entries.filter(entry => !leaving.includes(entry)));
  }

  async start(count: number): Promise<void> {
    for (let index = this.routers.length; index < count; index += 1) {
      await this.#startRouter(index);
    }
    this.#isFirstStart = false;
  }

  /** Ends routers with all that they know; they start again at once. */
  async restart(indexes: readonly number[]): Promise<void> {
    for (const index of indexes) {
      this.routers[index]?.timers.stop();
    }
    for (const index of indexes) {
      await this.#startRouter(index);
    }
  }

  async pass(length: number): Promise<void> {
    for (let passed = 0; passed < length; passed += STEP) {
      this.now += STEP;
      for (const router of this.routers) {
        this.#showList(router);
        router.timers.advance(STEP);
      }
      await settle();
    }
  }

  /** Begins a stream at an endpoint that the router knows. */
  begin(router: Router, id: string): Stream | undefined {
    const known = router.directory
      .usable(service)
      .filter(({ id: endpoint }) =>
        this.#entries.some(entry => entry.id === endpoint),
      );
    if (known.length === 0) {
      return undefined;
    }
    const version = this.#random.pick(known).softwareVersion;
    if (version === undefined) {
      return undefined;
    }
    router.resumption.recordBegin(requestId(id), service, version);
    return { id, version, beganAt: this.now };
  }

  /** The version at which a router lets a stream go on; undefined if it refuses. */
  async resume(
    router: Router,
    id: string,
  ): Promise<SoftwareVersion | undefined> {
    let result: { version: SoftwareVersion | undefined } | undefined;
    router.resumption
      .originOf({ only: service, areSeveral: false }, requestId(id))
      .then(origin => {
        result = { version: origin?.version };
      })
      .catch((error: unknown) => {
        throw error;
      });
    await settle();
    while (!result) {
      await this.pass(STEP);
    }
    return result.version;
  }

  #setEntries(entries: EndpointEntry[]): void {
    this.#entries = entries;
    this.#lists.push({ since: this.now, entries });
  }

  #showList(router: Router, lag = router.lag): void {
    if (router.isCutOff) {
      return;
    }
    const list = this.#lists.findLast(({ since }) => since <= this.now - lag);
    router.directory.replace(list?.entries ?? [], router.timers.now());
    router.directory.tick(router.timers.now());
  }

  async #startRouter(index: number): Promise<void> {
    const id = routerId(`r-${index}`);
    const timers = new ManualTimerService();
    const directory = new EndpointDirectory();
    const versionHistory = new VersionHistory(() =>
      streamLifetime([seconds(15)]),
    );
    const streamOrigins = new StreamOrigins(versionHistory, {
      isShared: () => false,
    });
    const updates = new StreamUpdates({ streamOrigins, versionHistory });
    const backgroundTasks = new BackgroundTasks(({ error }) => {
      throw error;
    });
    const log = { write: () => undefined } as unknown as DecisionLog;
    const fleetReplica = { isReader: index === 0 };
    const reach = (peer: RouterId) =>
      this.routers.find(
        ({ id: other, isCutOff }) => other === peer && !isCutOff,
      );
    const isCutOff = () => this.routers[index]?.isCutOff ?? false;
    const storedVersions = new StoredVersions({
      settings: { router: { first_start: this.#isFirstStart } },
      routerRows: this.#versionRows,
      versionHistory,
      endpointDirectory: directory,
      fleetReplica,
      timers,
      backgroundTasks,
      log,
    });
    const streamLedger = new StreamLedger({
      streamRows: this.#streamRows,
      streamOrigins,
      streamUpdates: updates,
      fleetReplica,
      peerMesh: {
        relays: [routerId('r-0')],
        sendTo: (peer, topics) => {
          const target = isCutOff() ? undefined : reach(peer);
          target?.updates.receive(topics, target.timers.now());
          return target !== undefined;
        },
      },
      timers,
      backgroundTasks,
      log,
    });
    const router: Router = {
      id,
      timers,
      directory,
      updates,
      lag: this.#random.pick([0, MAX_LAG_MS / 2, MAX_LAG_MS]),
      isCutOff: false,
      resumption: new StreamResumption({
        endpointConfirmation: {
          confirm: () => {
            if (this.#versionRows.isHanging) {
              return new Promise(() => undefined);
            }
            const isConfirmed =
              this.#versionRows.isAvailable && !router.isCutOff;
            if (isConfirmed) {
              this.#showList(router, 0);
            }
            return Promise.resolve(isConfirmed);
          },
        },
        routerDirectory: { fleetSize: ROUTERS },
        peerMesh: {
          get connectedCount() {
            return router.isCutOff ? 0 : 1;
          },
        },
        endpointDirectory: directory,
        versionHistory,
        streamOrigins,
        streamLedger,
        timers,
      }),
    };
    this.routers[index] = router;
    if (!this.#versionRows.isHanging) {
      const rows = await this.#versionRows.readAll();
      if (rows.ok) {
        storedVersions.onRows(rows.value);
      }
    }
    this.#showList(router);
    timers.every(TICK_PERIOD, now => {
      storedVersions.tick(now);
      streamLedger.tick(now);
    });
  }
}

function settle(): Promise<void> {
  return new Promise(resolve => {
    setImmediate(resolve);
  });
}

describe('StreamResumption', () => {
  let fleet: Fleet;

  async function open(version = 'v1', endpoints = 4): Promise<void> {
    fleet = new Fleet(new Random(1));
    for (let count = 0; count < endpoints; count += 1) {
      fleet.addEndpoint(version);
    }
    await fleet.start(ROUTERS);
    await fleet.pass(4000);
  }

  const all = Array.from({ length: ROUTERS }, (_value, index) => index);
  const router = (index: number) => fleet.routers[index]!;

  it('lets every stream go on after all routers were killed while one version served', async () => {
    await open();
    fleet.begin(router(1), 'a');
    await fleet.restart(all);
    expect(await fleet.resume(router(2), 'a')).to.equal('v1');
  });

  // Guards against streams joined from two versions as all routers lost their memory.
  it('knows after the loss of all memory at which of two versions a stream began', async () => {
    await open();
    const before = fleet.begin(router(1), 'before')!;
    await fleet.pass(1000);
    for (let count = 0; count < 4; count += 1) {
      fleet.addEndpoint('v2');
    }
    await fleet.pass(200);
    fleet.removeEndpoints('v1', 4);
    await fleet.pass(4000);
    const after = fleet.begin(router(2), 'after')!;
    expect([before.version, after.version]).to.deep.equal(['v1', 'v2']);
    await fleet.pass(SETTLED_MS);
    await fleet.restart(all);
    expect(await fleet.resume(router(3), 'before')).to.equal('v1');
    expect(await fleet.resume(router(0), 'after')).to.equal('v2');
    expect(await fleet.resume(router(1), 'never')).to.equal(undefined);
  });

  it('refuses at a router that knows neither the store nor a peer, and has no evidence', async () => {
    await open();
    router(3).isCutOff = true;
    await fleet.pass(3000);
    expect(await fleet.resume(router(3), 'a')).to.equal(undefined);
  });

  // Guards against callers that wait for a store which has fallen silent.
  it('answers soon while the store hangs', async () => {
    await open();
    fleet.isStoreHanging = true;
    const begin = fleet.now;
    expect(await fleet.resume(router(1), 'a')).to.equal('v1');
    await fleet.restart(all);
    expect(await fleet.resume(router(2), 'a')).to.equal(undefined);
    expect(fleet.now - begin).to.be.at.most(2 * MAX_ANSWER_MS);
  });

  it('refuses after the loss of all memory while the store does not answer', async () => {
    await open();
    fleet.begin(router(1), 'a');
    fleet.isStoreAvailable = false;
    await fleet.restart(all);
    expect(await fleet.resume(router(1), 'a')).to.equal(undefined);
  });

  it('never joins versions, and continues at least half of the streams, in any order of releases, kills and take-ups', async () => {
    let resumedAfterAll = 0;
    for (let seed = 1; seed <= 25; seed += 1) {
      const { taken, resumed, afterAll } = await play(new Random(seed), seed);
      expect(resumed, `seed ${seed}: of ${taken}`).to.be.at.least(taken / 2);
      resumedAfterAll += afterAll;
    }
    expect(resumedAfterAll).to.be.greaterThan(0);
  });

  /** Plays random events; clients resume at once what their router cut off. */
  async function play(random: Random, seed: number) {
    fleet = new Fleet(random);
    let version = 1;
    for (let count = 0; count < 4; count += 1) {
      fleet.addEndpoint(`v${version}`);
    }
    await fleet.start(ROUTERS);
    await fleet.pass(4000);
    let isCalm = true;
    let running: Running[] = [];
    const result = { taken: 0, resumed: 0, afterAll: 0 };
    const history: string[] = [];
    const resumeAll = async (stopped: readonly number[]) => {
      const cut = running.filter(({ at }) => stopped.includes(at));
      running = running.filter(stream => !cut.includes(stream));
      for (const stream of cut) {
        const at = random.integer(0, ROUTERS - 1);
        const isSettled = fleet.now - stream.beganAt > SETTLED_MS;
        const found = await fleet.resume(router(at), stream.id);
        expect(
          found ?? stream.version,
          `seed ${seed}, ${stream.id}, ${history.join(' ')}`,
        ).to.equal(stream.version);
        if (found !== undefined) {
          router(at).resumption.recordBegin(
            requestId(stream.id),
            service,
            found,
          );
          running.push({ ...stream, at });
        }
        if (stopped.length === ROUTERS) {
          result.afterAll += found === undefined ? 0 : 1;
        } else if (isCalm && isSettled) {
          result.taken += 1;
          result.resumed += found === undefined ? 0 : 1;
        }
      }
    };
    for (let step = 0; step < 80; step += 1) {
      fleet.routers.forEach((each, at) => {
        const stream = fleet.begin(each, `${seed}-${step}-${at}`);
        if (stream) {
          running.push({ ...stream, at });
        }
      });
      const event = random.pick(EVENTS);
      history.push(event);
      switch (event) {
        case 'release':
          version += 1;
          for (let count = 0; count < 4; count += 1) {
            fleet.addEndpoint(`v${version}`);
          }
          fleet.removeEndpoints(`v${version - 1}`, 4);
          break;
        case 'newer':
          fleet.addEndpoint(`v${version + 1}`);
          break;
        case 'older-leave':
          if (fleet.versions.length > 2) {
            fleet.removeEndpoints(`v${version}`, 1);
          }
          break;
        case 'kill': {
          const stopped = [random.integer(0, ROUTERS - 1)];
          await fleet.restart(stopped);
          await resumeAll(stopped);
          break;
        }
        case 'kill-all':
          await fleet.restart(all);
          await resumeAll(all);
          break;
        case 'cut':
          isCalm = false;
          router(random.integer(1, ROUTERS - 1)).isCutOff = true;
          break;
        case 'store':
          isCalm = false;
          // Peers have passed on the last rows.
          await fleet.pass(MAX_LAG_MS);
          fleet.isStoreAvailable = false;
          break;
        case 'calm':
          fleet.isStoreAvailable = true;
          fleet.routers.forEach(each => {
            each.isCutOff = false;
          });
          await fleet.pass(3000);
          isCalm = true;
      }
      await fleet.pass(random.pick([50, 300, 1000]));
      running = running.filter(
        ({ beganAt }) => fleet.now - beganAt < STREAM_LIFE_MS,
      );
    }
    return result;
  }
});
