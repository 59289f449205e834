/** Types that routers and endpoints share as members of the fleet. */
import type { Address, EndpointPhase } from '../types/endpoint';
import type { Incarnation, VmId, ZoneId } from '../types/ids';
import type { Instant } from '../types/units';

/**
 * Source of a report: the platform's list, the process itself, or only a peer.
 * A peer's report is enough to stop sending to a member, but never to start
 * once the router has a list of its own.
 */
export type ReportOrigin = 'list' | 'direct' | 'peer';

/** Why a member gets no new requests. */
export type DepartureCause =
  | 'listed-leaving'
  | 'refused-as-leaving'
  | 'announced'
  | 'told-by-peer'
  | 'missing'
  | 'replaced';

/** Fields of every member's row. */
export interface Member<Id extends string> {
  readonly id: Id;
  readonly vm: VmId;
  readonly incarnation: Incarnation;
  readonly zone: ZoneId;
  readonly address: Address;
  readonly phase: EndpointPhase;
  readonly origin: ReportOrigin;
  /**
   * Before this time a joining member gets no requests; afterwards its share
   * rises.
   */
  readonly rampStart: Instant;
  /** Since when the platform's list has not contained the member. */
  readonly missingSince: Instant | undefined;
  /** When the member last responded to this router. */
  readonly lastResponseAt: Instant | undefined;
  readonly cause: DepartureCause | undefined;
  /** When the phase last changed. */
  readonly since: Instant;
}

/** A report that a process start exists, and whether it is leaving. */
export interface MemberReport<Id extends string, Details> {
  readonly id: Id;
  readonly vm: VmId;
  readonly incarnation: Incarnation;
  readonly zone: ZoneId;
  readonly address: Address;
  readonly isLeaving: boolean;
  readonly details: Details;
}

/** A change of a member's phase, as subscribers receive it. */
export interface MemberChange<Id extends string> {
  readonly id: Id;
  readonly incarnation: Incarnation;
  readonly phase: EndpointPhase;
  readonly cause: DepartureCause | undefined;
}

/**
 * Counts of reports that changed nothing because they were malformed,
 * contradictory or outdated.
 */
export interface MembershipCounters {
  malformed: number;
  contradictory: number;
  /** Reports about a process start that was replaced or has left. */
  stale: number;
  /** Peers' reports about process starts that no list has shown. */
  unconfirmed: number;
}
