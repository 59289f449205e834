/** The configuration that decides where requests go and who may send them. */
import type {
  ConfigurationVersion,
  RouteId,
  ServiceId,
  TeamId,
} from '../types/ids';
import type { Bytes, Milliseconds } from '../types/units';

/** Part of a route's requests that goes to a service. */
export interface RouteTarget {
  readonly service: ServiceId;
  /** Relative to the other targets of the route. */
  readonly weight: number;
}

/** How the answers of a route arrive. */
export type ResponseMode =
  | { readonly kind: 'whole' }
  /** Events with increasing numbers. */
  | {
      readonly kind: 'stream';
      /** Longest pause between events with which an answer is still on time. */
      readonly pauseLimit: Milliseconds | undefined;
    };

export interface Route {
  readonly id: RouteId;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly prefix: string;
  readonly targets: readonly RouteTarget[];
  readonly answer: ResponseMode;
  /** Whether a request may run more than once, a stream by going on from its last event. */
  readonly repeatable: boolean;
  /** Longest time that a request may be kept. */
  readonly timeout: Milliseconds;
  /** Time within which an answer, or a stream's first event, has its full worth. */
  readonly latencyGoal: Milliseconds;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Endpoints that may run one request. */
  readonly maxAttempts: number;
  /** Whether requests need no key. */
  readonly anonymous: boolean;
}

export interface ServiceConfiguration {
  readonly id: ServiceId;
  /** Channels that one endpoint accepts from all callers together. */
  readonly maxConnections: number;
  readonly engine: EngineConfiguration | undefined;
}

/** What a service of model engines says of each of its engines. */
export interface EngineConfiguration {
  /** Requests that run at once. */
  readonly slots: number;
  /** Tokens of running requests and kept prompt parts that fit in memory. */
  readonly memoryTokens: number;
  /** Whether the engine sends a run's memory to another engine as it grows. */
  readonly backups: boolean;
  /** Calls that may wait for cache events at one engine. */
  readonly maxCacheEventWaiters: number;
}

export interface Team {
  readonly id: TeamId;
  readonly keys: readonly string[];
  /** Goes before the route's priority. */
  readonly priority: number | undefined;
}

/** Bounds on what a caller may send. */
export interface CallerLimits {
  readonly headerBytes: Bytes;
  readonly bodyBytes: Bytes;
  readonly headerTimeout: Milliseconds;
  /** Time for which an unused caller's connection is kept. */
  readonly idleTimeout: Milliseconds;
}

export interface FleetConfiguration {
  readonly version: ConfigurationVersion;
  readonly routes: readonly Route[];
  readonly services: ReadonlyMap<ServiceId, ServiceConfiguration>;
  readonly limits: CallerLimits;
  /** Empty when requests need no keys. */
  readonly teams: readonly Team[];
}
