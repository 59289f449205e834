/** Keeps the configuration and the endpoints as the store has them. */
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
import { FeedFollower } from './feed-follower';
import type { FleetReadiness } from './fleet-readiness';
import type { FeedPage, FeedRow, FeedSource } from './feed-source';

export interface FleetMirrorParts {
  readonly configurationFeed: FeedSource;
  readonly endpointFeed: FeedSource;
  readonly codec: DeploymentCodec;
  readonly routes: RouteTable;
  readonly directory: EndpointDirectory;
  readonly fleetReadiness: FleetReadiness;
  readonly timers: TimerService;
  readonly random: Random;
  readonly log: DecisionLog;
  readonly roster: RouterDirectory;
  readonly peerNews: PeerUpdates;
}

/** Where a configuration came from. */
export type ConfigurationOrigin = 'store' | 'peer';

export class FleetMirror {
  readonly #parts: FleetMirrorParts;
  readonly #configuration: FeedFollower;
  readonly #endpoints: FeedFollower;
  #directoryListener: (events: readonly DirectoryEvent[]) => void = () =>
    undefined;
  #configurationListener: (configuration: FleetConfiguration) => void = () =>
    undefined;
  /** The configuration in force as the operator wrote it. */
  #raw: Uint8Array | undefined;

  constructor(parts: FleetMirrorParts) {
    this.#parts = parts;
    const { timers, random, log } = parts;
    this.#configuration = new FeedFollower({
      source: parts.configurationFeed,
      timers,
      random,
      log,
      listener: {
        snapshot: page => {
          this.#configurationRows(page);
        },
        changes: page => {
          this.#configurationRows(page);
        },
        returned: () => {
          this.#endpoints.hurry();
        },
        lost: () => undefined,
      },
    });
    this.#endpoints = new FeedFollower({
      source: parts.endpointFeed,
      timers,
      random,
      log,
      changesPause: () =>
        changeFeedPause(parts.roster.fleetSize, parts.peerNews.isRelay),
      listener: {
        snapshot: page => {
          this.#replaceEndpoints(page);
        },
        changes: page => {
          this.#changeEndpoints(page);
        },
        returned: () => {
          parts.directory.onStoreAvailable(timers.now());
          this.#configuration.hurry();
        },
        lost: () => undefined,
      },
    });
  }

  /** Whether both feeds were answered last time they asked. */
  get isHealthy(): boolean {
    return this.#configuration.isHealthy && this.#endpoints.isHealthy;
  }

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
    this.#configuration.start();
    this.#endpoints.start();
  }

  stop(): void {
    this.#configuration.stop();
    this.#endpoints.stop();
  }

  /** Puts a configuration in force when it can be read and is newer. */
  takeConfiguration(raw: Uint8Array, origin: ConfigurationOrigin): void {
    const { codec, routes, log, timers } = this.#parts;
    const decoded = codec.configuration(raw);
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
    this.#parts.fleetReadiness.changed();
  }

  /** Takes the endpoints that a peer knows while the store has not told any. */
  takeEndpoints(entries: readonly EndpointEntry[], peer: RouterId): void {
    const { directory, timers, log } = this.#parts;
    if (directory.isLoaded) {
      return;
    }
    log.write('endpoints-from-peer', { peer, endpoints: entries.length });
    this.#directoryListener(directory.replace(entries, timers.now()));
    this.#parts.fleetReadiness.changed();
  }

  #configurationRows({ rows }: FeedPage): void {
    const { codec, routes, timers } = this.#parts;
    for (const { key, value } of rows) {
      if (key === codec.configurationKey && value) {
        this.takeConfiguration(value, 'store');
      }
    }
    if (routes.version !== undefined) {
      routes.recordConfirmation(timers.now());
    }
  }

  #replaceEndpoints({ rows }: FeedPage): void {
    const { directory, timers } = this.#parts;
    const entries = rows
      .map(row => this.#entryOf(row))
      .filter((entry): entry is EndpointEntry => entry !== undefined);
    this.#directoryListener(directory.replace(entries, timers.now()));
    this.#parts.fleetReadiness.changed();
  }

  #changeEndpoints({ rows }: FeedPage): void {
    const { directory, timers } = this.#parts;
    for (const row of rows) {
      const change: EndpointChange = {
        id: endpointId(row.key),
        entry: this.#entryOf(row),
      };
      this.#directoryListener(directory.apply(change, timers.now()));
    }
  }

  /** Returns nothing for an entry that was removed or cannot be read. */
  #entryOf({ key, value }: FeedRow): EndpointEntry | undefined {
    if (!value) {
      return undefined;
    }
    const { codec, log } = this.#parts;
    const decoded = codec.endpoint(key, value);
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
