/**
 * Keeps the list of default versions in the store. The relay that reads the store for the
 * fleet writes it, or another one if that does not.
 */
import type { EndpointDirectory } from '@sesamegrade/core/endpoints/endpoint-directory';
import type { FeedTable } from '@sesamegrade/core/peers/feed-updates';
import type { PeerUpdates } from '@sesamegrade/core/peers/peer-updates';
import { MAX_CONFIGURATION_DELAY } from '@sesamegrade/core/routes/route-history';
import type { RouteHistory } from '@sesamegrade/core/routes/route-history';
import type { RouteTable } from '@sesamegrade/core/routes/route-table';
import { planDefaults } from '@sesamegrade/core/software-versions/default-plan';
import type {
  DefaultVersion,
  DefaultVersionList,
  DefaultVersions,
} from '@sesamegrade/core/software-versions/default-versions';
import { VersionPresence } from '@sesamegrade/core/software-versions/version-presence';
import type { FeedCoverage } from '@sesamegrade/core/store/feed-coverage';
import type { BackgroundTasks } from '@sesamegrade/core/tasks/background-tasks';
import type { TimerService } from '@sesamegrade/core/time/timer-service';
import type { ServiceId } from '@sesamegrade/core/types/ids';
import {
  addTime,
  elapsed,
  milliseconds,
  seconds,
} from '@sesamegrade/core/types/units';
import type { Instant, Milliseconds } from '@sesamegrade/core/types/units';
import type { GatewaySettings } from '@sesamegrade/settings/gateway-schema';
import type { DecisionLog } from '../logs/decision-log';
import type { FleetReplica } from '../store/fleet-replica';
import type { RowTable } from '../store/row-table';
import { DEFAULTS_KEY, encodeDefaults } from './origin-row';
import type { OriginTable } from './origin-table';
import type { SuccessorAgreement } from './successor-agreement';

/** Time after the start before the list is written: until then several routers may read for the fleet. */
const FIRST_WRITE_DELAY: Milliseconds = seconds(1);
/** Time after the first start in which no stream can have begun that lacks a record. */
const FIRST_START_SPAN: Milliseconds = seconds(10);
/** Time for which the list is not as planned after which another relay writes it. */
const TAKEOVER_DELAY: Milliseconds = seconds(2);
/** Age of the last confirmation of the endpoints up to which this router judges by them. */
const MAX_ENDPOINTS_AGE: Milliseconds = seconds(2);
/** Minimum time between two changes of the list. */
const WRITE_PERIOD: Milliseconds = milliseconds(100);
/** Minimum time between two writes that only name another routing. */
const NAMING_PERIOD: Milliseconds = seconds(1);
/** Time between two attempts to write the list. */
const RETRY_PERIOD: Milliseconds = seconds(1);
/** Time for which versions are remembered that have left. */
const MEMORY: Milliseconds = milliseconds(300_000);

interface StartSettings {
  readonly router: Pick<GatewaySettings['router'], 'first_start'>;
}

export interface DefaultVersionKeeperOptions {
  readonly settings: StartSettings;
  readonly streamRows: Pick<RowTable, 'replace'>;
  readonly originTable: OriginTable;
  readonly defaultVersions: DefaultVersions;
  readonly endpointDirectory: Pick<
    EndpointDirectory,
    'all' | 'isLoaded' | 'isUsable'
  >;
  readonly coverage: Readonly<
    Pick<Record<FeedTable, Pick<FeedCoverage, 'age'>>, 'endpoints'>
  >;
  readonly routes: Pick<RouteTable, 'version'>;
  readonly routeHistory: Pick<RouteHistory, 'routing' | 'confirm' | 'follows'>;
  readonly successorAgreement: Pick<SuccessorAgreement, 'tick' | 'includesAll'>;
  readonly fleetReplica: Pick<FleetReplica, 'isReader'>;
  readonly peerUpdates: Pick<PeerUpdates, 'isRelay'>;
  /** Longest time from the begin of a stream to its last resumption. */
  readonly streamLifetime: () => Milliseconds;
  readonly timers: TimerService;
  readonly backgroundTasks: BackgroundTasks;
  readonly log: DecisionLog;
}

export class DefaultVersionKeeper {
  readonly #options: DefaultVersionKeeperOptions;
  readonly #presence = new VersionPresence();
  readonly #startedAt: Instant;
  readonly #inheritedUntil = new Map<ServiceId, Instant>();
  #writableFrom: Instant | undefined;
  /** Since when the list is not as planned; undefined while it is. */
  #differsSince: Instant | undefined;
  #isBusy = false;
  /** When this router last wrote another routing into the list. */
  #namedAt: Instant | undefined;

  constructor(options: DefaultVersionKeeperOptions) {
    this.#options = options;
    this.#startedAt = options.timers.now();
  }

  /** Records that changes of the endpoints were missed since their last confirmation. */
  markMissed(): void {
    if (!this.#isInTouch(this.#options.timers.now())) {
      this.#presence.markMissed();
    }
  }

  /** Records that a service has routes whose streams of before a time began at another one. */
  inherit(service: ServiceId, until: Instant): void {
    this.#inheritedUntil.set(service, until);
  }

