/**
 * Makes sure that this router knows every endpoint which another one may already use, and
 * the configuration by which it may use it, by a read of the store that begins after the
 * call: its own, or one of a relay that it asks. A connection to a peer proves nothing, as a
 * silent peer counts as connected for a while and its messages may be late. Nor does a read
 * that shows an earlier position than was known when it began, as of a copy of the store
 * that is behind.
 */
import type { EndpointDirectory } from '@sesamegrade/core/endpoints/endpoint-directory';
import type { FeedTable } from '@sesamegrade/core/peers/feed-updates';
import {
  applyVersionReport,
  versionReport,
} from '@sesamegrade/core/software-versions/version-report';
import type { VersionReport } from '@sesamegrade/core/software-versions/version-report';
import type { VersionHistory } from '@sesamegrade/core/software-versions/version-history';
import type { FeedCoverage } from '@sesamegrade/core/store/feed-coverage';
import { comparePositions } from '@sesamegrade/core/store/feed-position';
import type { FeedPosition } from '@sesamegrade/core/store/feed-position';
import type { BackgroundTasks } from '@sesamegrade/core/tasks/background-tasks';
import type { TimerService } from '@sesamegrade/core/time/timer-service';
import { withTimeout } from '@sesamegrade/core/time/with-timeout';
import { routerId } from '@sesamegrade/core/types/ids';
import type { RouterId } from '@sesamegrade/core/types/ids';
import { milliseconds } from '@sesamegrade/core/types/units';
import type { Milliseconds } from '@sesamegrade/core/types/units';
import type { GatewaySettings } from '@sesamegrade/settings/gateway-schema';
import type { PeerMesh } from '../peers/peer-mesh';
import type { ConfigurationConfirmation } from './configuration-confirmation';
import type { FeedSource } from './feed-source';
import type { FleetReplica } from './fleet-replica';
import { SharedCall } from './shared-call';

/** Time in which further calls share the read of the first one. */
const BATCH_DELAY: Milliseconds = milliseconds(5);
/** Time for the answer of the store after which the relays are asked as well. */
const OWN_READ_TIME: Milliseconds = milliseconds(60);
const NO_WAIT: Milliseconds = milliseconds(0);

/** Who read the store. */
export type EndpointEvidence = 'store' | 'peer';

interface RouterSettings {
  readonly router: Pick<GatewaySettings['router'], 'id'>;
}

export interface EndpointConfirmationOptions {
  readonly settings: RouterSettings;
  readonly endpointFeed: Pick<FeedSource, 'readChanges'>;
  readonly coverage: Readonly<
    Pick<Record<FeedTable, FeedCoverage>, 'endpoints'>
  >;
  readonly fleetReplica: Pick<
    FleetReplica,
    'isHealthy' | 'applyEndpointChanges'
  >;
  readonly endpointDirectory: Pick<EndpointDirectory, 'all'>;
  readonly configurationConfirmation: Pick<
    ConfigurationConfirmation,
    'read' | 'statement' | 'isAsNewAs'
  >;
  readonly versionHistory: VersionHistory;
  readonly peerMesh: Pick<PeerMesh, 'relays' | 'requestVersions'>;
  readonly timers: TimerService;
  readonly backgroundTasks: BackgroundTasks;
}

export class EndpointConfirmation {
  readonly #options: EndpointConfirmationOptions;
  readonly #ownRead: SharedCall<boolean>;
  readonly #evidence: SharedCall<EndpointEvidence | undefined>;

