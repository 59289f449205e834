/** The ways of placing that a measurement compares. */
import { BoundedPlacement } from '@sesamegrade/core/placement/bounded-placement';
import { BoundedAffinityPlacement } from '@sesamegrade/core/placement/bounded-affinity-placement';
import { LeastLoadPlacement } from '@sesamegrade/core/placement/least-load-placement';
import type { Placement } from '@sesamegrade/core/placement/placement';
import { RandomPlacement } from '@sesamegrade/core/placement/random-placement';
import { RendezvousPlacement } from '@sesamegrade/core/placement/rendezvous-placement';
import { AffinityPlacement } from '@sesamegrade/core/placement/affinity-placement';
import { SoftBoundPlacement } from '@sesamegrade/core/placement/soft-bound-placement';
import type { Random } from '@sesamegrade/core/random/random';

/**
 * What a router knows of loads: everything at once, late reports alone, late
 * reports carried on by its own requests, or also what peers tell.
 */
export type LoadSource = 'exact' | 'late' | 'own' | 'told';

export interface PlacementVariant {
  readonly name: string;
  readonly loadSource: LoadSource;
  /** Whether a keeper is asked about engines near their bound. */
  readonly checksLoad: boolean;
  /** Whether the last place of a chat is known. */
  readonly usesAffinity: boolean;
  readonly placement: (bound: number, random: Random) => Placement;
}

const plainBounded = (bound: number) => new BoundedPlacement(bound);
const lastPlace = (bound: number) => new BoundedAffinityPlacement(bound);
const softBound = (bound: number) => new SoftBoundPlacement(bound);
const returning = (skewWeight: number) => (bound: number) =>
  new AffinityPlacement({ bound, skewWeight });

/** Every way, baselines first and the limit that no way can pass last. */
export const PLACEMENT_VARIANTS: readonly PlacementVariant[] = [
  {
    name: 'random',
    loadSource: 'late',
    checksLoad: false,
    usesAffinity: false,
    placement: (_, random) => new RandomPlacement(random),
  },
  {
    name: 'least load',
    loadSource: 'late',
    checksLoad: false,
    usesAffinity: false,
    placement: () => new LeastLoadPlacement(),
  },
  {
    name: 'rendezvous',
    loadSource: 'late',
    checksLoad: false,
    usesAffinity: false,
    placement: () => new RendezvousPlacement(),
  },
  {
    name: 'bounded',
    loadSource: 'late',
    checksLoad: false,
    usesAffinity: false,
    placement: plainBounded,
  },
  {
    name: 'last place',
    loadSource: 'late',
    checksLoad: false,
    usesAffinity: true,
    placement: lastPlace,
  },
  {
    name: 'soft bound',
    loadSource: 'late',
    checksLoad: false,
    usesAffinity: true,
    placement: softBound,
  },
  {
    name: 'last place, own',
    loadSource: 'own',
    checksLoad: false,
    usesAffinity: true,
    placement: lastPlace,
  },
  {
    name: 'last place, told',
    loadSource: 'told',
    checksLoad: false,
    usesAffinity: true,
    placement: lastPlace,
  },
  {
    name: 'soft bound, told',
    loadSource: 'told',
    checksLoad: false,
    usesAffinity: true,
    placement: softBound,
  },
  {
    name: 'returning (reuse), told',
    loadSource: 'told',
    checksLoad: false,
    usesAffinity: true,
    placement: returning(0),
  },
  {
    name: 'returning (skew), told',
    loadSource: 'told',
    checksLoad: false,
    usesAffinity: true,
    placement: returning(1),
  },
  {
    name: 'returning (reuse), asked',
    loadSource: 'told',
    checksLoad: true,
    usesAffinity: true,
    placement: returning(0),
  },
  {
    name: 'returning (skew), asked',
    loadSource: 'told',
    checksLoad: true,
    usesAffinity: true,
    placement: returning(1),
  },
  {
    name: 'returning (reuse), exact',
    loadSource: 'exact',
    checksLoad: false,
    usesAffinity: true,
    placement: returning(0),
  },
  {
    name: 'returning (skew), exact',
    loadSource: 'exact',
    checksLoad: false,
    usesAffinity: true,
    placement: returning(1),
  },
  {
    name: 'oracle',
    loadSource: 'exact',
    checksLoad: false,
    usesAffinity: true,
    placement: lastPlace,
  },
];
