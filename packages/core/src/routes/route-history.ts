/**
 * The services to which the routes of streams led within the longest life of a stream.
 * A request that resumes one does not say which service began it, and the routes may
 * have changed since.
 */
import type { RequestId, ServiceId } from '../types/ids';
import { elapsed, milliseconds, seconds } from '../types/units';
import type { Instant, Milliseconds } from '../types/units';
import type { FleetConfiguration, Route } from './fleet-configuration';
import { findRoute, indexRoutes } from './route-table';
import type { RoutesByHost } from './route-table';
import { isResumable, pickStreamTarget, streamServices } from './stream-target';

/** Time within which a configuration is in force at every router. */
export const MAX_CONFIGURATION_DELAY: Milliseconds = seconds(12);
/** Different sets of routes that are kept; after more, the time before is not known. */
const MAX_ROUTINGS = 16;

/** Host and path of a request. */
export interface RoutedPath {
  readonly host: string;
  readonly path: string;
}

/** The services at which a stream can have begun. */
export interface StreamServices {
  /** The only one at which it can have begun; undefined if that is not known. */
  readonly only: ServiceId | undefined;
  /** Whether streams of its route began at several. */
  readonly areSeveral: boolean;
}

/** Routes that were in force together, until others replaced them. */
interface Routing {
  readonly routes: RoutesByHost;
  /** Tells apart routings that lead streams to other services. */
  readonly signature: string;
  /** Tells apart routings that lead paths to other sets of services. */
  readonly name: string;
  endedAt: Instant | undefined;
}

export class RouteHistory {
  readonly #lifetime: () => Milliseconds;
  readonly #digest: (text: string) => string;
  /** From the oldest to the one in force. */
  readonly #routings: Routing[] = [];
  #knownSince: Instant | undefined;
  /** Name of a routing since which all moves of routes are known. */
  #anchor: string | undefined;
  #shared: ReadonlySet<ServiceId> = new Set();

  /**
   * `lifetime` returns the longest time from the begin of a stream to its last resumption;
   * `digest` returns a short name that no other text has.
   */
  constructor(lifetime: () => Milliseconds, digest: (text: string) => string) {
    this.#lifetime = lifetime;
    this.#digest = digest;
  }

  /** Number of sets of routes that are kept. */
  get size(): number {
    return this.#routings.length;
  }

  /**
   * Name of the routing in force, the same at all routers: which services each path of
   * streams leads to, whatever their weights are. Undefined before the first configuration.
   */
  get routing(): string | undefined {
    return this.#routings.at(-1)?.name;
  }

  /** Records that a list has covered all moves up to the routing that it names, if that is in force. */
  confirm(routing: string | undefined): void {
    if (routing !== undefined && routing === this.routing) {
      this.#anchor = routing;
    }
  }

  /** Whether a list that names the routing, or this router itself, knows of all moves that streams may have outlived. */
  isCovered(routing: string | undefined, now: Instant): boolean {
    const isInForce = routing !== undefined && routing === this.routing;
    return isInForce || this.#isComplete(now);
  }

  /** Whether `record` has named the heirs by all moves that a list which names the routing does not cover. */
  follows(routing: string | undefined, now: Instant): boolean {
    const isAnchor = routing !== undefined && routing === this.#anchor;
    return isAnchor || this.isCovered(routing, now);
  }

