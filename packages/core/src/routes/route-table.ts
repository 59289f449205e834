/** Finds the route of a request by host and longest prefix, and the team of a key. */
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

/** Whether a request may be forwarded and how. */
export type RouteDecision =
  | {
      readonly kind: 'forward';
      readonly route: Route;
      readonly team: Team | undefined;
      readonly version: ConfigurationVersion;
    }
  /** No configuration was read yet, or what is in force may be out of date. */
  | { readonly kind: 'unknown-configuration' }
  | { readonly kind: 'no-route' }
  | { readonly kind: 'unknown-key' };

/** What a request shows of itself before its body is read. */
export interface RouteQuery {
  readonly host: string;
  /** Path without a query. */
  readonly path: string;
  readonly key: string | undefined;
}

interface Index {
  readonly configuration: FleetConfiguration;
  readonly routes: ReadonlyMap<string, ReadonlyMap<string, Route>>;
  readonly teams: ReadonlyMap<string, Team>;
}

/** Holds the newest configuration; an older version is never put in force again. */
export class RouteTable {
  #index: Index | undefined;
  #confirmedAt: Instant | undefined;

  /** Version in force; undefined before the first one. */
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

  /** Puts a configuration in force; returns false when it is not newer. */
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

  /** Notes that no newer version than the one in force existed at a time. */
  recordConfirmation(now: Instant): void {
    this.#confirmedAt = now;
  }

  /** Time since the version in force was known to be the newest; undefined before. */
  timeSinceConfirmed(now: Instant): Milliseconds | undefined {
    return this.#confirmedAt === undefined
      ? undefined
      : elapsed(this.#confirmedAt, now);
  }

  /**
   * Decides on a request. What the configuration in force does not know is
   * refused for good only while that configuration is known to be the newest
   * within `trustedAge`; a newer one may allow the request.
   */
  decide(
    query: RouteQuery,
    now: Instant,
    trustedAge: Milliseconds,
  ): RouteDecision {
    const index = this.#index;
    const age = this.timeSinceConfirmed(now);
    if (!index || age === undefined) {
      return { kind: 'unknown-configuration' };
    }
    const trusted = age <= trustedAge;
    const route = findRoute(index.routes.get(query.host), query.path);
    if (!route) {
      return { kind: trusted ? 'no-route' : 'unknown-configuration' };
    }
    const { version, teams } = index.configuration;
    if (route.anonymous || teams.length === 0) {
      return { kind: 'forward', route, team: undefined, version };
    }
    const team =
      query.key === undefined ? undefined : index.teams.get(query.key);
    if (!team) {
      return { kind: trusted ? 'unknown-key' : 'unknown-configuration' };
    }
    return { kind: 'forward', route, team, version };
  }
}

/** Picks a target by its weight; `fraction` is in [0, 1). */
export function pickTarget(
  route: Route,
  fraction: number,
): RouteTarget | undefined {
  const total = route.targets.reduce((sum, target) => sum + target.weight, 0);
  let rest = fraction * total;
  for (const target of route.targets) {
    rest -= target.weight;
    if (rest < 0) {
      return target;
    }
  }
  return route.targets.at(-1);
}

function buildIndex(configuration: FleetConfiguration): Index {
  const routes = new Map<string, Map<string, Route>>();
  for (const route of configuration.routes) {
    const ofHost = routes.get(route.host) ?? new Map<string, Route>();
    ofHost.set(route.prefix, route);
    routes.set(route.host, ofHost);
  }
  const teams = new Map<string, Team>();
  for (const team of configuration.teams) {
    for (const key of team.keys) {
      teams.set(key, team);
    }
  }
  return { configuration, routes, teams };
}

/** Looks up each beginning of the path that ends in a slash, the longest first. */
function findRoute(
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
