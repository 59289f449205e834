import { expect } from 'chai';

import { EndpointDirectory } from '@sesamegrade/core/endpoints/endpoint-directory';
import { EvacuatedZones } from '@sesamegrade/core/endpoints/evacuated-zones';
import type { EndpointEntry } from '@sesamegrade/core/endpoints/endpoint-entry';
import { EndpointReplica } from '@sesamegrade/core/endpoints/endpoint-replica';
import type { TopicEntries } from '@sesamegrade/core/gossip/gossip-scheduler';
import { FeedUpdates } from '@sesamegrade/core/peers/feed-updates';
import { Random } from '@sesamegrade/core/random/random';
import { RouteTable } from '@sesamegrade/core/routes/route-table';
import { FeedCoverage } from '@sesamegrade/core/store/feed-coverage';
import {
  FIRST_ERA,
  revision,
  storeEra,
} from '@sesamegrade/core/store/feed-position';
import type { Revision, StoreEra } from '@sesamegrade/core/store/feed-position';
import { StoreClock } from '@sesamegrade/core/store/store-clock';
import { BackgroundTasks } from '@sesamegrade/core/tasks/background-tasks';
import { ManualTimerService } from '@sesamegrade/core/time/manual-timer-service';
import {
  configurationVersion,
  endpointId,
  routerId,
  serviceId,
  softwareVersion,
  zoneId,
} from '@sesamegrade/core/types/ids';
import type { ZoneId } from '@sesamegrade/core/types/ids';
import { fail, succeed } from '@sesamegrade/core/types/result';
import { milliseconds, seconds } from '@sesamegrade/core/types/units';
import type { Milliseconds } from '@sesamegrade/core/types/units';
import type { GatewaySettings } from '@sesamegrade/settings/gateway-schema';
import type { DecisionLog } from '../logs/decision-log';
import { DeploymentCodec } from './deployment-codec';
import { FeedSource } from './feed-source';
import type { FeedResult, FeedRow } from './feed-source';
import { FleetReadiness } from './fleet-readiness';
import { FleetReplica } from './fleet-replica';

const BOUND = seconds(2);
const STEP: Milliseconds = milliseconds(25);
const TICK_PERIOD: Milliseconds = milliseconds(250);
/** Longest time for which a response of the store is under way. */
const MAX_DELAY_MS = 600;
/** Time after which a restored configuration is in force, and some for the reads before it. */
const SETTLE_MS = 16_000;
const ZONES = ['z-1', 'z-2'];

type Table = 'configuration' | 'endpoints';
type History = readonly (FeedRow & { readonly table: Table })[];

const encode = (document: unknown) =>
  new TextEncoder().encode(JSON.stringify(document));

/** A linearizable store of two tables; responses arrive late. */
class Store {
  history: History = [];
  era: StoreEra = FIRST_ERA;
  isAvailable = true;
  readonly #earlier = new Map<number, History>();
  #compactedUpTo = 0;

  get revision(): Revision {
    return revision(this.history.length);
  }

  write(table: Table, key: string, document: unknown): void {
    const value = document === undefined ? undefined : encode(document);
    const next = revision(this.history.length + 1);
    this.history = [...this.history, { table, key, value, revision: next }];
  }

  restore(history: History): void {
    this.#earlier.set(this.era, this.history);
    this.history = history;
    this.era = storeEra(this.era + 1);
    this.#compactedUpTo = history.length;
  }

  compact(): void {
    this.#compactedUpTo = this.history.length;
  }

  rows(table: Table, history = this.history): FeedRow[] {
    const rows = new Map<string, FeedRow>();
    for (const row of history.filter(each => each.table === table)) {
      rows.set(row.key, row);
    }
    return [...rows.values()].filter(({ value }) => value);
  }

  /** The evacuated zones as of a position of this era or an earlier one. */
  zonesAt(era: number, version: number): string[] {
    const history = this.#earlier.get(era) ?? this.history;
    return this.rows('configuration', history.slice(0, version))
      .filter(({ key }) => key.startsWith('evacuate/'))
      .map(({ key }) => key.slice('evacuate/'.length))
      .sort();
  }

  changes(table: Table, after: Revision): FeedRow[] | undefined {
    const isLost = after < this.#compactedUpTo || after > this.history.length;
    return isLost
      ? undefined
      : this.history.filter(row => row.table === table && row.revision > after);
  }
}

class LateSource extends FeedSource {
  override readonly name: string;
  readonly #store: Store;
  readonly #table: Table;
  readonly #timers: ManualTimerService;
  readonly #delay: () => number;