  /**
   * Records a configuration that is in force from now on. Returns the services that are
   * now the only ones of paths whose streams began at others, or may have before this
   * router knew the routes.
   */
  record(
    configuration: Pick<FleetConfiguration, 'routes'>,
    now: Instant,
  ): ServiceId[] {
    this.#knownSince ??= now;
    const routes = configuration.routes.filter(
      ({ answer }) => answer.kind === 'stream',
    );
    const signature = signatureOf(routes);
    const current = this.#routings.at(-1);
    if (current?.signature === signature) {
      return [];
    }
    if (current) {
      current.endedAt = now;
    }
    const earlier = this.#routings.findIndex(
      routing => routing.signature === signature,
    );
    if (earlier >= 0) {
      this.#routings.splice(earlier, 1);
    }
    const index = indexRoutes(routes);
    const name = this.#digest(describe(index));
    if (!current) {
      this.#anchor = name;
    }
    this.#routings.push({ routes: index, signature, name, endedAt: undefined });
    if (this.#routings.length > MAX_ROUTINGS) {
      this.#anchor = undefined;
      this.#knownSince = this.#routings.shift()?.endedAt ?? now;
    }
    this.#removeExpired(now);
    this.#shared = sharedServices(this.#routings);
    return heirs(
      this.#routings.map(routing => routing.routes),
      this.#isComplete(now),
    );
  }

  /** Whether streams of the service cannot be told from those of others by their route. */
  isShared(service: ServiceId, now: Instant): boolean {
    this.#removeExpired(now);
    return this.#shared.has(service);
  }

  /** Where a stream on this path began; `begunBy` is the request that began it, if that is known. */
  servicesOf(
    path: RoutedPath,
    begunBy: RequestId | undefined,
    now: Instant,
  ): StreamServices {
    this.#removeExpired(now);
    const possible = new Set<ServiceId>();
    const picked = new Set<ServiceId>();
    for (const { routes } of this.#routings) {
      const route = findRoute(routes.get(path.host), path.path);
      const services = route ? streamServices(route) : [];
      const target =
        route && begunBy !== undefined && isResumable(route)
          ? pickStreamTarget(route, begunBy)
          : undefined;
      for (const service of services) {
        possible.add(service);
      }
      for (const service of target ? [target.service] : services) {
        picked.add(service);
      }
    }
    const areSeveral = possible.size > 1;
    const isCertain =
      picked.size === 1 && (!areSeveral || this.#isComplete(now));
    const [only] = picked;
    return { only: isCertain ? only : undefined, areSeveral };
  }

  /** Time for which routes are kept that are no longer in force here. */
  get #span(): Milliseconds {
    return milliseconds(this.#lifetime() + MAX_CONFIGURATION_DELAY);
  }

  /** Whether all routes are known by which a stream that still lives can have begun. */
  #isComplete(now: Instant): boolean {
    return (
      this.#knownSince !== undefined &&
      elapsed(this.#knownSince, now) >= this.#span
    );
  }

  #removeExpired(now: Instant): void {
    const span = this.#span;
    const kept = this.#routings.filter(
      ({ endedAt }) => endedAt === undefined || elapsed(endedAt, now) <= span,
    );
    if (kept.length < this.#routings.length) {
      this.#routings.splice(0, this.#routings.length, ...kept);
      this.#shared = sharedServices(kept);
    }
  }
}

/**
 * Services to which alone paths lead by the last routes, and not by those before, that
 * led streams to others by any. A path that led nowhere may have done so before them,
 * unless they are complete.
 */
function heirs(
  routings: readonly RoutesByHost[],
  areComplete: boolean,
): ServiceId[] {
  const after = routings.at(-1);
  const before = routings.slice(0, -1);
  const found = new Set<ServiceId>();
  for (const [host, prefixes] of after ?? []) {
    const known = new Set(
      routings.flatMap(routes => [...(routes.get(host)?.keys() ?? [])]),
    );
    for (const prefix of known) {
      const [service, ...others] = servicesAt(prefixes, prefix);
      const earlier = before.map(routes =>
        servicesAt(routes.get(host), prefix),
      );
      const last = earlier.at(-1) ?? [];
      const mayLackOthers =
        !areComplete && before.length > 0 && earlier.flat().length === 0;
      const isChanged = last.length !== 1 || last[0] !== service;
      const isHeir =
        service !== undefined &&
        others.length === 0 &&
        isChanged &&
        (mayLackOthers ||
          earlier.flat().some(previous => previous !== service));
      if (isHeir) {
        found.add(service);
      }
    }
  }
  return [...found];
}

function servicesAt(
  routes: ReadonlyMap<string, Route> | undefined,
  path: string,
): ServiceId[] {
  const route = findRoute(routes, path);
  return route ? streamServices(route) : [];
}

function signatureOf(routes: readonly Route[]): string {
  return JSON.stringify(
    routes.map(({ host, prefix, targets, answer, repeatable }) => [
      host,
      prefix,
      answer.kind,
      repeatable,
      targets.map(({ service, weight }) => [service, weight]),
    ]),
  );
}

/** What a routing is named by: the services of each path, in one order. */
function describe(routes: RoutesByHost): string {
  const paths = [...routes].flatMap(([host, prefixes]) =>
    [...prefixes].map(([prefix, route]) =>
      JSON.stringify([
        host,
        prefix,
        [...new Set(streamServices(route))].sort(),
      ]),
    ),
  );
  return paths.sort().join();
}

/** Services that some path shares with others, in one routing or over several. */
function sharedServices(routings: readonly Routing[]): Set<ServiceId> {
  const prefixes = new Map<string, Set<string>>();
  for (const { routes } of routings) {
    for (const [host, hostRoutes] of routes) {
      const known = prefixes.get(host) ?? new Set();
      [...hostRoutes.keys()].forEach(prefix => known.add(prefix));
      prefixes.set(host, known);
    }
  }
  const shared = new Set<ServiceId>();
  for (const [host, hostPrefixes] of prefixes) {
    for (const prefix of hostPrefixes) {
      const services = new Set(
        routings.flatMap(({ routes }) => servicesAt(routes.get(host), prefix)),
      );
      if (services.size > 1) {
        services.forEach(service => shared.add(service));
      }
    }
  }
  return shared;
}