  constructor(options: EndpointConfirmationOptions) {
    this.#options = options;
    const { timers, backgroundTasks } = options;
    const shared = { timers, backgroundTasks, delay: BATCH_DELAY };
    this.#ownRead = new SharedCall({
      ...shared,
      name: 'endpoint-read',
      call: () => this.#read(),
    });
    this.#evidence = new SharedCall({
      ...shared,
      name: 'endpoint-confirmation',
      call: () => this.#obtain(),
    });
  }

  /**
   * Records every version that is in use by now. Resolves with undefined if the store
   * answers neither this router nor a relay.
   */
  confirm(): Promise<EndpointEvidence | undefined> {
    return this.#evidence.run();
  }

  /** What this router knows after a read of the store, for a peer; undefined if the store does not answer. */
  async report(): Promise<VersionReport | undefined> {
    const { versionHistory, coverage, configurationConfirmation, timers } =
      this.#options;
    const isRead = await this.#ownRead.run();
    const { position } = coverage.endpoints;
    return isRead && position
      ? {
          ...versionReport(versionHistory, position, timers.now()),
          ...configurationConfirmation.statement(),
        }
      : undefined;
  }

  async #obtain(): Promise<EndpointEvidence | undefined> {
    const own = this.#read();
    if (await withTimeout(own, this.#options.timers, OWN_READ_TIME)) {
      return 'store';
    }
    return firstDefined([
      own.then(isRead => (isRead ? 'store' : undefined)),
      ...this.#relays().map(relay => this.#ask(relay)),
    ]);
  }

  #relays(): RouterId[] {
    const { peerMesh, settings } = this.#options;
    const self = routerId(settings.router.id);
    return peerMesh.relays.filter(relay => relay !== self);
  }

  async #ask(relay: RouterId): Promise<EndpointEvidence | undefined> {
    const { peerMesh, versionHistory, configurationConfirmation, timers } =
      this.#options;
    const known = this.#knownUpTo();
    const answer = await peerMesh.requestVersions(relay);
    const report = applyVersionReport(answer, versionHistory, timers.now());
    // A relay that has missed versions knows nothing of those that this router has missed.
    const isEvidence =
      report?.isComplete === true &&
      reaches(report.seenUpTo, known) &&
      configurationConfirmation.isAsNewAs(answer);
    return isEvidence ? 'peer' : undefined;
  }

  /** The latest position of the store that this router knows of. */
  #knownUpTo(): FeedPosition | undefined {
    const { coverage, versionHistory } = this.#options;
    const { position } = coverage.endpoints;
    const { toldUpTo } = versionHistory;
    return position && toldUpTo && reaches(toldUpTo, position)
      ? toldUpTo
      : (position ?? toldUpTo);
  }

  async #read(): Promise<boolean> {
    const areRead = await Promise.all([
      this.#readEndpoints(),
      this.#options.configurationConfirmation.read(),
    ]);
    return areRead.every(Boolean);
  }

  async #readEndpoints(): Promise<boolean> {
    const {
      endpointFeed,
      coverage,
      fleetReplica,
      endpointDirectory,
      versionHistory,
      timers,
    } = this.#options;
    const after = coverage.endpoints.position;
    if (after === undefined || !fleetReplica.isHealthy) {
      return false;
    }
    const known = this.#knownUpTo();
    const sentAt = timers.now();
    const changes = await endpointFeed.readChanges(after.revision, NO_WAIT);
    // The store may have been restored while the response was under way.
    const isCurrent = coverage.endpoints.position?.era === after.era;
    if (!changes.ok || !isCurrent || changes.value.position.era !== after.era) {
      return false;
    }
    if (!reaches(changes.value.position, known)) {
      return false;
    }
    fleetReplica.applyEndpointChanges(changes.value, sentAt);
    versionHistory.observe(endpointDirectory.all(), timers.now());
    return true;
  }
}

/** Whether a position is no earlier than a known one. */
function reaches(
  position: FeedPosition,
  known: FeedPosition | undefined,
): boolean {
  return known === undefined || comparePositions(position, known) >= 0;
}

/** Resolves with the first value that is defined; undefined if there is none. */
async function firstDefined<Value>(
  promises: readonly Promise<Value | undefined>[],
): Promise<Value | undefined> {
  const defined = promises.map(async promise => {
    const value = await promise;
    if (value === undefined) {
      throw new RangeError('no value');
    }
    return value;
  });
  try {
    return await Promise.any(defined);
  } catch {
    return undefined;
  }
}
