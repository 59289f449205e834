/** Ways in which routers tell each other how many requests they have at endpoints. */
import { LoadEstimate } from '@sesamegrade/core/engines/load-estimate';
import type { TopicEntries } from '@sesamegrade/core/gossip/gossip-scheduler';
import { LoadUpdates } from '@sesamegrade/core/peers/load-updates';
import type { EndpointId, RouterId } from '@sesamegrade/core/types/ids';
import { endpointId, routerId } from '@sesamegrade/core/types/ids';
import type { Instant } from '@sesamegrade/core/types/units';

/** One router's side of the exchange. */
export abstract class LoadExchange {
  readonly #own = new Map<EndpointId, number>();

  ownInFlight(endpoint: EndpointId): number {
    return this.#own.get(endpoint) ?? 0;
  }

  /** Records that a request started (1) or ended (-1) here. */
  change(endpoint: EndpointId, by: 1 | -1): void {
    const own = this.ownInFlight(endpoint) + by;
    this.#own.set(endpoint, own);
    this.onOwnChanged(endpoint, own, by);
  }

  /** Returns the updates for all peers and clears them. */
  abstract takeChanges(): TopicEntries;
  /** Returns the part of the message that is for one peer only. */
  abstract takeChangesFor(peer: RouterId): TopicEntries;
  abstract receive(peer: RouterId, topics: TopicEntries, now: Instant): void;
  /** The requests of all routers at an endpoint as this router sees them. */
  abstract total(endpoint: EndpointId, now: Instant): number;
  protected abstract onOwnChanged(
    endpoint: EndpointId,
    own: number,
    by: 1 | -1,
  ): void;
}

/** The way in use: a relay adds the counts up and sends totals. */
export class TotalsExchange extends LoadExchange {
  readonly #loads = new LoadEstimate();
  readonly #updates = new LoadUpdates(this.#loads);

  constructor(isRelay: boolean) {
    super();
    this.#updates.isRelay = isRelay;
  }

  override takeChanges(): TopicEntries {
    return this.#updates.takeChanges();
  }

  override takeChangesFor(peer: RouterId): TopicEntries {
    return this.#updates.takeIncluded(peer);
  }

  override receive(peer: RouterId, topics: TopicEntries, now: Instant): void {
    this.#updates.receive(peer, topics, now);
  }

  override total(endpoint: EndpointId, now: Instant): number {
    return this.#loads.total(endpoint, now);
  }

  protected override onOwnChanged(
    endpoint: EndpointId,
    own: number,
    by: 1 | -1,
  ): void {
    if (by > 0) {
      this.#loads.onRequestStarted(endpoint);
    } else {
      this.#loads.onRequestEnded(endpoint);
    }
    this.#updates.onOwnChanged(endpoint, own);
  }
}

/** The baseline: a relay passes on the count of each router by itself. */
export class CountsExchange extends LoadExchange {
  readonly #isRelay: boolean;
  readonly #changes = new Map<EndpointId, number>();
  readonly #relayed = new Map<string, [RouterId, EndpointId, number]>();
  readonly #counts = new Map<EndpointId, Map<RouterId, number>>();
  readonly #self: RouterId;

  constructor(self: RouterId, isRelay: boolean) {
    super();
    this.#self = self;
    this.#isRelay = isRelay;
  }

  override takeChanges(): TopicEntries {
    const topics = {
      ...(this.#changes.size > 0 ? { l: [...this.#changes] } : {}),
      ...(this.#relayed.size > 0 ? { r: [...this.#relayed.values()] } : {}),
    };
    this.#changes.clear();
    this.#relayed.clear();
    return topics;
  }

  override takeChangesFor(): TopicEntries {
    return {};
  }

  override receive(peer: RouterId, topics: TopicEntries): void {
    for (const entry of topics.l ?? []) {
      const [id, count] = entry as [string, number];
      this.#apply(peer, endpointId(id), count);
      if (this.#isRelay) {
        this.#relayed.set(`${peer}\n${id}`, [peer, endpointId(id), count]);
      }
    }
    for (const entry of topics.r ?? []) {
      const [origin, id, count] = entry as [string, string, number];
      this.#apply(routerId(origin), endpointId(id), count);
    }
  }

  override total(endpoint: EndpointId): number {
    let sum = this.ownInFlight(endpoint);
    for (const count of this.#counts.get(endpoint)?.values() ?? []) {
      sum += count;
    }
    return sum;
  }

  protected override onOwnChanged(endpoint: EndpointId, own: number): void {
    this.#changes.set(endpoint, own);
  }

  #apply(origin: RouterId, endpoint: EndpointId, count: number): void {
    if (origin === this.#self) {
      return;
    }
    const counts = this.#counts.get(endpoint) ?? new Map<RouterId, number>();
    counts.set(origin, count);
    this.#counts.set(endpoint, counts);
  }
}
