/**
 * Issues the permits to send requests to endpoints with a limit, one for each
 * request, for the whole fleet. Where several endpoints would do and none has a
 * permit, queries wait: the most urgent first, then the team with the fewest
 * recent permits. A query that would wait too long is refused at once.
 */
import { DrainRate } from '../limits/drain-rate';
import { WaitingQueue } from '../limits/waiting-queue';
import type { WaitingRequest } from '../limits/waiting-queue';
import type { EndpointId, RequestId, RouterId, ServiceId } from '../types/ids';
import { addTime, elapsed, milliseconds, seconds } from '../types/units';
import type { Instant, Milliseconds } from '../types/units';
import type {
  LimitedEndpoint,
  PermitAnswer,
  PermitQuery,
  PermitReturn,
} from './permit-query';
import { EndpointPermits } from './endpoint-permits';
import { RecentGrants } from './recent-grants';

/** Time after which the permits of an endpoint that nobody asks for are dropped. */
const UNUSED_LIFETIME: Milliseconds = seconds(60);
const MAX_RETRY_AFTER: Milliseconds = seconds(30);
/** Lowest estimate of the permits a millisecond by which a queue gets shorter. */
const MIN_DRAIN_RATE = 0.001;
const MS_PER_SECOND = 1000;

interface WaitingQuery {
  readonly query: PermitQuery;
  readonly answer: (answer: PermitAnswer) => void;
}

interface Waiting {
  readonly queue: WaitingQueue;
  readonly drainRate: DrainRate;
  readonly queries: Map<RequestId, WaitingQuery>;
}

export interface PermitIssuerOptions {
  /** Share of each limit that this issuer may use. */
  readonly share: () => number;
  /** Estimated number of requests of the whole fleet at an endpoint. */
  readonly running: (endpoint: EndpointId) => number;
}

export class PermitIssuer {
  readonly #permits = new Map<EndpointId, EndpointPermits>();
  readonly #waiting = new Map<ServiceId, Waiting>();
  readonly #grants = new RecentGrants();
  readonly #options: PermitIssuerOptions;
  #now: Instant | undefined;
  #sequence = 0;

  constructor(options: PermitIssuerOptions) {
    this.#options = options;
  }

  /** Whether queries wait for permits. */
  get hasWaiting(): boolean {
    return [...this.#waiting.values()].some(({ queue }) => queue.length > 0);
  }

  /** Answers a query of a router at once or during a later call of `tick`, exactly once. */
  request(
    query: PermitQuery,
    router: RouterId,
    answer: (answer: PermitAnswer) => void,
    now: Instant,
  ): void {
    this.#now = now;
    for (const endpoint of query.endpoints) {
      this.#permitsOf(endpoint, now).recordAsker(router, now);
    }
    const waiting = this.#waitingOf(query.service);
    this.#sequence += 1;
    waiting.queries.set(query.request, { query, answer });
    waiting.queue.add({
      entry: {
        request: query.request,
        team: query.team,
        priority: query.rank,
        deadline: addTime(now, query.maxWait),
      },
      sequence: this.#sequence,
      arrivedAt: now,
      until: addTime(now, query.maxWait),
      overShare: false,
    });
    this.#grantWaiting(waiting, now);
    if (!waiting.queries.has(query.request)) {
      return;
    }
    const expected = this.#expectedWait(waiting, query, now);
    if (query.maxWait === 0 || expected > query.maxWait) {
      this.#refuse(waiting, query, expected);
    }
  }

  /** Takes a permit back; returns false if this issuer has not issued it. */
  release(
    { request, endpoint, wasRejected }: PermitReturn,
    now: Instant,
  ): boolean {
    return (
      this.#permits.get(endpoint)?.release(request, wasRejected, now) ?? false
    );
  }

  /** Forgets the permits of an endpoint that is gone or was restarted, whose requests have ended. */
  remove(endpoint: EndpointId): void {
    this.#permits.delete(endpoint);
  }

  /** Grants what has become possible and refuses what has waited too long. */
  tick(now: Instant): void {
    this.#now = now;
    for (const waiting of this.#waiting.values()) {
      this.#grantWaiting(waiting, now);
      for (const { entry, until } of waiting.queue.inOrder()) {
        const query = waiting.queries.get(entry.request)?.query;
        if (query && elapsed(until, now) >= 0) {
          const expected = this.#expectedWait(waiting, query, now);
          this.#refuse(waiting, query, expected);
        }
      }
    }
    for (const [endpoint, permits] of this.#permits) {
      if (permits.isUnusedSince(UNUSED_LIFETIME, now)) {
        this.#permits.delete(endpoint);
      }
    }
  }

  #waitingOf(service: ServiceId): Waiting {
    let waiting = this.#waiting.get(service);
    if (!waiting) {
      const queue = new WaitingQueue(
        (team, ahead) =>
          ahead +
          (this.#now === undefined ? 0 : this.#grants.count(team, this.#now)),
      );
      waiting = {
        queue,
        drainRate: new DrainRate(MIN_DRAIN_RATE),
        queries: new Map(),
      };
      this.#waiting.set(service, waiting);
    }
    return waiting;
  }

  #permitsOf(endpoint: LimitedEndpoint, now: Instant): EndpointPermits {
    const { share, running } = this.#options;
    const { id } = endpoint;
    const permits =
      this.#permits.get(id) ?? new EndpointPermits(running(id), now);
    this.#permits.set(id, permits);
    permits.update(endpoint, share(), now);
    return permits;
  }