  constructor(
    store: Store,
    table: Table,
    timers: ManualTimerService,
    delay: () => number,
  ) {
    super();
    this.name = table;
    this.#store = store;
    this.#table = table;
    this.#timers = timers;
    this.#delay = delay;
  }

  override async readAll(): Promise<FeedResult> {
    const result = this.#page(this.#store.rows(this.#table));
    await this.#pause(this.#delay());
    return result;
  }

  override async readChanges(
    after: Revision,
    maxWait: Milliseconds,
  ): Promise<FeedResult> {
    const { era } = this.#store;
    let waited = 0;
    while (
      waited < maxWait &&
      this.#store.era === era &&
      this.#store.changes(this.#table, after)?.length === 0
    ) {
      await this.#pause(STEP);
      waited += STEP;
    }
    const changes = this.#store.changes(this.#table, after);
    const result: FeedResult = changes
      ? this.#page(changes)
      : fail({ kind: 'history-lost' });
    await this.#pause(this.#delay());
    return result;
  }

  #page(rows: readonly FeedRow[]): FeedResult {
    const { era, revision: newest, isAvailable } = this.#store;
    return isAvailable
      ? succeed({
          rows,
          position: { era, revision: newest },
          storeTime: this.#timers.now(),
        })
      : fail({ kind: 'unreachable', detail: 'test' });
  }

  #pause(length: number): Promise<void> {
    return new Promise(resolve => {
      this.#timers.after(milliseconds(length), () => {
        resolve();
      });
    });
  }
}

class TestCodec extends DeploymentCodec {
  override readonly configurationKey = 'config';

  override evacuatedZone(key: string): ZoneId | undefined {
    return key.startsWith('evacuate/')
      ? zoneId(key.slice('evacuate/'.length))
      : undefined;
  }

  override decodeConfiguration(
    bytes: Uint8Array,
  ): ReturnType<DeploymentCodec['decodeConfiguration']> {
    const { version } = JSON.parse(new TextDecoder().decode(bytes)) as {
      version: number;
    };
    return succeed({
      version: configurationVersion(version),
      routes: [],
      services: new Map(),
      limits: {} as never,
      teams: [],
    });
  }

  override decodeEndpoint(
    id: string,
    bytes: Uint8Array,
  ): ReturnType<DeploymentCodec['decodeEndpoint']> {
    const { slots } = JSON.parse(new TextDecoder().decode(bytes)) as {
      slots: number;
    };
    const entry: EndpointEntry = {
      id: endpointId(id),
      service: serviceId('s'),
      address: { host: '10.0.0.1', port: 1 },
      zone: zoneId('z'),
      slots,
      leaving: false,
      warmUp: milliseconds(0),
      startedAt: undefined,
      softwareVersion: softwareVersion('v1'),
    };
    return succeed(entry);
  }
}

interface RouterOptions {
  readonly name: string;
  readonly isRelay: boolean;
  readonly store: Store;
  readonly timers: ManualTimerService;
  readonly random: Random;
  readonly delay: () => number;
}

/** What a router holds of the store, with the parts that keep it up to date. */
class Router {
  readonly routes = new RouteTable();
  readonly directory = new EndpointDirectory(BOUND);
  readonly zones = new EvacuatedZones();
  readonly replica: FleetReplica;
  readonly updates: FeedUpdates;
  isFetching = false;
  /** Coverage of the table that holds the evacuated zones. */
  readonly configurationCoverage: FeedCoverage;
  /** Version in force at the last check, and the era of the store that it was read in. */
  last: { readonly version: number; readonly era: number } | undefined;

  constructor({ name, isRelay, store, timers, random, delay }: RouterOptions) {
    const coverage = {
      endpoints: new FeedCoverage({ bound: BOUND, random }),
      configuration: new FeedCoverage({ bound: BOUND, random }),
    };
    this.configurationCoverage = coverage.configuration;
    const endpointReplica = new EndpointReplica(
      this.directory,
      coverage.endpoints,
    );
    const storeClock = new StoreClock();
    this.updates = new FeedUpdates({
      self: routerId(name),
      endpointReplica,
      evacuatedZones: this.zones,
      routes: this.routes,
      coverage,
      storeClock,
    });
    this.updates.isRelay = isRelay;
    this.replica = new FleetReplica({
      configurationFeed: new LateSource(store, 'configuration', timers, delay),
      endpointFeed: new LateSource(store, 'endpoints', timers, delay),
      codec: new TestCodec(),
      routes: this.routes,
      endpointDirectory: this.directory,
      endpointReplica,
      evacuatedZones: this.zones,
      coverage,
      feedUpdates: this.updates,
      fleetReadiness: new FleetReadiness({
        routes: this.routes,
        endpointDirectory: this.directory,
        evacuatedZones: this.zones,
      }),
      storeClock,
      timers,
      random,
      backgroundTasks: new BackgroundTasks(({ error }) => {
        throw error;
      }),
      log: { write: () => undefined } as unknown as DecisionLog,
      settings: {
        bounds: { configuration_ms: BOUND, departure_ms: BOUND },
      } as GatewaySettings,
    });
    this.replica.setReader(isRelay);
    this.replica.start();
  }

