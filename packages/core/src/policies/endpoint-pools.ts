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
import type { EndpointId, ModelId, ServiceId } from '../types/ids';
import { elapsed, milliseconds } from '../types/units';
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
    ? modelPool(target.model)
    : servicePool(target.service);
}

/** Members are grouped anew after this time, or when one changes its phase. */
const GROUPING_PERIOD = milliseconds(1000);

export class EndpointPools {
  readonly #options: EndpointPoolsOptions;
  readonly #members = new Map<PoolId, EndpointMember[]>();
  #groupedAt: Instant | undefined;

  constructor(options: EndpointPoolsOptions) {
    this.#options = options;
    options.endpoints.subscribe(() => {
      this.#groupedAt = undefined;
    });
  }

  /** Endpoints that may run the target, with their estimated load. */
  candidates(target: Target, now: Instant): Candidate[] {
    const suited = this.#suited(target, now);
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

  #suited(target: Target, now: Instant): readonly EndpointMember[] {
    const grouped =
      this.#groupedAt !== undefined &&
      elapsed(this.#groupedAt, now) < GROUPING_PERIOD;
    if (!grouped) {
      this.#group(now);
    }
    return this.#members.get(poolOf(target)) ?? [];
  }

  #group(now: Instant): void {
    this.#members.clear();
    this.#groupedAt = now;
    for (const row of this.#options.endpoints.endpoints()) {
      for (const pool of poolsOf(row)) {
        const members = this.#members.get(pool) ?? [];
        members.push(row);
        this.#members.set(pool, members);
      }
    }
  }

  #weight(row: EndpointMember, now: Instant): number {
    return joinWeight(row.rampStart, now, this.#options.ramp);
  }
}

/** Returns the pools whose requests an endpoint can run. */
function poolsOf({ serving }: EndpointMember): PoolId[] {
  return serving.kind === 'engine'
    ? serving.models.map(modelPool)
    : [servicePool(serving.service)];
}

function modelPool(model: ModelId): PoolId {
  return poolId(`model/${model}`);
}

function servicePool(service: ServiceId): PoolId {
  return poolId(`service/${service}`);
}
