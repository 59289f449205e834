/** Request content that was running where endpoints crashed. */
import type { Branded } from '../types/brand';
import type { EndpointId, Fingerprint, Incarnation } from '../types/ids';
import type { Instant } from '../types/units';

/** One crash: an endpoint and the incarnation that ended. */
export type CrashId = Branded<string, 'CrashId'>;

export const crashId = (value: string) => value as CrashId;

export function crashIdOf(endpoint: EndpointId, which: Incarnation): CrashId {
  return crashId(`${endpoint}#${which}`);
}

/**
 * Both sets only grow, so that routers reach the same row in whatever order
 * they hear of changes.
 */
export interface Suspect {
  readonly id: Fingerprint;
  /** Crashes during which the content was running. */
  readonly crashes: ReadonlySet<CrashId>;
  /** Crashes of which the content was found innocent. */
  readonly cleared: ReadonlySet<CrashId>;
  readonly seenAt: Instant;
}

export type SuspicionKind = 'none' | 'suspect' | 'condemned';

/** Crashes for which the content still answers, in a fixed order. */
export function unclearedCrashes(suspect: Suspect): CrashId[] {
  return [...suspect.crashes]
    .filter(crash => !suspect.cleared.has(crash))
    .sort();
}

/** Crashes on this many endpoints condemn the content. */
const crashesToCondemn = 2;

export function suspicion(suspect: Suspect | undefined): SuspicionKind {
  const open = suspect ? unclearedCrashes(suspect).length : 0;
  if (open >= crashesToCondemn) {
    return 'condemned';
  }
  return open > 0 ? 'suspect' : 'none';
}

/** Rises whenever a merge adds something. */
export function suspectVersion(suspect: Suspect): number {
  return suspect.crashes.size + suspect.cleared.size;
}
