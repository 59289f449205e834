/** The placement variants that a measurement compares. */
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
 * Source of the loads that a router decides by: `exact` is the current load, `late`
 * only reports with a lag, `own` late reports corrected by the router's own
 * requests, and `told` also the counts that peers send.
 */
export type LoadSource = 'exact' | 'late' | 'own' | 'told';

export interface PlacementVariant {
  readonly name: string;
  readonly loadSource: LoadSource;
  /** Whether an owner is sent a load check for engines near their bound. */
  readonly checksLoad: boolean;
  /** Whether the last endpoint of a chat is known. */
  readonly usesAffinity: boolean;
  readonly placement: (bound: number, random: Random) => Placement;
}

const bounded = (bound: number) => new BoundedPlacement(bound);
const boundedAffinity = (bound: number) => new BoundedAffinityPlacement(bound);
const softBound = (bound: number) => new SoftBoundPlacement(bound);
const affinity = (skewWeight: number) => (bound: number) =>
  new AffinityPlacement({ bound, skewWeight });

/** All variants: baselines first, the upper limit with exact loads last. */
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
    placement: bounded,
  },
  {
    name: 'last place',
    loadSource: 'late',
    checksLoad: false,
    usesAffinity: true,
    placement: boundedAffinity,
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
    placement: boundedAffinity,
  },
  {
    name: 'last place, told',
    loadSource: 'told',
    checksLoad: false,
    usesAffinity: true,
    placement: boundedAffinity,
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
    placement: affinity(0),
  },
  {
    name: 'returning (skew), told',
    loadSource: 'told',
    checksLoad: false,
    usesAffinity: true,
    placement: affinity(1),
  },
  {
    name: 'returning (reuse), asked',
    loadSource: 'told',
    checksLoad: true,
    usesAffinity: true,
    placement: affinity(0),
  },
  {
    name: 'returning (skew), asked',
    loadSource: 'told',
    checksLoad: true,
    usesAffinity: true,
    placement: affinity(1),
  },
  {
    name: 'returning (reuse), exact',
    loadSource: 'exact',
    checksLoad: false,
    usesAffinity: true,
    placement: affinity(0),
  },
  {
    name: 'returning (skew), exact',
    loadSource: 'exact',
    checksLoad: false,
    usesAffinity: true,
    placement: affinity(1),
  },
  {
    name: 'oracle',
    loadSource: 'exact',
    checksLoad: false,
    usesAffinity: true,
    placement: boundedAffinity,
  },
];