  content(): string[] {
    return this.directory
      .all()
      .map(({ id, slots }) => `${id}:${slots}`)
      .sort();
  }
}

/** A relay that reads the store promptly, and a member whose reads are late. */
class World {
  readonly timers = new ManualTimerService();
  readonly store = new Store();
  readonly random: Random;
  relay: Router;
  member: Router;
  isLate = false;
  isLinkDown = false;

  constructor(seed: number) {
    this.random = new Random(seed);
    this.store.write('configuration', 'config', { version: 1 });
    this.store.write('endpoints', 'e-1', { slots: 1 });
    this.relay = this.#open('relay', true);
    this.member = this.#open('member', false);
    this.timers.every(TICK_PERIOD, now => {
      for (const router of [this.relay, this.member]) {
        router.replica.tick(now);
        router.directory.tick(now);
      }
    });
  }

  /** A peer that connects again gets the whole state. */
  reconnect(): void {
    this.isLinkDown = false;
    this.#deliver(this.relay.updates.fullState(this.timers.now()));
  }

  restartMember(): void {
    this.member.replica.stop();
    this.member = this.#open('member', false);
    this.#deliver(this.relay.updates.fullState(this.timers.now()));
  }

  async pass(length: number): Promise<void> {
    for (let passed = 0; passed < length; passed += STEP) {
      this.timers.advance(STEP);
      await turn();
      const changes = this.relay.updates.takeChanges(this.timers.now());
      if (Object.keys(changes).length > 0) {
        this.#deliver(changes);
      }
      this.#checkVersions();
      this.#checkZones();
    }
  }

  #open(name: string, isRelay: boolean): Router {
    const { store, timers, random } = this;
    const router = new Router({
      name,
      isRelay,
      store,
      timers,
      random,
      delay: () =>
        this.isLate && !isRelay ? random.integer(0, MAX_DELAY_MS) : 2,
    });
    return router;
  }

  /** Sends updates to the member, as the peers' connections do, with the version in force. */
  #deliver(topics: TopicEntries): void {
    const { relay, member, timers } = this;
    if (this.isLinkDown) {
      return;
    }
    timers.after(milliseconds(this.random.pick([25, 50, 100])), now => {
      if (member !== this.member) {
        return;
      }
      member.updates.receive(topics, now);
      member.replica.onPeerEra(member.updates.newestEra);
      const { version } = relay.routes;
      const isNewer =
        version !== undefined &&
        (member.routes.version === undefined ||
          (relay.replica.configurationEra >= member.replica.configurationEra &&
            version > member.routes.version));
      if (isNewer && !member.isFetching) {
        this.#fetchSnapshot(member);
      }
    });
  }

  #fetchSnapshot(member: Router): void {
    const { relay, timers } = this;
    member.isFetching = true;
    const { rawConfiguration, configurationEra } = relay.replica;
    timers.after(milliseconds(25), () => {
      member.isFetching = false;
      if (rawConfiguration) {
        member.replica.applyPeerConfiguration(
          rawConfiguration,
          configurationEra,
        );
        member.replica.applyPeerEndpoints(
          relay.directory.all(),
          routerId('relay'),
        );
      }
    });
  }

  /** A router knows the zones as of their position, and no later change is confirmed to it. */
  #checkZones(): void {
    for (const { zones, configurationCoverage } of [this.relay, this.member]) {
      const { list } = zones;
      const { position } = configurationCoverage;
      if (list) {
        const { era, revision: version } = list.position;
        expect([...list.zones].sort()).to.deep.equal(
          this.store.zonesAt(era, version),
        );
      }
      if (position) {
        expect(zones.isKnownAsOf(position)).to.equal(true);
      }
    }
  }

  /** A router steps back only to what a restored store has. */
  #checkVersions(): void {
    for (const router of [this.relay, this.member]) {
      const { version } = router.routes;
      const era = router.replica.configurationEra;
      const { last } = router;
      if (version === undefined) {
        continue;
      }
      if (last && version < last.version) {
        expect(
          era,
          `back from ${last.version} to ${version}`,
        ).to.be.greaterThan(last.era);
      }
      router.last = { version, era };
    }
  }
}

