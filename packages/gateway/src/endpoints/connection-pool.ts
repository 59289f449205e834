/** Pool of idle connections to endpoints, which later requests reuse. */
import type { EndpointEntry } from '@sesamegrade/core/endpoints/endpoint-entry';
import type { EndpointId, ServiceId } from '@sesamegrade/core/types/ids';
import { elapsed, milliseconds } from '@sesamegrade/core/types/units';
import type { Instant, Milliseconds } from '@sesamegrade/core/types/units';
import { EndpointConnection } from './endpoint-connection';
import type { EndpointDialer } from './endpoint-dialer';

/** Time for which an idle connection through another router is kept: that router waits for it when it stops. */
const MAX_DETOUR_IDLE_TIME: Milliseconds = milliseconds(500);
/**
 * Time after which a connection through another router takes no further request: that
 * router does not tell when it stops, and refuses new connections then.
 */
const MAX_DETOUR_AGE: Milliseconds = milliseconds(2000);
/** Idle connections kept per endpoint. */
const MAX_IDLE_CONNECTIONS = 16;
/**
 * Idle time after which no connection is reused, whatever keep-alive timeout
 * the endpoint announces.
 */
const MAX_IDLE_TIME: Milliseconds = milliseconds(20_000);
/**
 * Idle time limit for requests that may not be repeated: if the endpoint closes
 * the connection while such a request is being sent, the request is lost.
 */
const MAX_IDLE_TIME_UNREPEATABLE: Milliseconds = milliseconds(4000);
/**
 * Connections of a service are reused up to this share of the shortest idle
 * time after which one broke.
 */
const OBSERVED_LIMIT_SHARE = 0.75;
/**
 * Lower bound of the observed limit, so that reuse stays worthwhile; sooner
 * closes are not counted.
 */
const MIN_IDLE_TIME_LIMIT: Milliseconds = milliseconds(300);

/** When a connection was opened, and for which process. */
interface ConnectionOrigin {
  /** Start of the process that the entry of the endpoint named then. */
  readonly startedAt: number | undefined;
  readonly openedAt: Instant;
  establishedAt: Instant | undefined;
}

export class ConnectionPool {
  readonly #idle = new Map<EndpointId, EndpointConnection[]>();
  /** Maximum idle time by service, learned from connections that broke. */
  readonly #maxIdleTimes = new Map<ServiceId, Milliseconds>();
  readonly #origins = new WeakMap<EndpointConnection, ConnectionOrigin>();
  readonly #now: () => Instant;
  readonly #dialer: EndpointDialer;
  #openedCount = 0;

  constructor(now: () => Instant, dialer: EndpointDialer) {
    this.#now = now;
    this.#dialer = dialer;
  }

  /** Number of connections opened since the start. */
  get openedCount(): number {
    return this.#openedCount;
  }

  /**
   * Returns the connection that has been idle longest, or a new one. A late
   * response to an earlier request would have arrived on it by now.
   */
  take(
    entry: EndpointEntry,
    repeatable: boolean,
    connectTimeout: Milliseconds,
  ): EndpointConnection {
    const now = this.#now();
    const observedLimit =
      this.#maxIdleTimes.get(entry.service) ?? MAX_IDLE_TIME;
    const maxIdleTime = repeatable
      ? observedLimit
      : milliseconds(Math.min(observedLimit, MAX_IDLE_TIME_UNREPEATABLE));
    const idle = this.#idle.get(entry.id) ?? [];
    for (let at = 0; at < idle.length; at += 1) {
      const connection = idle[at];
      const isDetour =
        connection?.via !== undefined && this.#dialer.isRetryDue(entry.address);
      const isSameProcess =
        connection !== undefined &&
        this.#origins.get(connection)?.startedAt === entry.startedAt;
      if (
        !isDetour &&
        isSameProcess &&
        connection.isReusable(now, maxIdleTime)
      ) {
        idle.splice(at, 1);
        return connection;
      }
    }
    return this.#open(entry, connectTimeout);
  }

