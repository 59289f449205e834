/** What routers and endpoints have in common as members of the fleet. */
import type { Address, EndpointPhase } from '../types/endpoint';
import type { Incarnation, VmId, ZoneId } from '../types/ids';
import type { Instant } from '../types/units';

/**
 * Who vouches for a process start: the platform's list, the process itself, or
 * only a peer. A peer's word is enough to stop sending, never to start it once
 * the router has a list of its own.
 */
export type ReportOrigin = 'list' | 'direct' | 'peer';

/** Why no new work goes to a member. */
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
  /** Before this time a joining member gets no work; afterwards its share rises. */
  readonly rampStart: Instant;
  /** Since when the platform's list has not shown the member. */
  readonly missingSince: Instant | undefined;
  /** When the member last answered this router. */
  readonly lastResponseAt: Instant | undefined;
  readonly cause: DepartureCause | undefined;
  /** When the phase last changed. */
  readonly since: Instant;
}

/** One statement that a process start exists, and whether it is leaving. */
export interface MemberReport<Id extends string, Facts> {
  readonly id: Id;
  readonly vm: VmId;
  readonly incarnation: Incarnation;
  readonly zone: ZoneId;
  readonly address: Address;
  readonly isLeaving: boolean;
  readonly details: Facts;
}

/** A change of a member's phase, told to subscribers. */
export interface MemberChange<Id extends string> {
  readonly id: Id;
  readonly incarnation: Incarnation;
  readonly phase: EndpointPhase;
  readonly cause: DepartureCause | undefined;
}

/** Counts of statements that changed nothing because they were wrong or old. */
export interface MembershipCounters {
  malformed: number;
  contradictory: number;
  /** About a process start that was replaced or has left. */
  stale: number;
  /** Peers' statements about process starts that no list has shown. */
  unconfirmed: number;
}
