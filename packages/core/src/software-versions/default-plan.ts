/**
 * Decides the default version of each service. It changes only once the version has had no
 * endpoint for longer than a stream lives, so that no stream without a record is left that
 * began at it. A router may know the list, and an endpoint may serve, for a while after that.
 */
import type { ServiceId, SoftwareVersion } from '../types/ids';
import { milliseconds, seconds } from '../types/units';
import type { Instant, Milliseconds } from '../types/units';
import { MAX_UNUSED_LIST_AGE } from './default-versions';
import type {
  DefaultVersion,
  DefaultVersionList,
  SuccessorVersion,
} from './default-versions';
import type { VersionPresence } from './version-presence';

/** Time beyond the life of a stream for which a default version without endpoints is kept. */
const RETIREMENT_MARGIN: Milliseconds = seconds(30);

/** Time after which a write of the list may still take effect. */
const MAX_WRITE_DELAY: Milliseconds = seconds(10);
/** Time for which routers that have not read a changed list yet begin streams by the one before. */
const OLD_LIST_MARGIN: Milliseconds = milliseconds(
  MAX_UNUSED_LIST_AGE + MAX_WRITE_DELAY,
);

/** Time in which entries that have expired while the store was away are back. */
const MAX_BRIEF_ABSENCE: Milliseconds = milliseconds(2500);
/** Difference of two times of the store that stand for the same moment. */
const CLOCK_TOLERANCE: Milliseconds = seconds(1);

export interface DefaultPlanQuery {
  readonly list: DefaultVersionList;
  /** Whether the list was written in the present era of the store. */
  readonly isCurrent: boolean;
  readonly presence: VersionPresence;
  /** Whether no stream can have begun, as all routers have just started for the first time. */
  readonly isFirstStart: boolean;
  /** Longest time from the begin of a stream to its last resumption. */
  readonly lifetime: Milliseconds;
  /**
   * Times on the store's clock before which a stream without a record may belong to
   * another service, by the service that has its route now.
   */
  readonly inheritedUntil: ReadonlyMap<ServiceId, number>;
  /** Time on the store's clock in ms. */
  readonly storeTime: number;
  readonly now: Instant;
}

/** Returns the list that should be stored. */
export function planDefaults(query: DefaultPlanQuery): DefaultVersion[] {
  const known = new Map(
    query.list.defaults.map(entry => [entry.service, entry]),
  );
  const services = new Set([...known.keys(), ...query.presence.services]);
  return [...services]
    .sort()
    .flatMap(service => planned(service, known.get(service), query) ?? [])
    .map(entry => inherited(entry, query));
}

function planned(
  service: ServiceId,
  known: DefaultVersion | undefined,
  query: DefaultPlanQuery,
): DefaultVersion | undefined {
  if (!known) {
    return first(service, query);
  }
  const { presence, storeTime, lifetime } = query;
  const present = presence.present(service);
  const current = query.isCurrent ? known : carriedOver(known, query);
  const { unusedSince } = current;
  if (present.has(known.version)) {
    // Streams that could not be recorded may have begun elsewhere meanwhile.
    return unusedSince === undefined
      ? current
      : {
          service,
          version: known.version,
          since: endOfUnrecorded(query),
          unusedSince: undefined,
        };
  }
  const isBrief = presence.isSeenWithin(
    service,
    known.version,
    MAX_BRIEF_ABSENCE,
    query.now,
  );
  if (present.size === 0 || isBrief) {
    return current;
  }
  const retirement = lifetime + RETIREMENT_MARGIN;
  const [successor, ...others] = present;
  const isRetired =
    unusedSince !== undefined && storeTime - unusedSince >= retirement;
  return isRetired && successor !== undefined && others.length === 0
    ? {
        service,
        version: successor,
        since: endOfUnrecorded(query),
        unusedSince: undefined,
      }
    : unused(current, query);
}

/** The entry of a version without endpoints, while others have some. */
function unused(
  { service, version, since, unusedSince, successor }: DefaultVersion,
  { presence, storeTime }: DefaultPlanQuery,
): DefaultVersion {
  const next = successorOf(successor, presence.present(service));
  return {
    service,
    version,
    since,
    unusedSince: unusedSince ?? storeTime,
    ...(next && { successor: next }),
  };
}

/** The successor that the entry names, as long as it has endpoints, or the only version that has some. */
function successorOf(
  successor: SuccessorVersion | undefined,
  present: ReadonlySet<SoftwareVersion | undefined>,
): SuccessorVersion | undefined {
  if (successor && present.has(successor.version)) {
    return successor;
  }
  const [version, ...others] = present;
  return version !== undefined && others.length === 0
    ? { version, agreedAt: undefined }
    : undefined;
}

/**
 * The first default version: that of all streams of the service so far. Before the first
 * start of all routers there were none, so that any version will do.
 */
function first(
  service: ServiceId,
  query: DefaultPlanQuery,
): DefaultVersion | undefined {
  const { presence, isFirstStart, lifetime, storeTime, now } = query;
  const versions = presence.present(service);
  const [present] = namedVersions(versions);
  if (isFirstStart && present !== undefined) {
    return {
      service,
      version: present,
      // Streams of endpoints without a version are recorded only once there is a default one.
      since: versions.has(undefined) ? endOfUnrecorded(query) : storeTime,
      unusedSince: undefined,
    };
  }
  const span = milliseconds(lifetime + RETIREMENT_MARGIN);
  const version = presence.onlyVersion(service, span, now);
  return version === undefined
    ? undefined
    : {
        service,
        version,
        since: storeTime + lifetime,
        unusedSince: undefined,
      };
}

function namedVersions(
  versions: ReadonlySet<SoftwareVersion | undefined>,
): SoftwareVersion[] {
  return [...versions].filter(version => version !== undefined).sort();
}

/** When the last stream has ended that was begun without a record by the list before. */
function endOfUnrecorded({ lifetime, storeTime }: DefaultPlanQuery): number {
  return storeTime + OLD_LIST_MARGIN + lifetime;
}

/**
 * A restored store may lack records. Until the streams of that time have ended, one without
 * a record may have begun at another version, unless the service had none.
 */
function carriedOver(
  known: DefaultVersion,
  query: DefaultPlanQuery,
): DefaultVersion {
  const { service, version } = known;
  const { presence, lifetime, storeTime, now } = query;
  const isOnly = presence.onlyVersion(service, lifetime, now) === version;
  const since = Math.max(
    known.since,
    isOnly ? storeTime : endOfUnrecorded(query),
  );
  return { service, version, since, unusedSince: undefined };
}

function inherited(
  entry: DefaultVersion,
  { inheritedUntil }: DefaultPlanQuery,
): DefaultVersion {
  const until = inheritedUntil.get(entry.service) ?? 0;
  return until - entry.since > CLOCK_TOLERANCE
    ? { ...entry, since: until }
    : entry;
}