function turn(): Promise<void> {
  return new Promise(resolve => {
    setImmediate(resolve);
  });
}

const EVENTS = [
  'configure',
  'configure',
  'evacuate',
  'return',
  'endpoint',
  'endpoint',
  'remove',
  'restart',
  'late',
  'prompt',
  'link-down',
  'link-up',
  'outage',
  'recovery',
  'compact',
  'copy',
  'restore',
] as const;

describe('FleetReplica', () => {
  // Guards against a late response that passes for that of a restored store.
  it('ignores an older version that arrives after a peer passed on a newer one', async () => {
    const world = new World(1);
    await world.pass(1000);
    world.isLate = true;
    world.restartMember();
    world.store.write('configuration', 'config', { version: 7 });
    await world.pass(15_000);
    expect(world.member.routes.version).to.equal(7);
  });

  // Guards against a row that is lost between a late list and a peer's confirmation.
  it('keeps a row that a peer passed on before a late, older list', async () => {
    for (let seed = 1; seed <= 40; seed += 1) {
      const world = new World(seed);
      await world.pass(1000);
      world.isLate = true;
      world.restartMember();
      await world.pass(STEP);
      world.store.write('endpoints', 'e-1', { slots: 9 });
      await world.pass(3000);
      expect(world.member.content(), `seed ${seed}`).to.deep.equal(['e-1:9']);
    }
  });

  it('ends at the newest rows and never steps back, in any order of reads, news, restarts and restores', async () => {
    for (let seed = 1; seed <= 60; seed += 1) {
      const world = new World(seed);
      const { random, store } = world;
      let version = 1;
      let copy = store.history;
      const series: string[] = [];
      await world.pass(500);
      for (let step = 0; step < 36; step += 1) {
        const event = random.pick(EVENTS);
        series.push(event);
        switch (event) {
          case 'configure':
            version += 1;
            store.write('configuration', 'config', { version });
            break;
          case 'evacuate':
            store.write('configuration', `evacuate/${random.pick(ZONES)}`, {});
            break;
          case 'return':
            store.write(
              'configuration',
              `evacuate/${random.pick(ZONES)}`,
              undefined,
            );
            break;
          case 'endpoint':
            store.write('endpoints', `e-${random.integer(1, 3)}`, {
              slots: random.integer(1, 99),
            });
            break;
          case 'remove':
            store.write('endpoints', `e-${random.integer(1, 3)}`, undefined);
            break;
          case 'restart':
            world.restartMember();
            break;
          case 'late':
            world.isLate = true;
            break;
          case 'prompt':
            world.isLate = false;
            break;
          case 'link-down':
            world.isLinkDown = true;
            break;
          case 'link-up':
            world.reconnect();
            break;
          case 'outage':
            store.isAvailable = false;
            break;
          case 'recovery':
            store.isAvailable = true;
            break;
          case 'compact':
            store.compact();
            break;
          case 'copy':
            copy = store.history;
            break;
          case 'restore':
            store.restore(copy);
        }
        await world.pass(random.pick([25, 200, 700, 2000]));
      }
      world.reconnect();
      store.isAvailable = true;
      await world.pass(SETTLE_MS);
      const row = store
        .rows('configuration')
        .find(({ key }) => key === 'config');
      const newest = JSON.parse(new TextDecoder().decode(row?.value)) as {
        version: number;
      };
      const endpoints = store
        .rows('endpoints')
        .map(({ key, value }) => {
          const { slots } = JSON.parse(new TextDecoder().decode(value)) as {
            slots: number;
          };
          return `${key}:${slots}`;
        })
        .sort();
      const detail = `seed ${seed}: ${series.join(' ')}`;
      for (const router of [world.relay, world.member]) {
        expect(router.routes.version, detail).to.equal(newest.version);
        expect(router.content(), detail).to.deep.equal(endpoints);
        expect(
          [...(router.zones.list?.zones ?? [])].sort(),
          detail,
        ).to.deep.equal(store.zonesAt(store.era, store.revision));
      }
    }
  });
});
