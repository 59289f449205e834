/**
 * Configuration of routes, services, teams and caller limits, by which requests
 * are routed and authenticated.
 */
import type {
  ConfigurationVersion,
  RouteId,
  ServiceId,
  TeamId,
} from '../types/ids';
import type { Bytes, Milliseconds } from '../types/units';

/** A service that receives a share of a route's requests. */
export interface RouteTarget {
  readonly service: ServiceId;
  /** Share of the requests, relative to the other targets of the route. */
  readonly weight: number;
}

/** Whether a route's responses are single bodies or event streams. */
export type ResponseMode =
  | { readonly kind: 'whole' }
  /** Events with increasing ids. */
  | {
      readonly kind: 'stream';
      /**
       * Maximum pause between events for a response to count as on time;
       * undefined for no limit.
       */
      readonly pauseLimit: Milliseconds | undefined;
    };

export interface Route {
  readonly id: RouteId;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly prefix: string;
  readonly targets: readonly RouteTarget[];
  readonly answer: ResponseMode;
  /**
   * Whether a request may run more than once; a stream then resumes after its
   * last event.
   */
  readonly repeatable: boolean;
  /** Maximum time from a request's arrival to the end of its response. */
  readonly timeout: Milliseconds;
  /** Target time for a response, or for the first event of a stream. */
  readonly latencyGoal: Milliseconds;
  /** 0 is the highest priority. */
  readonly priority: number;
  /** Maximum number of endpoints that may run one request. */
  readonly maxAttempts: number;
  /** Whether requests need no API key. */
  readonly anonymous: boolean;
}

export interface ServiceConfiguration {
  readonly id: ServiceId;
  /** Connections that one endpoint accepts from all its clients together. */
  readonly maxConnections: number;
  /** Time after a start, or after its zone was evacuated, for which an endpoint is cold. */
  readonly coldTime: Milliseconds;
  /** Requests a second that a cold endpoint accepts from all routers; 0 for no limit. */
  readonly coldRequestsPerSecond: number;
  readonly engine: EngineConfiguration | undefined;
}

/** Properties of each engine of a service. */
export interface EngineConfiguration {
  /** Maximum concurrent requests. */
  readonly slots: number;
  /** Memory for running requests and cached prompt parts, in tokens. */
  readonly memoryTokens: number;
  /**
   * Whether the engine replicates a running request's memory to another engine
   * as it grows.
   */
  readonly backups: boolean;
  /** Maximum calls that wait for cache events at one engine. */
  readonly maxCacheEventWaiters: number;
}

export interface Team {
  readonly id: TeamId;
  readonly keys: readonly string[];
  /** Overrides the route's priority. */
  readonly priority: number | undefined;
}

/** Limits on a caller's requests and connections. */
export interface CallerLimits {
  readonly headerBytes: Bytes;
  readonly bodyBytes: Bytes;
  readonly headerTimeout: Milliseconds;
  /** Time after which an idle caller connection is closed. */
  readonly idleTimeout: Milliseconds;
}

export interface FleetConfiguration {
  readonly version: ConfigurationVersion;
  readonly routes: readonly Route[];
  readonly services: ReadonlyMap<ServiceId, ServiceConfiguration>;
  readonly limits: CallerLimits;
  /** Empty when requests need no API keys. */
  readonly teams: readonly Team[];
}
