/** Maintains this router's copy of the store's configuration and list of endpoints. */
import type {
  EvacuatedZoneList,
  EvacuatedZones,
} from '@sesamegrade/core/endpoints/evacuated-zones';
import type { EndpointDirectory } from '@sesamegrade/core/endpoints/endpoint-directory';
import type { EndpointEntry } from '@sesamegrade/core/endpoints/endpoint-entry';
import type {
  DirectoryListener,
  EndpointReplica,
  EndpointRow,
} from '@sesamegrade/core/endpoints/endpoint-replica';
import type {
  FeedTable,
  FeedUpdates,
} from '@sesamegrade/core/peers/feed-updates';
import type { Random } from '@sesamegrade/core/random/random';
import type { FleetConfiguration } from '@sesamegrade/core/routes/fleet-configuration';
import { RestoredConfiguration } from '@sesamegrade/core/routes/restored-configuration';
import type { RouteTable } from '@sesamegrade/core/routes/route-table';
import type { FeedCoverage } from '@sesamegrade/core/store/feed-coverage';
import { FIRST_ERA } from '@sesamegrade/core/store/feed-position';
import type { StoreClock } from '@sesamegrade/core/store/store-clock';
import type { StoreEra } from '@sesamegrade/core/store/feed-position';
import type { BackgroundTasks } from '@sesamegrade/core/tasks/background-tasks';
import type { TimerService } from '@sesamegrade/core/time/timer-service';
import { endpointId } from '@sesamegrade/core/types/ids';
import type { RouterId } from '@sesamegrade/core/types/ids';
import { elapsed, seconds } from '@sesamegrade/core/types/units';
import type { Instant, Milliseconds } from '@sesamegrade/core/types/units';
import type { GatewaySettings } from '@sesamegrade/settings/gateway-schema';
import type { DecisionLog } from '../logs/decision-log';
import type { DeploymentCodec } from './deployment-codec';
import { FeedReader } from './feed-reader';
import type { FleetReadiness } from './fleet-readiness';
import type { FeedPage, FeedRow, FeedSource } from './feed-source';

export interface FleetReplicaOptions {
  readonly configurationFeed: FeedSource;
  readonly endpointFeed: FeedSource;
  readonly codec: DeploymentCodec;
  readonly routes: RouteTable;
  readonly endpointDirectory: EndpointDirectory;
  readonly endpointReplica: EndpointReplica;
  readonly evacuatedZones: EvacuatedZones;
  readonly coverage: Readonly<Record<FeedTable, FeedCoverage>>;
  readonly feedUpdates: FeedUpdates;
  readonly fleetReadiness: FleetReadiness;
  readonly storeClock: StoreClock;
  readonly timers: TimerService;
  readonly random: Random;
  readonly backgroundTasks: BackgroundTasks;
  readonly log: DecisionLog;
  readonly settings: GatewaySettings;
}

/** Minimum time between two reads of the endpoints whose entries lack fields. */
const COMPLETION_PERIOD: Milliseconds = seconds(1);

/** Source of a configuration. */
export type ConfigurationOrigin = 'store' | 'peer';

/** How a configuration came into force. */
interface ConfigurationChange {
  /** The version in force before. */
  readonly before: number | undefined;
  readonly origin: ConfigurationOrigin;
  /** Era of the store that it was read in. */
  readonly era: StoreEra;
}

/** A configuration with the store's era that it was read in. */
type ConfigurationListener = (
  configuration: FleetConfiguration,
  era: StoreEra,
) => void;

export class FleetReplica {
  readonly #options: FleetReplicaOptions;
  readonly #configurationReader: FeedReader;
  readonly #endpointReader: FeedReader;
  readonly #restoredConfiguration = new RestoredConfiguration();
  #directoryListener: DirectoryListener = () => undefined;
  #configurationListener: ConfigurationListener = () => undefined;
  #eraListener: () => void = () => undefined;
  #readListener: () => void = () => undefined;
  #isReader = false;
  /** Era of the store that this router last read a configuration from. */
  #era: StoreEra = FIRST_ERA;
  /** Era in which the configuration in force was read. */
  #appliedEra: StoreEra = FIRST_ERA;
  /** When the endpoints were last read as entries lacked fields. */
  #completedAt: Instant | undefined;
  /** The configuration in force as the operator wrote it. */
  #raw: Uint8Array | undefined;
  /** When the store made the response with the configuration that was read last. */
  #madeAt: Instant;

