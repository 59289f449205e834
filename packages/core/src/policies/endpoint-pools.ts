/** Which endpoints can run a request now, and how full they are. */
import { poolId } from '../limits/pool';
import type { PoolCapacity, PoolId } from '../limits/pool';
import type { LoadView } from '../loads/load-view';
import type {
  EndpointMember,
  EndpointTable,
} from '../membership/endpoint-table';
import type { Candidate } from '../placement/candidate';
import { joinWeight } from '../placement/join-ramp';
import type { Target } from '../requests/types';
import type { EndpointId } from '../types/ids';
import type { Instant, Milliseconds } from '../types/units';

export interface EndpointPoolsOptions {
  readonly endpoints: EndpointTable;
  readonly loads: LoadView;
  /** Time over which a joining endpoint's share rises. */
  readonly ramp: Milliseconds;
  /** Whether the endpoint is kept from new work by its health. */
  readonly isEjected: (endpoint: EndpointId, now: Instant) => boolean;
}

/** Returns the pool whose endpoints can stand in for each other. */
export function poolOf(target: Target): PoolId {
  return target.kind === 'chat'
    ? poolId(`model/${target.model}`)
    : poolId(`service/${target.service}`);
}

export class EndpointPools {
  readonly #options: EndpointPoolsOptions;

  constructor(options: EndpointPoolsOptions) {
    this.#options = options;
  }

  /** Endpoints that may run the target, with their estimated load. */
  candidates(target: Target, now: Instant): Candidate[] {
    const suited = [...this.#suited(target)];
    const fit = suited.filter(row => !this.#options.isEjected(row.id, now));
    const rows = fit.length > 0 ? fit : suited;
    const weights = rows.map(row => this.#weight(row, now));
    const top = Math.max(0, ...weights);
    return rows.map((row, index) => ({
      id: row.id,
      zone: row.zone,
      load: this.#options.loads.estimate(row.id, now),
      capacity: row.capacity,
      weight: top > 0 ? (weights[index] ?? top) / top : 1,
    }));
  }

  /** Slots of the pool in the whole fleet, and how many of them are free. */
  capacity(target: Target, now: Instant): PoolCapacity {
    let slots = 0;
    let free = 0;
    for (const { capacity, load } of this.candidates(target, now)) {
      slots += capacity;
      free += Math.max(0, capacity - load);
    }
    return { slots, free };
  }

  *#suited(target: Target): Generator<EndpointMember> {
    for (const row of this.#options.endpoints.endpoints()) {
      if (serves(row, target)) {
        yield row;
      }
    }
  }

  #weight(row: EndpointMember, now: Instant): number {
    return joinWeight(row.rampStart, now, this.#options.ramp);
  }
}

function serves({ serving }: EndpointMember, target: Target): boolean {
  if (target.kind === 'chat') {
    return serving.kind === 'engine' && serving.models.includes(target.model);
  }
  return serving.kind === 'service' && serving.service === target.service;
}
