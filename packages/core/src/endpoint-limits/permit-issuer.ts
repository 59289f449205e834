/**
 * Issues the permits to send requests to endpoints with a limit, one for each
 * request, for the whole fleet. Where several endpoints would do and none has a
 * permit, queries wait: the most urgent first, then the team with the fewest
 * recent permits. A query that would wait too long is refused at once.
 */
import { WaitingQueue } from '../limits/waiting-queue';
import type { WaitingRequest } from '../limits/waiting-queue';
import type { EndpointId, RequestId, RouterId, ServiceId } from '../types/ids';
import { addTime, elapsed, milliseconds, seconds } from '../types/units';
import type { Instant, Milliseconds } from '../types/units';
import type {
  LimitedEndpoint,
  PermitAnswer,
  PermitQuery,
} from './permit-query';
import { RecentGrants } from './recent-grants';
import { TokenBucket } from './token-bucket';

/**
 * Lowest rate at which permits are issued. An endpoint that accepts nothing gets
 * one request now and then, as only its responses can show the end of that.
 */
const MIN_RATE_PER_SECOND = 0.1;
/** Time after which a bucket that nobody asks for is dropped. */
const BUCKET_LIFETIME: Milliseconds = seconds(60);
/** Time for which a router that asked counts as one that asks again. */
const ASKER_LIFETIME: Milliseconds = seconds(20);
/** Queries a second beyond a multiple of the permits that an endpoint is worth. */
const MIN_QUERIES_PER_SECOND = 5;
const QUERIES_PER_PERMIT = 3;
const MAX_RETRY_AFTER: Milliseconds = seconds(30);
const MS_PER_SECOND = 1000;

interface Bucket {
  readonly tokens: TokenBucket;
  /** When each router last asked for the endpoint. */
  readonly askers: Map<RouterId, Instant>;
  usedAt: Instant;
}

interface WaitingQuery {
  readonly query: PermitQuery;
  readonly answer: (answer: PermitAnswer) => void;
}

interface Waiting {
  readonly queue: WaitingQueue;
  readonly queries: Map<RequestId, WaitingQuery>;
}

export class PermitIssuer {
  readonly #buckets = new Map<EndpointId, Bucket>();
  readonly #waiting = new Map<ServiceId, Waiting>();
  readonly #grants = new RecentGrants();
  /** Share of each limit that this issuer may use. */
  readonly #share: () => number;
  #now: Instant | undefined;
  #sequence = 0;

  constructor(share: () => number) {
    this.#share = share;
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
      this.#bucket(endpoint, now).askers.set(router, now);
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
    for (const [endpoint, { usedAt }] of this.#buckets) {
      if (elapsed(usedAt, now) > BUCKET_LIFETIME) {
        this.#buckets.delete(endpoint);
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
      waiting = { queue, queries: new Map() };
      this.#waiting.set(service, waiting);
    }
    return waiting;
  }

  #bucket({ id, perSecond }: LimitedEndpoint, now: Instant): Bucket {
    const rate = Math.max(MIN_RATE_PER_SECOND, perSecond * this.#share());
    let bucket = this.#buckets.get(id);
    if (!bucket) {
      bucket = {
        tokens: new TokenBucket(rate, now),
        askers: new Map(),
        usedAt: now,
      };
      this.#buckets.set(id, bucket);
    }
    bucket.usedAt = now;
    bucket.tokens.refill(rate, now);
    return bucket;
  }

  #grantWaiting(waiting: Waiting, now: Instant): void {
    for (const { entry } of waiting.queue.inOrder()) {
      const waitingQuery = waiting.queries.get(entry.request);
      const endpoint = waitingQuery?.query.endpoints.find(each =>
        this.#bucket(each, now).tokens.take(),
      );
      if (waitingQuery && endpoint) {
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
    const buckets = query.endpoints.map(each => this.#bucket(each, now));
    if (query.maxWait === 0) {
      return milliseconds(
        Math.min(...buckets.map(each => timeToAskAgain(each, now))),
      );
    }
    const position = positionOf(waiting.queue.inOrder(), query.request);
    const rate = buckets.reduce((sum, each) => sum + each.tokens.perSecond, 0);
    const first = Math.min(...buckets.map(each => each.tokens.timeUntil(1)));
    return milliseconds(first + (position / rate) * MS_PER_SECOND);
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

/**
 * Spreads the queries of the routers that ask for an endpoint, so that their number
 * depends on its limit and not on the size of the fleet.
 */
function timeToAskAgain({ tokens, askers }: Bucket, now: Instant): number {
  for (const [router, askedAt] of askers) {
    if (elapsed(askedAt, now) > ASKER_LIFETIME) {
      askers.delete(router);
    }
  }
  const queriesPerSecond =
    MIN_QUERIES_PER_SECOND + QUERIES_PER_PERMIT * tokens.perSecond;
  const spread = ((askers.size - 1) / queriesPerSecond) * MS_PER_SECOND;
  return tokens.timeUntil(1) + spread;
}
