/**
 * Matches a request to a route by host and longest path prefix, and to a team
 * by its API key.
 */
import { elapsed } from '../types/units';
import type { Instant, Milliseconds } from '../types/units';
import type { ConfigurationVersion } from '../types/ids';
import type {
  CallerLimits,
  FleetConfiguration,
  Route,
  RouteTarget,
  ServiceConfiguration,
  Team,
} from './fleet-configuration';
import type { ServiceId } from '../types/ids';

/** Result of routing a request. */
export type RouteDecision =
  | {
      readonly kind: 'forward';
      readonly route: Route;
      readonly team: Team | undefined;
      readonly version: ConfigurationVersion;
    }
  /** No configuration was read yet, or the one in force may be out of date. */
  | { readonly kind: 'unknown-configuration' }
  | { readonly kind: 'no-route' }
  | { readonly kind: 'unknown-key' };

/** Properties of a request that are known before its body is read. */
export interface RouteQuery {
  readonly host: string;
  /** Path without a query. */
  readonly path: string;
  readonly key: string | undefined;
}

/** Routes by prefix, by host. */
export type RoutesByHost = ReadonlyMap<string, ReadonlyMap<string, Route>>;

interface RouteIndex {
  readonly configuration: FleetConfiguration;
  readonly routes: RoutesByHost;
  readonly teams: ReadonlyMap<string, Team>;
}

/** Routing table of the newest configuration. */
export class RouteTable {
  #index: RouteIndex | undefined;
  #confirmedAt: Instant | undefined;

  /** Version in force; undefined before the first configuration. */
  get version(): ConfigurationVersion | undefined {
    return this.#index?.configuration.version;
  }

  get limits(): CallerLimits | undefined {
    return this.#index?.configuration.limits;
  }

  get configuration(): FleetConfiguration | undefined {
    return this.#index?.configuration;
  }

  service(id: ServiceId): ServiceConfiguration | undefined {
    return this.#index?.configuration.services.get(id);
  }

  /** Puts a configuration in force; returns false if its version is not newer. */
  apply(configuration: FleetConfiguration): boolean {
    if (
      this.#index &&
      configuration.version <= this.#index.configuration.version
    ) {
      return false;
    }
    this.#index = buildIndex(configuration);
    return true;
  }

  /** Puts a configuration in force whatever its version is, as the store holds no newer one. */
  replace(configuration: FleetConfiguration): void {
    this.#index = buildIndex(configuration);
  }

  /** Records that the version in force was the newest one at this time. */
  recordConfirmation(at: Instant): void {
    if (this.#confirmedAt === undefined || at > this.#confirmedAt) {
      this.#confirmedAt = at;
    }
  }

  /**
   * Time since the version in force was last known to be the newest; undefined
   * if it never was.
   */
  timeSinceConfirmed(now: Instant): Milliseconds | undefined {
    return this.#confirmedAt === undefined
      ? undefined
      : elapsed(this.#confirmedAt, now);
  }

  /**
   * Routes a request. A host, path or key that the configuration in force lacks
   * gives a definite refusal only if that configuration was known to be the
   * newest within the last `maxAge`; otherwise a newer one may allow the request.
   */
  decide(query: RouteQuery, now: Instant, maxAge: Milliseconds): RouteDecision {
    const index = this.#index;
    const age = this.timeSinceConfirmed(now);
    if (!index) {
      return { kind: 'unknown-configuration' };
    }
    const isTrusted = age !== undefined && age <= maxAge;
    const route = findRoute(index.routes.get(query.host), query.path);
    if (!route) {
      return { kind: isTrusted ? 'no-route' : 'unknown-configuration' };
    }
    const { version, teams } = index.configuration;
    if (route.anonymous || teams.length === 0) {
      return { kind: 'forward', route, team: undefined, version };
    }
    const team =
      query.key === undefined ? undefined : index.teams.get(query.key);
    if (!team) {
      return { kind: isTrusted ? 'unknown-key' : 'unknown-configuration' };
    }
    return { kind: 'forward', route, team, version };
  }
}

/** Picks a target by weight; `fraction` is in [0, 1). */
export function pickTarget(
  route: Route,
  fraction: number,
): RouteTarget | undefined {
  const total = route.targets.reduce((sum, target) => sum + target.weight, 0);
  let remaining = fraction * total;
  for (const target of route.targets) {
    remaining -= target.weight;
    if (remaining < 0) {
      return target;
    }
  }
  return route.targets.at(-1);
}

export function indexRoutes(routes: readonly Route[]): RoutesByHost {
  const hosts = new Map<string, Map<string, Route>>();
  for (const route of routes) {
    const hostRoutes = hosts.get(route.host) ?? new Map<string, Route>();
    hostRoutes.set(route.prefix, route);
    hosts.set(route.host, hostRoutes);
  }
  return hosts;
}

function buildIndex(configuration: FleetConfiguration): RouteIndex {
  const teams = new Map<string, Team>();
  for (const team of configuration.teams) {
    for (const key of team.keys) {
      teams.set(key, team);
    }
  }
  return { configuration, routes: indexRoutes(configuration.routes), teams };
}

/** Looks up each prefix of the path that ends in a slash, the longest first. */
export function findRoute(
  prefixes: ReadonlyMap<string, Route> | undefined,
  path: string,
): Route | undefined {
  if (!prefixes) {
    return undefined;
  }
  let end = path.lastIndexOf('/');
  while (end >= 0) {
    const route = prefixes.get(path.slice(0, end + 1));
    if (route) {
      return route;
    }
    end = end === 0 ? -1 : path.lastIndexOf('/', end - 1);
  }
  return undefined;
}
