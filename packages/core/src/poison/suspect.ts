/** Request content that was running on endpoints when they crashed. */
import type { Branded } from '../types/brand';
import { fingerprint } from '../types/ids';
import type {
  EndpointId,
  Fingerprint,
  Incarnation,
  PromptPartId,
  ServiceId,
} from '../types/ids';
import type { Instant } from '../types/units';

/** Identifies one crash: an endpoint and the incarnation that ended. */
export type CrashId = Branded<string, 'CrashId'>;

export const crashId = (value: string) => value as CrashId;

export function crashIdOf(
  endpoint: EndpointId,
  incarnation: Incarnation,
): CrashId {
  return crashId(`${endpoint}#${incarnation}`);
}

/**
 * State of one content. Both sets only grow, so that all routers converge on
 * the same row regardless of the order in which they receive changes.
 */
export interface Suspect {
  readonly id: Fingerprint;
  /** Crashes during which the content was running. */
  readonly crashes: ReadonlySet<CrashId>;
  /** Crashes that the content did not cause. */
  readonly cleared: ReadonlySet<CrashId>;
  readonly seenAt: Instant;
}

export type SuspicionKind = 'none' | 'suspect' | 'condemned';

/**
 * Returns the crashes of which the content is not cleared, in a fixed order.
 */
export function unclearedCrashes(suspect: Suspect): CrashId[] {
  return [...suspect.crashes]
    .filter(crash => !suspect.cleared.has(crash))
    .sort();
}

/** Number of uncleared crashes that condemns the content of a request. */
const CRASHES_TO_CONDEMN = 2;
/**
 * The same for a prompt part, which many requests share: it runs beside crashes of
 * others more often.
 */
const CRASHES_TO_CONDEMN_PART = 3;
const PART_PREFIX = 'part/';

/** Identifies a prompt part as content that may crash the endpoints of a service. */
export function partFingerprint(
  service: ServiceId,
  part: PromptPartId,
): Fingerprint {
  return fingerprint(`${PART_PREFIX}${service}/${part}`);
}

/** Number of uncleared crashes that condemns the content. */
export function crashesToCondemn(id: Fingerprint): number {
  return id.startsWith(PART_PREFIX)
    ? CRASHES_TO_CONDEMN_PART
    : CRASHES_TO_CONDEMN;
}

export function suspicion(suspect: Suspect | undefined): SuspicionKind {
  const crashCount = suspect ? unclearedCrashes(suspect).length : 0;
  if (suspect && crashCount >= crashesToCondemn(suspect.id)) {
    return 'condemned';
  }
  return crashCount > 0 ? 'suspect' : 'none';
}

/** Returns a version that rises whenever a merge adds a crash or a clearing. */
export function suspectVersion(suspect: Suspect): number {
  return suspect.crashes.size + suspect.cleared.size;
}
