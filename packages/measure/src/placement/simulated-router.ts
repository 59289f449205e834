/** Simulates a router with the load view and the load topic of the real one. */
import type { LoadCheckResponse } from '@sesamegrade/core/loads/load-owner';
import { LoadOwner } from '@sesamegrade/core/loads/load-owner';
import { LoadOwners } from '@sesamegrade/core/loads/load-owners';
import { LoadTopic } from '@sesamegrade/core/loads/load-topic';
import { LoadView } from '@sesamegrade/core/loads/load-view';
import type { Candidate } from '@sesamegrade/core/placement/candidate';
import { joinWeight } from '@sesamegrade/core/placement/join-ramp';
import { AffinityTable } from '@sesamegrade/core/placement/affinity-table';
import type { EndpointId, RouterId } from '@sesamegrade/core/types/ids';
import { instant, seconds } from '@sesamegrade/core/types/units';
import type { SimulatedEngine } from './simulated-engine';
import type { LoadSource } from './placement-variant';

export interface SimulatedRouterOptions {
  readonly id: RouterId;
  readonly loadSource: LoadSource;
  readonly lag: number;
  /** Age of peers' counts that the load view assumes, in seconds. */
  readonly peerDelay: number;
  readonly averaging: number;
  readonly averagingWithoutCounts: number;
  readonly reportDecay: number;
  readonly routers: () => readonly RouterId[];
  /** Load owners of an endpoint in a small fleet; all routers if undefined. */
  readonly smallFleetOwners: number | undefined;
}

/** Converts the simulation's seconds to an instant of the core. */
export function toInstant(seconds: number) {
  return instant(seconds * 1000);
}

export class SimulatedRouter {
  readonly id: RouterId;
  readonly view: LoadView;
  readonly topic: LoadTopic;
  readonly affinity = new AffinityTable();
  readonly owners: LoadOwners;
  readonly #options: SimulatedRouterOptions;
  readonly #loadOwner: LoadOwner;
  readonly #engines = new Map<EndpointId, SimulatedEngine>();

  constructor(options: SimulatedRouterOptions) {
    this.id = options.id;
    this.#options = options;
    this.view = new LoadView({
      peerDelay: seconds(options.peerDelay),
      averaging: seconds(options.averaging),
      averagingWithoutCounts: seconds(options.averagingWithoutCounts),
      reportDecay: seconds(options.reportDecay),
      peerHorizon: seconds(15),
    });
    this.owners = new LoadOwners(options.smallFleetOwners);
    this.#loadOwner = new LoadOwner(options.id, this.view, this.owners);
    this.topic = new LoadTopic({
      self: options.id,
      view: this.view,
      owners: this.owners,
      routers: options.routers,
    });
  }

  /** Adds an engine that joined. */
  add(engine: SimulatedEngine): void {
    this.#engines.set(engine.id, engine);
    this.view.track(engine.id, engine.capacity, toInstant(engine.joinedAt));
  }

  /** Removes an engine that left, unless another one with its id has joined since. */
  remove(engine: SimulatedEngine): void {
    if (this.#engines.get(engine.id) === engine) {
      this.#engines.delete(engine.id);
      this.view.removeEndpoint(engine.id);
    }
  }

  engine(id: EndpointId): SimulatedEngine | undefined {
    return this.#engines.get(id);
  }

  hasEngine(id: EndpointId): boolean {
    return this.#engines.has(id);
  }

  engines(): Iterable<SimulatedEngine> {
    return this.#engines.values();
  }

  candidates(now: number, excluded: ReadonlySet<EndpointId>): Candidate[] {
    const at = toInstant(now);
    const candidates: Candidate[] = [];
    for (const engine of this.#engines.values()) {
      if (excluded.has(engine.id)) {
        continue;
      }
      candidates.push({
        id: engine.id,
        zone: engine.zone,
        load: this.#loadOf(engine, now),
        capacity: engine.capacity,
        weight: joinWeight(toInstant(engine.joinedAt), at),
      });
    }
    return candidates;
  }

  onRequestStarted(engine: SimulatedEngine, now: number): void {
    this.view.onRequestStarted(engine.id, toInstant(now));
  }

  onRequestEnded(engine: SimulatedEngine, now: number): void {
    this.view.onRequestEnded(engine.id, toInstant(now));
  }

  /** Applies a load that was reported for an engine at a time. */
  applyReport(
    engine: SimulatedEngine,
    load: number,
    observedAt: number,
    now: number,
    selected = false,
  ): void {
    this.view.applyReport(
      engine.id,
      { running: load, waiting: 0, observedAt: toInstant(observedAt) },
      toInstant(now),
      selected,
    );
  }

  /** Responds to a peer's load check as an owner of the engine. */
  checkLoad(
    peer: SimulatedRouter,
    endpoint: EndpointId,
    limit: number,
    now: number,
  ): LoadCheckResponse {
    return this.#loadOwner.check(
      peer.id,
      {
        endpoint,
        count: peer.view.ownInFlight(endpoint),
        sequence: peer.topic.nextSequence(),
        limit,
      },
      toInstant(now),
    );
  }

  #loadOf(engine: SimulatedEngine, now: number): number {
    switch (this.#options.loadSource) {
      case 'exact':
        return engine.running;
      case 'late':
        return engine.loadAt(now - this.#options.lag);
      case 'own':
      case 'told':
        return this.view.estimate(engine.id, toInstant(now));
    }
  }
}