  /** When a connection was established; undefined before. */
  establishedAt(connection: EndpointConnection): Instant | undefined {
    return this.#origins.get(connection)?.establishedAt;
  }

  #open(
    entry: EndpointEntry,
    connectTimeout: Milliseconds,
  ): EndpointConnection {
    const origin: ConnectionOrigin = {
      startedAt: entry.startedAt,
      openedAt: this.#now(),
      establishedAt: undefined,
    };
    this.#openedCount += 1;
    const opened = new EndpointConnection(
      entry.address,
      connectTimeout,
      this.#dialer,
      closed => {
        this.#onClosed(entry, closed);
      },
      () => {
        origin.establishedAt = this.#now();
      },
    );
    this.#origins.set(opened, origin);
    return opened;
  }

  /** Puts a connection back into the pool after a complete response. */
  release(endpoint: EndpointId, connection: EndpointConnection): void {
    if (connection.isClosed) {
      return;
    }
    const idle = this.#idle.get(endpoint) ?? [];
    if (idle.length >= MAX_IDLE_CONNECTIONS || this.#isOldDetour(connection)) {
      connection.destroy();
      return;
    }
    idle.push(connection);
    this.#idle.set(endpoint, idle);
  }

  #isOldDetour(connection: EndpointConnection): boolean {
    const now = this.#now();
    const openedAt = this.#origins.get(connection)?.openedAt ?? now;
    return (
      connection.via !== undefined && elapsed(openedAt, now) >= MAX_DETOUR_AGE
    );
  }

  /** Whether an idle connection to an endpoint is open. */
  hasIdle(endpoint: EndpointId): boolean {
    return (this.#idle.get(endpoint) ?? []).some(({ isClosed }) => !isClosed);
  }

  /** Closes the idle connections to an endpoint. */
  closeIdle(endpoint: EndpointId): void {
    for (const connection of this.#idle.get(endpoint) ?? []) {
      connection.destroy();
    }
    this.#idle.delete(endpoint);
  }

  /** Closes the idle connections that lead through another router, or those that do not. */
  closeIdlePaths(
    path: 'direct' | 'peer',
    isAffected: (endpoint: EndpointId) => boolean,
  ): void {
    for (const [endpoint, connections] of this.#idle) {
      const closing = connections.filter(
        ({ via }) => (via === undefined) === (path === 'direct'),
      );
      if (isAffected(endpoint)) {
        closing.forEach(connection => {
          connection.destroy();
        });
      }
    }
  }

  /** Closes connections through other routers that were idle for a while. */
  closeIdleDetours(): void {
    const now = this.#now();
    for (const connection of [...this.#idle.values()].flat()) {
      const idleTime = connection.idleTime(now) ?? 0;
      if (connection.via !== undefined && idleTime >= MAX_DETOUR_IDLE_TIME) {
        connection.destroy();
      }
    }
  }

  /** Closes all idle connections. */
  close(): void {
    for (const endpoint of [...this.#idle.keys()]) {
      this.closeIdle(endpoint);
    }
  }

  /**
   * Records that a connection broke after an idle time, so that others are
   * reused for a shorter time.
   */
  recordIdleBreak(service: ServiceId, idle: Milliseconds): void {
    const known = this.#maxIdleTimes.get(service) ?? MAX_IDLE_TIME;
    const limit = Math.min(known, idle * OBSERVED_LIMIT_SHARE);
    this.#maxIdleTimes.set(
      service,
      milliseconds(Math.max(MIN_IDLE_TIME_LIMIT, limit)),
    );
  }

  #onClosed({ id, service }: EndpointEntry, closed: EndpointConnection): void {
    const idle = this.#idle.get(id);
    const at = idle?.indexOf(closed) ?? -1;
    if (at < 0) {
      return;
    }
    idle?.splice(at, 1);
    const idleTime = closed.idleTime(this.#now());
    if (idleTime !== undefined && idleTime > MIN_IDLE_TIME_LIMIT) {
      this.recordIdleBreak(service, idleTime);
    }
  }
}