  #grantWaiting(waiting: Waiting, now: Instant): void {
    for (const { entry } of waiting.queue.inOrder()) {
      const waitingQuery = waiting.queries.get(entry.request);
      const endpoint = waitingQuery?.query.endpoints.find(each =>
        this.#permitsOf(each, now).take(
          entry.request,
          waitingQuery.query.lifetime,
          now,
        ),
      );
      if (waitingQuery && endpoint) {
        waiting.drainRate.recordStart(now);
        this.#grants.record(entry.team, now);
        waiting.queue.remove(entry.request);
        waiting.queries.delete(entry.request);
        waitingQuery.answer({ kind: 'granted', endpoint: endpoint.id });
      }
    }
  }

  #refuse(
    waiting: Waiting,
    query: PermitQuery,
    retryAfter: Milliseconds,
  ): void {
    const answer = waiting.queries.get(query.request)?.answer;
    waiting.queue.remove(query.request);
    waiting.queries.delete(query.request);
    answer?.({
      kind: 'refused',
      retryAfter: milliseconds(Math.min(MAX_RETRY_AFTER, retryAfter)),
    });
  }

  /** Expected time until the query's turn; for one that cannot wait, until its router should ask again. */
  #expectedWait(
    waiting: Waiting,
    query: PermitQuery,
    now: Instant,
  ): Milliseconds {
    const permits = query.endpoints.map(each => this.#permitsOf(each, now));
    if (query.maxWait === 0) {
      return milliseconds(
        Math.min(...permits.map(each => each.timeToAskAgain(now))),
      );
    }
    const position = positionOf(waiting.queue.inOrder(), query.request);
    const first = Math.min(...permits.map(each => each.timeUntilNext()));
    return milliseconds(
      first + this.#timeToPass(position, waiting, permits, now),
    );
  }

  /** Expected time until a number of queries have got their permits. */
  #timeToPass(
    queries: number,
    { drainRate }: Waiting,
    permits: readonly EndpointPermits[],
    now: Instant,
  ): Milliseconds {
    const rate = permits.reduce(
      (sum, each) => sum + (each.rate ?? Number.NaN),
      0,
    );
    return Number.isNaN(rate)
      ? drainRate.expectedWait(queries, now)
      : milliseconds((queries / rate) * MS_PER_SECOND);
  }
}

function positionOf(
  queue: readonly WaitingRequest[],
  request: RequestId,
): number {
  return Math.max(
    0,
    queue.findIndex(({ entry }) => entry.request === request),
  );
}