  constructor(options: FleetReplicaOptions) {
    this.#options = options;
    const { timers, random, backgroundTasks, log, coverage, settings } =
      options;
    const isReader = () => this.#isReader;
    const clock = options.storeClock;
    this.#madeAt = timers.now();
    const shared = { timers, random, clock, backgroundTasks, log, isReader };
    this.#configurationReader = new FeedReader({
      ...shared,
      source: options.configurationFeed,
      coverage: coverage.configuration,
      bound: settings.bounds.configuration_ms,
      listener: {
        onList: (page, madeAt) => {
          this.#applyEvacuatedZones(page);
          this.#onConfigurationPage(page, madeAt);
        },
        onChanges: (page, madeAt) => {
          this.applyConfigurationChanges(page, madeAt);
        },
        onRecovered: () => {
          this.#endpointReader.readNow();
        },
      },
    });
    this.#endpointReader = new FeedReader({
      ...shared,
      source: options.endpointFeed,
      coverage: coverage.endpoints,
      bound: settings.bounds.departure_ms,
      listener: {
        onList: (page, madeAt) => {
          this.#onEndpointList(page, madeAt);
        },
        onChanges: (page, madeAt) => {
          this.applyEndpointChanges(page, madeAt);
        },
        onRecovered: () => {
          options.endpointDirectory.onStoreAvailable(timers.now());
          this.#configurationReader.readNow();
        },
      },
    });
    options.endpointReplica.setListener(events => {
      this.#directoryListener(events);
    });
  }

  /** Era of the store in which the configuration in force was read, by this router or a peer. */
  get configurationEra(): StoreEra {
    return this.#appliedEra;
  }

  /** Era of the store that this router last read a configuration from. */
  get era(): StoreEra {
    return this.#era;
  }

  /** Whether the last call of both feeds succeeded. */
  get isHealthy(): boolean {
    return (
      this.#configurationReader.isHealthy && this.#endpointReader.isHealthy
    );
  }

  /** The configuration in force as the operator wrote it; undefined before the first one. */
  get rawConfiguration(): Uint8Array | undefined {
    return this.#raw;
  }

  onDirectoryChange(listener: DirectoryListener): void {
    this.#directoryListener = listener;
  }

  onConfiguration(listener: ConfigurationListener): void {
    this.#configurationListener = listener;
  }

  /** Registers a listener that is called after each read of the store. */
  onRead(listener: () => void): void {
    this.#readListener = listener;
  }

  /** Registers a listener that is called when the store was restored from an older copy. */
  onRestored(listener: () => void): void {
    this.#eraListener = listener;
  }

  start(): void {
    this.#configurationReader.start();
    this.#endpointReader.start();
  }

  stop(): void {
    this.#configurationReader.stop();
    this.#endpointReader.stop();
  }

  /** Whether this router reads the store for the fleet. */
  get isReader(): boolean {
    return this.#isReader;
  }

  /** Begins or ends to watch the store for the fleet. */
  setReader(isReader: boolean): void {
    if (this.#isReader === isReader) {
      return;
    }
    this.#isReader = isReader;
    this.#configurationReader.onDutyChanged();
    this.#endpointReader.onDutyChanged();
  }

  /** Reads the configuration from the store, as a peer names a newer one that it cannot give. */
  readConfigurationNow(): void {
    this.#configurationReader.readNow();
  }

  /** Reads both tables again if a peer has seen a newer era of the store. */
  onPeerEra(era: StoreEra): void {
    this.#configurationReader.onNewerEra(era);
    this.#endpointReader.onNewerEra(era);
  }

  tick(now: Instant): void {
    this.#completeEntries(now);
    const due = this.#restoredConfiguration.takeDue(now);
    if (due) {
      this.#replaceConfiguration(due.configuration, due.raw);
    }
  }

  /** Reads the endpoints again if a peer of an older build passed on entries that lack fields. */
  #completeEntries(now: Instant): void {
    const { endpointReplica, coverage } = this.#options;
    const isDue =
      this.#completedAt === undefined ||
      elapsed(this.#completedAt, now) >= COMPLETION_PERIOD;
    if (endpointReplica.isPartial && isDue) {
      this.#completedAt = now;
      coverage.endpoints.reset();
      this.#endpointReader.readNow();
    }
  }

  /** Puts a peer's configuration in force if it can be decoded and is newer than the current one. */
  applyPeerConfiguration(raw: Uint8Array, era: StoreEra): void {
    const configuration = this.#decodeConfiguration(raw, 'peer');
    if (!configuration) {
      return;
    }
    const before = this.#options.routes.version;
    if (before !== undefined && era < this.#appliedEra) {
      return;
    }
    if (this.#options.routes.apply(configuration)) {
      if (era >= this.#era) {
        this.#restoredConfiguration.clear();
      }
      this.#onApplied(configuration, raw, { before, origin: 'peer', era });
    }
  }

  /** Uses a peer's list of endpoints while none has been read from the store. */
  applyPeerEndpoints(entries: readonly EndpointEntry[], peer: RouterId): void {
    const { endpointDirectory, timers, log } = this.#options;
    if (endpointDirectory.isLoaded) {
      return;
    }
    log.write('endpoints-from-peer', { peer, endpoints: entries.length });
    this.#directoryListener(endpointDirectory.replace(entries, timers.now()));
    this.#options.fleetReadiness.notifyIfReady();
  }

  /** Applies the evacuated zones that a peer knows. */
  applyPeerZones({ zones, position }: EvacuatedZoneList): void {
    const { evacuatedZones, feedUpdates, timers } = this.#options;
    const isFirst = !evacuatedZones.isKnown;
    const source = { origin: 'peer', now: timers.now() } as const;
    if (evacuatedZones.applyList(zones, position, source) || isFirst) {
      feedUpdates.onZonesLearned();
    }
  }

  /** Applies endpoints that were read from the store after the position that is known. */
  applyEndpointChanges({ rows, position }: FeedPage, madeAt: Instant): void {
    const { endpointReplica, feedUpdates, timers } = this.#options;
    for (const feedRow of rows) {
      const row = this.#endpointRow(feedRow);
      if (endpointReplica.applyChange(row, timers.now())) {
        feedUpdates.onRowRead(row);
      }
    }
    feedUpdates.onTableRead('endpoints', position, madeAt);
    this.#readListener();
  }

  /** Applies the operator's rows that were read from the store after the position that is known. */
  applyConfigurationChanges(page: FeedPage, madeAt: Instant): void {
    this.#applyZoneChanges(page);
    this.#onConfigurationPage(page, madeAt);
  }

  /** A zone whose row is missing in the whole table is not evacuated. */
  #applyEvacuatedZones({ rows, position }: FeedPage): void {
    const { codec, evacuatedZones, feedUpdates, timers } = this.#options;
    const zones = rows
      .filter(({ value }) => value !== undefined)
      .map(({ key }) => codec.evacuatedZone(key))
      .filter(zone => zone !== undefined);
    const source = { origin: 'store', now: timers.now() } as const;
    if (evacuatedZones.applyList(zones, position, source)) {
      feedUpdates.onZonesLearned();
    }
  }

  #applyZoneChanges({ rows, position }: FeedPage): void {
    const { codec, evacuatedZones, feedUpdates, timers } = this.#options;
    const source = { origin: 'store', now: timers.now() } as const;
    // A change is dropped unless it follows the ones before, so that their order counts.
    const ordered = rows.toSorted(
      (left, right) => left.revision - right.revision,
    );
    for (const { key, value, revision } of ordered) {
      const zone = codec.evacuatedZone(key);
      const at = { era: position.era, revision };
      const hasChanged =
        zone !== undefined &&
        evacuatedZones.applyChange(zone, value !== undefined, at, source);
      if (hasChanged) {
        feedUpdates.onZonesLearned();
      }
    }
    evacuatedZones.recordRead(position);
  }

  /** Puts the configuration in force that was read from the store, if it is a newer one. */
  #onConfigurationPage({ rows, position }: FeedPage, madeAt: Instant): void {
    const { codec, feedUpdates } = this.#options;
    const isRestored = position.era > this.#era && this.#raw !== undefined;
    this.#era = position.era;
    this.#madeAt = madeAt;
    for (const { key, value } of rows) {
      if (key === codec.configurationKey && value) {
        this.#onStoredConfiguration(value);
      }
    }
    feedUpdates.onTableRead('configuration', position, madeAt);
    this.#readListener();
    if (isRestored) {
      this.#eraListener();
    }
  }

  #decodeConfiguration(
    raw: Uint8Array,
    origin: ConfigurationOrigin,
  ): FleetConfiguration | undefined {
    const decoded = this.#options.codec.decodeConfiguration(raw);
    if (!decoded.ok) {
      this.#options.log.write('configuration-unreadable', {
        origin,
        failure: decoded.failure,
      });
      return undefined;
    }
    return decoded.value;
  }

  #onStoredConfiguration(raw: Uint8Array): void {
    const { routes, timers, log } = this.#options;
    const configuration = this.#decodeConfiguration(raw, 'store');
    const before = routes.version;
    if (!configuration) {
      return;
    }
    if (before !== undefined && configuration.version < before) {
      if (this.#era > this.#appliedEra) {
        this.#restoredConfiguration.hold({ configuration, raw }, timers.now());
      } else {
        // The response was under way while a peer passed on a newer version.
        log.write('configuration-late', {
          version: configuration.version,
          inForce: before,
          era: this.#era,
        });
      }
      return;
    }
    this.#restoredConfiguration.clear();
    if (routes.apply(configuration)) {
      this.#onApplied(configuration, raw, {
        before,
        origin: 'store',
        era: this.#era,
      });
    } else if (this.#era > this.#appliedEra) {
      // After a restore another configuration may have the same version.
      this.#replaceConfiguration(configuration, raw);
    }
  }

  #replaceConfiguration(
    configuration: FleetConfiguration,
    raw: Uint8Array,
  ): void {
    const { routes } = this.#options;
    const before = routes.version;
    routes.replace(configuration);
    this.#onApplied(configuration, raw, {
      before,
      origin: 'store',
      era: this.#era,
    });
  }

  #onApplied(
    configuration: FleetConfiguration,
    raw: Uint8Array,
    { before, origin, era }: ConfigurationChange,
  ): void {
    const { routes, log, fleetReadiness } = this.#options;
    this.#raw = raw;
    this.#appliedEra = era;
    // A peer that passes a configuration on may itself be behind.
    if (origin === 'store') {
      routes.recordConfirmation(this.#madeAt);
    }
    log.write('configuration', {
      origin,
      before,
      version: configuration.version,
      era,
      routes: configuration.routes.length,
      teams: configuration.teams.length,
    });
    this.#configurationListener(configuration, era);
    fleetReadiness.notifyIfReady();
  }

  #onEndpointList({ rows, position }: FeedPage, madeAt: Instant): void {
    const { endpointReplica, feedUpdates, timers, fleetReadiness } =
      this.#options;
    const changed = endpointReplica.applyList(
      rows.map(row => this.#endpointRow(row)),
      position,
      timers.now(),
    );
    for (const row of changed) {
      feedUpdates.onRowRead(row);
    }
    feedUpdates.onTableRead('endpoints', position, madeAt);
    this.#readListener();
    fleetReadiness.notifyIfReady();
  }

  #endpointRow(row: FeedRow): EndpointRow {
    return {
      id: endpointId(row.key),
      revision: row.revision,
      ...this.#decodeEntry(row),
    };
  }

  #decodeEntry({
    key,
    value,
  }: FeedRow): Pick<EndpointRow, 'entry' | 'isUnreadable'> {
    if (!value) {
      return { entry: undefined };
    }
    const { codec, log } = this.#options;
    const decoded = codec.decodeEndpoint(key, value);
    if (!decoded.ok) {
      log.write('endpoint-unreadable', {
        endpoint: key,
        failure: decoded.failure,
      });
      return { entry: undefined, isUnreadable: true };
    }
    return { entry: decoded.value };
  }
}
