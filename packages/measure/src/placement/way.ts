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
export type Knowledge = 'exact' | 'late' | 'own' | 'told';

export interface Way {
  readonly name: string;
  readonly knowledge: Knowledge;
  /** Whether a keeper is asked about engines near their bound. */
  readonly asks: boolean;
  /** Whether the last place of a chat is known. */
  readonly remembers: boolean;
  readonly placement: (bound: number, random: Random) => Placement;
}

const plainBounded = (bound: number) => new BoundedPlacement(bound);
const lastPlace = (bound: number) => new BoundedAffinityPlacement(bound);
const softBound = (bound: number) => new SoftBoundPlacement(bound);
const returning = (skewWeight: number) => (bound: number) =>
  new AffinityPlacement({ bound, skewWeight });

/** Every way, baselines first and the limit that no way can pass last. */
export const ways: readonly Way[] = [
  {
    name: 'random',
    knowledge: 'late',
    asks: false,
    remembers: false,
    placement: (_, random) => new RandomPlacement(random),
  },
  {
    name: 'least load',
    knowledge: 'late',
    asks: false,
    remembers: false,
    placement: () => new LeastLoadPlacement(),
  },
  {
    name: 'rendezvous',
    knowledge: 'late',
    asks: false,
    remembers: false,
    placement: () => new RendezvousPlacement(),
  },
  {
    name: 'bounded',
    knowledge: 'late',
    asks: false,
    remembers: false,
    placement: plainBounded,
  },
  {
    name: 'last place',
    knowledge: 'late',
    asks: false,
    remembers: true,
    placement: lastPlace,
  },
  {
    name: 'soft bound',
    knowledge: 'late',
    asks: false,
    remembers: true,
    placement: softBound,
  },
  {
    name: 'last place, own',
    knowledge: 'own',
    asks: false,
    remembers: true,
    placement: lastPlace,
  },
  {
    name: 'last place, told',
    knowledge: 'told',
    asks: false,
    remembers: true,
    placement: lastPlace,
  },
  {
    name: 'soft bound, told',
    knowledge: 'told',
    asks: false,
    remembers: true,
    placement: softBound,
  },
  {
    name: 'returning (reuse), told',
    knowledge: 'told',
    asks: false,
    remembers: true,
    placement: returning(0),
  },
  {
    name: 'returning (skew), told',
    knowledge: 'told',
    asks: false,
    remembers: true,
    placement: returning(1),
  },
  {
    name: 'returning (reuse), asked',
    knowledge: 'told',
    asks: true,
    remembers: true,
    placement: returning(0),
  },
  {
    name: 'returning (skew), asked',
    knowledge: 'told',
    asks: true,
    remembers: true,
    placement: returning(1),
  },
  {
    name: 'returning (reuse), exact',
    knowledge: 'exact',
    asks: false,
    remembers: true,
    placement: returning(0),
  },
  {
    name: 'returning (skew), exact',
    knowledge: 'exact',
    asks: false,
    remembers: true,
    placement: returning(1),
  },
  {
    name: 'oracle',
    knowledge: 'exact',
    asks: false,
    remembers: true,
    placement: lastPlace,
  },
];
