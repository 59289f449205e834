/** Maintains this router's copy of the store's configuration and list of endpoints. */
import type {
  DirectoryEvent,
  EndpointDirectory,
} from '@sesamegrade/core/endpoints/endpoint-directory';
import type {
  EndpointChange,
  EndpointEntry,
} from '@sesamegrade/core/endpoints/endpoint-entry';
import { changeFeedPause } from '@sesamegrade/core/peers/update-delays';
import type { PeerUpdates } from '@sesamegrade/core/peers/peer-updates';
import type { RouterDirectory } from '@sesamegrade/core/peers/router-directory';
import type { Random } from '@sesamegrade/core/random/random';
import type { FleetConfiguration } from '@sesamegrade/core/routes/fleet-configuration';
import type { RouteTable } from '@sesamegrade/core/routes/route-table';
import type { TimerService } from '@sesamegrade/core/time/timer-service';
import { endpointId } from '@sesamegrade/core/types/ids';
import type { RouterId } from '@sesamegrade/core/types/ids';
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
  readonly fleetReadiness: FleetReadiness;
  readonly timers: TimerService;
  readonly random: Random;
  readonly log: DecisionLog;
  readonly routerDirectory: RouterDirectory;
  readonly peerUpdates: PeerUpdates;
}

/** Source of a configuration. */
export type ConfigurationOrigin = 'store' | 'peer';

export class FleetReplica {
  readonly #options: FleetReplicaOptions;
  readonly #configurationReader: FeedReader;
  readonly #endpointReader: FeedReader;
  #directoryListener: (events: readonly DirectoryEvent[]) => void = () =>
    undefined;
  #configurationListener: (configuration: FleetConfiguration) => void = () =>
    undefined;
  /** The configuration in force as the operator wrote it. */
  #raw: Uint8Array | undefined;

  constructor(options: FleetReplicaOptions) {
    this.#options = options;
    const { timers, random, log } = options;
    this.#configurationReader = new FeedReader({
      source: options.configurationFeed,
      timers,
      random,
      log,
      listener: {
        onSnapshot: page => {
          this.#onConfigurationRows(page);
        },
        onChanges: page => {
          this.#onConfigurationRows(page);
        },
        onRecovered: () => {
          this.#endpointReader.retryNow();
        },
        onFailure: () => undefined,
      },
    });
    this.#endpointReader = new FeedReader({
      source: options.endpointFeed,
      timers,
      random,
      log,
      changeFeedPause: () =>
        changeFeedPause(
          options.routerDirectory.fleetSize,
          options.peerUpdates.isRelay,
        ),
      listener: {
        onSnapshot: page => {
          this.#onEndpointSnapshot(page);
        },
        onChanges: page => {
          this.#onEndpointChanges(page);
        },
        onRecovered: () => {
          options.endpointDirectory.onStoreAvailable(timers.now());
          this.#configurationReader.retryNow();
        },
        onFailure: () => undefined,
      },
    });
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

  onDirectoryChange(
    listener: (events: readonly DirectoryEvent[]) => void,
  ): void {
    this.#directoryListener = listener;
  }

  onConfiguration(listener: (configuration: FleetConfiguration) => void): void {
    this.#configurationListener = listener;
  }

  start(): void {
    this.#configurationReader.start();
    this.#endpointReader.start();
  }

  stop(): void {
    this.#configurationReader.stop();
    this.#endpointReader.stop();
  }

  /** Puts a configuration in force if it can be decoded and is newer than the current one. */
  applyConfiguration(raw: Uint8Array, origin: ConfigurationOrigin): void {
    const { codec, routes, log, timers } = this.#options;
    const decoded = codec.decodeConfiguration(raw);
    if (!decoded.ok) {
      log.write('configuration-unreadable', {
        origin,
        failure: decoded.failure,
      });
      return;
    }
    const before = routes.version;
    if (!routes.apply(decoded.value)) {
      return;
    }
    this.#raw = raw;
    routes.recordConfirmation(timers.now());
    log.write('configuration', {
      origin,
      before,
      version: decoded.value.version,
      routes: decoded.value.routes.length,
      teams: decoded.value.teams.length,
    });
    this.#configurationListener(decoded.value);
    this.#options.fleetReadiness.notifyIfReady();
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

  #onConfigurationRows({ rows }: FeedPage): void {
    const { codec, routes, timers } = this.#options;
    for (const { key, value } of rows) {
      if (key === codec.configurationKey && value) {
        this.applyConfiguration(value, 'store');
      }
    }
    if (routes.version !== undefined) {
      routes.recordConfirmation(timers.now());
    }
  }

  #onEndpointSnapshot({ rows }: FeedPage): void {
    const { endpointDirectory, timers } = this.#options;
    const entries = rows
      .map(row => this.#decodeEntry(row))
      .filter((entry): entry is EndpointEntry => entry !== undefined);
    this.#directoryListener(endpointDirectory.replace(entries, timers.now()));
    this.#options.fleetReadiness.notifyIfReady();
  }

  #onEndpointChanges({ rows }: FeedPage): void {
    const { endpointDirectory, timers } = this.#options;
    for (const row of rows) {
      const change: EndpointChange = {
        id: endpointId(row.key),
        entry: this.#decodeEntry(row),
      };
      this.#directoryListener(endpointDirectory.apply(change, timers.now()));
    }
  }

  /** Returns undefined for an entry that was removed or cannot be decoded. */
  #decodeEntry({ key, value }: FeedRow): EndpointEntry | undefined {
    if (!value) {
      return undefined;
    }
    const { codec, log } = this.#options;
    const decoded = codec.decodeEndpoint(key, value);
    if (!decoded.ok) {
      log.write('endpoint-unreadable', {
        endpoint: key,
        failure: decoded.failure,
      });
      return undefined;
    }
    return decoded.value;
  }
}
