/** Chooses the endpoint of a request from what a router knows of the fleet. */
import type { EndpointDirectory } from '../endpoints/endpoint-directory';
import type { EndpointEntry } from '../endpoints/serving-endpoint';
import { chooseServiceEndpoint } from '../endpoints/service-placement';
import { EnginePlacement } from '../engines/engine-placement';
import type { EngineReason } from '../engines/engine-placement';
import type { LoadEstimate } from '../engines/load-estimate';
import type { PartLocations } from '../engines/part-locations';
import type { ServiceHealth } from '../outliers/service-health';
import { sharedParts } from '../prompts/prompt-chain';
import type { Prompt } from '../prompts/prompt-chain';
import type { Random } from '../random/random';
import type { EndpointId, PromptPartId, ServiceId, ZoneId } from '../types/ids';
import type { Instant } from '../types/units';

export interface ChoiceQuery {
  readonly service: ServiceId;
  readonly prompt: Prompt | undefined;
  /** Endpoints that this request was at. */
  readonly tried: ReadonlySet<EndpointId>;
  readonly repeatable: boolean;
}

/** Why an endpoint was chosen. */
export type ChoiceReason = EngineReason | 'least-loaded' | 'last-resort';

export type EndpointChoice =
  | {
      readonly kind: 'endpoint';
      readonly entry: EndpointEntry;
      readonly reason: ChoiceReason;
      /** Requests of the whole fleet at the endpoint, as thought. */
      readonly load: number;
      /** Prompt tokens that the engine has to read, as thought. */
      readonly missing: number;
      /** Engine that hands over what the chosen one lacks. */
      readonly fetchFrom: EndpointEntry | undefined;
    }
  | { readonly kind: 'none'; readonly known: number };

export interface EndpointChooserOptions {
  readonly directory: EndpointDirectory;
  readonly loads: LoadEstimate;
  readonly locations: PartLocations;
  readonly health: ServiceHealth;
  readonly random: Random;
  readonly zone: ZoneId;
  /** Requests that other routers send to a service before their loads are heard of. */
  readonly unreported: (service: ServiceId, now: Instant) => number;
}

/** Health below the best one's at which calls that may not be repeated go elsewhere. */
const HEALTH_MARGIN = 0.25;
/** Health that counts as half speed at a plain service. */
const LEAST_SPEED = 0.1;

export class EndpointChooser {
  readonly #parts: EndpointChooserOptions;
  readonly #placement: EnginePlacement;

  constructor(
    parts: EndpointChooserOptions,
    placement: EnginePlacement = new EnginePlacement(),
  ) {
    this.#parts = parts;
    this.#placement = placement;
  }

  choose(query: ChoiceQuery, now: Instant): EndpointChoice {
    const known = this.#parts.directory.usable(query.service);
    const untried = known.filter(({ id }) => !query.tried.has(id));
    const healthy = untried.filter(({ id }) => this.#parts.health.accepts(id));
    const isLastResort = healthy.length === 0;
    const pool = isLastResort ? untried : healthy;
    const first = pool[0];
    if (!first) {
      return { kind: 'none', known: known.length };
    }
    const safe = query.repeatable ? pool : this.#healthiest(pool);
    const choice = query.prompt
      ? this.#chooseEngine(query.prompt, safe, now)
      : this.#chooseEndpoint(safe, now);
    return isLastResort ? { ...choice, reason: 'last-resort' } : choice;
  }

  /** Endpoints of a service that a request has not been at. */
  untried(service: ServiceId, tried: ReadonlySet<EndpointId>): number {
    return this.#parts.directory
      .usable(service)
      .filter(({ id }) => !tried.has(id)).length;
  }

  #healthiest(pool: readonly EndpointEntry[]): readonly EndpointEntry[] {
    const { health } = this.#parts;
    const best = Math.max(...pool.map(({ id }) => health.health(id)));
    return pool.filter(({ id }) => health.health(id) >= best - HEALTH_MARGIN);
  }

  #chooseEngine(
    prompt: Prompt,
    pool: readonly EndpointEntry[],
    now: Instant,
  ): Extract<EndpointChoice, { kind: 'endpoint' }> {
    const { loads, locations } = this.#parts;
    const candidates = pool.map(({ id, slots }) => ({
      id,
      slots,
      load: loads.total(id, now),
    }));
    const choice = this.#placement.choose(
      prompt,
      candidates,
      (part, engine) => locations.isAt(part, engine),
      part => this.#lender(part) !== undefined,
    );
    const entry = pool.find(({ id }) => id === choice?.id) ?? first(pool);
    const lacking = sharedParts(prompt)
      .filter(({ id }) => !locations.isAt(id, entry.id))
      .at(-1);
    return {
      kind: 'endpoint',
      entry,
      reason: choice?.reason ?? 'spilled',
      load: choice?.load ?? 0,
      missing: choice?.missing ?? 0,
      fetchFrom: lacking && this.#lender(lacking.id, entry.zone),
    };
  }

  /** Returns an engine in use that holds the part, one of the zone if there is any. */
  #lender(part: PromptPartId, zone?: ZoneId): EndpointEntry | undefined {
    const { directory, locations, health } = this.#parts;
    let lender: EndpointEntry | undefined;
    for (const [id, state] of locations.engines(part)) {
      const entry = directory.get(id);
      if (!entry || state !== 'held' || !health.accepts(id)) {
        continue;
      }
      if (entry.zone === zone) {
        return entry;
      }
      lender ??= entry;
    }
    return lender;
  }

  #chooseEndpoint(
    pool: readonly EndpointEntry[],
    now: Instant,
  ): Extract<EndpointChoice, { kind: 'endpoint' }> {
    const { loads, health, random, zone } = this.#parts;
    const candidates = pool.map(entry => ({
      id: entry.id,
      slots: entry.slots,
      load: loads.total(entry.id, now),
      near: entry.zone === zone,
      speed: Math.max(LEAST_SPEED, health.health(entry.id)),
    }));
    const service = first(pool).service;
    const id = chooseServiceEndpoint(
      candidates,
      this.#parts.unreported(service, now),
      () => random.fraction(),
    );
    const entry = pool.find(other => other.id === id) ?? first(pool);
    return {
      kind: 'endpoint',
      entry,
      reason: 'least-loaded',
      load: loads.total(entry.id, now),
      missing: 0,
      fetchFrom: undefined,
    };
  }
}

/** Callers make sure that the list is not empty. */
function first(pool: readonly EndpointEntry[]): EndpointEntry {
  const [entry] = pool;
  if (!entry) {
    throw new RangeError('there is no endpoint to choose from');
  }
  return entry;
}
