/** Groups endpoints into pools and returns those that can run a request, with their load. */
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
  /** Time over which the weight of a joining endpoint rises. */
  readonly ramp: Milliseconds;
  /** Returns whether the endpoint is ejected and should get no new requests. */
  readonly isEjected: (endpoint: EndpointId, now: Instant) => boolean;
}

/** Returns the pool of a target; all endpoints of a pool can run the same requests. */
export function poolOf(target: Target): PoolId {
  return target.kind === 'chat'
    ? modelPool(target.model)
    : servicePool(target.service);
}

/** Maximum age of the grouping of members; it is also renewed when a member changes its phase. */
const GROUPING_INTERVAL = milliseconds(1000);

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

  /** Returns the endpoints that may run the target, or, if all are ejected, the ejected ones. */
  candidates(target: Target, now: Instant): Candidate[] {
    const eligible = this.#eligible(target, now);
    const notEjected = eligible.filter(
      row => !this.#options.isEjected(row.id, now),
    );
    const rows = notEjected.length > 0 ? notEjected : eligible;
    const weights = rows.map(row => this.#weight(row, now));
    const maxWeight = Math.max(0, ...weights);
    return rows.map((row, index) => ({
      id: row.id,
      zone: row.zone,
      load: this.#options.loads.estimate(row.id, now),
      capacity: row.capacity,
      weight: maxWeight > 0 ? (weights[index] ?? maxWeight) / maxWeight : 1,
    }));
  }

  /** Returns the slots of the pool over all endpoints and how many of them are free. */
  capacity(target: Target, now: Instant): PoolCapacity {
    let slots = 0;
    let free = 0;
    for (const { capacity, load } of this.candidates(target, now)) {
      slots += capacity;
      free += Math.max(0, capacity - load);
    }
    return { slots, free };
  }

  #eligible(target: Target, now: Instant): readonly EndpointMember[] {
    const isGrouped =
      this.#groupedAt !== undefined &&
      elapsed(this.#groupedAt, now) < GROUPING_INTERVAL;
    if (!isGrouped) {
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