  /** Writes the list if it is not as planned. */
  tick(now: Instant): void {
    const {
      endpointDirectory,
      defaultVersions,
      fleetReplica,
      peerUpdates,
      routes,
    } = this.#options;
    // Without the routes it is not known how long streams live.
    if (!endpointDirectory.isLoaded || routes.version === undefined) {
      return;
    }
    // What leaves takes no new streams; those that it still runs end within the margin of the plan.
    const entries = endpointDirectory
      .all()
      .filter(({ id }) => endpointDirectory.isUsable(id));
    defaultVersions.observe(entries, now);
    this.#presence.observe(entries, now);
    this.#presence.removeOlder(MEMORY, now);
    this.#options.successorAgreement.tick(now);
    const isEarly = elapsed(this.#startedAt, now) < FIRST_WRITE_DELAY;
    const isDue = !this.#writableFrom || elapsed(this.#writableFrom, now) >= 0;
    if (isEarly || !isDue || this.#isBusy || !this.#isInTouch(now)) {
      return;
    }
    if (this.#options.originTable.position && !this.#planned(now)) {
      this.#differsSince = undefined;
      return;
    }
    this.#differsSince ??= now;
    const isLate = elapsed(this.#differsSince, now) >= TAKEOVER_DELAY;
    if (!fleetReplica.isReader && !(peerUpdates.isRelay && isLate)) {
      return;
    }
    this.#isBusy = true;
    this.#writableFrom = addTime(now, RETRY_PERIOD);
    this.#options.backgroundTasks.run('default-versions', async () => {
      try {
        await this.#write();
      } finally {
        this.#isBusy = false;
      }
    });
  }

  /** Whether the endpoints are known well enough to judge which versions are in use. */
  #isInTouch(now: Instant): boolean {
    const age = this.#options.coverage.endpoints.age(now);
    return age !== undefined && age <= MAX_ENDPOINTS_AGE;
  }

  async #write(): Promise<void> {
    const { originTable, streamRows, timers, log } = this.#options;
    if (!(await originTable.read())) {
      return;
    }
    const planned = this.#planned(timers.now());
    const { position, list, listRevision } = originTable;
    if (!planned || !position) {
      return;
    }
    const written = await streamRows.replace(
      DEFAULTS_KEY,
      encodeDefaults({ ...planned, writtenIn: position.era }),
      listRevision,
    );
    log.write('default-versions', {
      ...planned,
      era: position.era,
      ok: written.ok,
    });
    if (written.ok) {
      this.#writableFrom = addTime(timers.now(), WRITE_PERIOD);
      if (planned.routing !== list.routing) {
        this.#namedAt = timers.now();
      }
    }
    // Also after a conflict or a lost response, which may have changed the list.
    await originTable.read();
  }

  /** What the list should be; undefined if it is so. */
  #planned(
    now: Instant,
  ): Pick<DefaultVersionList, 'defaults' | 'routing' | 'lifetime'> | undefined {
    const { originTable, settings, streamLifetime } = this.#options;
    const { list, position } = originTable;
    const isCurrent = list.writtenIn === position?.era;
    const storeTime = originTable.storeTime(now);
    const isFirstStart =
      settings.router.first_start &&
      elapsed(this.#startedAt, now) <= FIRST_START_SPAN;
    const defaults = planDefaults({
      list,
      isCurrent,
      presence: this.#presence,
      isFirstStart,
      lifetime: streamLifetime(),
      inheritedUntil: new Map(
        [...this.#inheritedUntil]
          .filter(([, until]) => elapsed(now, until) >= 0)
          .map(([service, until]) => [service, originTable.storeTime(until)]),
      ),
      storeTime,
      now,
    }).map(entry => this.#withAgreement(entry, storeTime));
    const lifetime = this.#lifetime(now);
    const routing = this.#routing(isFirstStart, now);
    const isNamed =
      routing === list.routing ||
      (this.#namedAt !== undefined &&
        elapsed(this.#namedAt, now) < NAMING_PERIOD);
    const isSame =
      ((isCurrent && isNamed) || defaults.length === 0) &&
      JSON.stringify(defaults) === JSON.stringify(sorted(list.defaults)) &&
      (lifetime === list.lifetime || defaults.length === 0);
    return isSame ? undefined : { defaults, routing, lifetime };
  }

  /** Adds to an entry that the store has that all routers go by it. */
  #withAgreement(entry: DefaultVersion, storeTime: number): DefaultVersion {
    const { successorAgreement, timers } = this.#options;
    const { successor } = entry;
    if (
      !successor ||
      successor.agreedAt ||
      !successorAgreement.includesAll(entry)
    ) {
      return entry;
    }
    const agreedAt = { storeTime, wallTime: timers.wallTime() };
    return { ...entry, successor: { ...successor, agreedAt } };
  }

  /** The longest life of streams so far; undefined if earlier routes are neither known nor in the list. */
  #lifetime(now: Instant): Milliseconds | undefined {
    const { settings, streamLifetime, originTable } = this.#options;
    const known = streamLifetime();
    const knowsRoutes =
      settings.router.first_start ||
      elapsed(this.#startedAt, now) >= known + MAX_CONFIGURATION_DELAY;
    const { lifetime } = originTable.list;
    return knowsRoutes
      ? known
      : lifetime && milliseconds(Math.max(known, lifetime));
  }

  /**
   * The routing that the list should name: the one in force, once this router knows all
   * services that have inherited streams by moves which the list does not cover.
   */
  #routing(isFirstStart: boolean, now: Instant): string | undefined {
    const { originTable, routeHistory } = this.#options;
    const { list } = originTable;
    routeHistory.confirm(list.routing);
    const isFirstList = isFirstStart && list.writtenIn === undefined;
    return isFirstList || routeHistory.follows(list.routing, now)
      ? routeHistory.routing
      : list.routing;
  }
}

function sorted(defaults: readonly DefaultVersion[]): DefaultVersion[] {
  return defaults.toSorted((left, right) =>
    left.service < right.service ? -1 : 1,
  );
}
