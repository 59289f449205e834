/** Chooses the endpoint of a request from this router's state of the fleet. */
import type { EndpointLimits } from '../endpoint-limits/endpoint-limits';
import type { PermitRefusals } from '../endpoint-limits/permit-refusals';
import type { EndpointDirectory } from '../endpoints/endpoint-directory';
import type { EndpointEntry } from '../endpoints/endpoint-entry';
import type { EvacuatedZones } from '../endpoints/evacuated-zones';
import type { RefusalHolds } from '../endpoints/refusal-holds';
import { chooseServiceEndpoint } from '../endpoints/service-placement';
import { EnginePlacement } from '../engines/engine-placement';
import { SubjectShares } from '../loads/subject-shares';
import { estimateUnseen } from '../loads/unseen-requests';
import type { UnseenRequests } from '../loads/unseen-requests';
import type { EngineReason } from '../engines/engine-placement';
import type { LoadEstimate } from '../engines/load-estimate';
import type { PartLocations } from '../engines/part-locations';
import type { ServiceHealth } from '../outliers/service-health';
import { sharedParts, subjectPart } from '../prompts/prompt-chain';
import type { Prompt } from '../prompts/prompt-chain';
import type { StreamAdmission } from '../software-versions/stream-admission';
import type { Random } from '../random/random';
import type { EndpointId, PromptPartId, ServiceId, ZoneId } from '../types/ids';
import { milliseconds } from '../types/units';
import type { Instant, Milliseconds } from '../types/units';

/** Returns whether an endpoint may run a request. */
export type EndpointFilter = (entry: EndpointEntry) => boolean;

export interface ChoiceQuery {
  readonly service: ServiceId;
  readonly prompt: Prompt | undefined;
  /** Endpoints at which the request was already attempted. */
  readonly tried: ReadonlySet<EndpointId>;
  readonly repeatable: boolean;
  /** The endpoints that may be chosen; all if undefined. */
  readonly accepts?: EndpointFilter | undefined;
  /** Whether the request begins a stream that may be resumed later. */
  readonly beginsStream?: boolean;
  /** The only endpoint that may be chosen, as it has granted a permit. */
  readonly only?: EndpointId;
}

/** Why an endpoint was chosen. */
export type ChoiceReason = EngineReason | 'least-loaded' | 'last-resort';

export type EndpointChoice =
  | {
      readonly kind: 'endpoint';
      readonly entry: EndpointEntry;
      readonly reason: ChoiceReason;
      /** Estimated number of requests of the whole fleet at the endpoint. */
      readonly load: number;
      /** Estimated number of prompt tokens that are not in the engine's cache. */
      readonly missing: number;
      /** Fraction of its usual speed, by its own report, at which the endpoint was taken to run. */
      readonly speed: number;
      /** Engine from which the chosen one can fetch cached prompt parts that it lacks. */
      readonly fetchFrom: EndpointEntry | undefined;
    }
  | { readonly kind: 'none'; readonly known: number };

/** The endpoints of a service that a request has not been attempted at. */
export interface UntriedQuery {
  readonly service: ServiceId;
  readonly tried: ReadonlySet<EndpointId>;
  readonly accepts?: EndpointFilter | undefined;
}

/** The endpoints with a limit that may be chosen. */
type LimitedQuery = UntriedQuery & Pick<ChoiceQuery, 'beginsStream'>;

export interface EndpointChooserOptions {
  readonly endpointDirectory: EndpointDirectory;
  readonly evacuatedZones: Pick<EvacuatedZones, 'size' | 'includes'>;
  readonly loads: LoadEstimate;
  readonly locations: PartLocations;
  readonly health: ServiceHealth;
  readonly holds: RefusalHolds;
  readonly endpointLimits: EndpointLimits;
  readonly permitRefusals: PermitRefusals;
  readonly streamAdmission: Pick<StreamAdmission, 'prefer'>;
  readonly random: Random;
  readonly zone: ZoneId;
  /**
   * Estimated number of requests that other routers begin at a service before this router
   * learns of them.
   */
  readonly unreported: (service: ServiceId, now: Instant) => number;
}

/**
 * Calls that may not be repeated go only to endpoints whose health is within
 * this margin of the best.
 */
const HEALTH_MARGIN = 0.25;
/** Lower bound of the speed that is derived from the health of a plain service's endpoint. */
const MIN_SPEED = 0.1;

export class EndpointChooser {
  readonly #options: EndpointChooserOptions;
  readonly #placement: EnginePlacement;
  readonly #subjectShares = new SubjectShares();

  constructor(
    options: EndpointChooserOptions,
    placement: EnginePlacement = new EnginePlacement(),
  ) {
    this.#options = options;
    this.#placement = placement;
  }

  /** Records a request that has arrived, before its endpoint is chosen. */
  recordPrompt(service: ServiceId, prompt: Prompt, now: Instant): void {
    const subject = subjectPart(prompt);
    if (subject) {
      this.#subjectShares.record(service, subject.id, now);
    }
  }

  choose(query: ChoiceQuery, now: Instant): EndpointChoice {
    const known = this.#usable(query.service);
    const untried =
      query.only === undefined
        ? this.#preferred(this.#untried(known, query, now), query, now)
        : known.filter(({ id }) => id === query.only);
    const healthy = untried.filter(({ id }) =>
      this.#options.health.accepts(id),
    );
    const isLastResort = healthy.length === 0;
    const pool = isLastResort ? untried : healthy;
    const first = pool[0];
    if (!first) {
      return { kind: 'none', known: known.length };
    }
    const eligible = query.repeatable ? pool : this.#healthiest(pool);
    const choice = query.prompt
      ? this.#chooseEngine(query.prompt, eligible, now)
      : this.#chooseEndpoint(eligible, now);
    return isLastResort ? { ...choice, reason: 'last-resort' } : choice;
  }

  /** Number of endpoints that take a request which has not been attempted there. */
  untried(query: UntriedQuery, now: Instant): number {
    const known = this.#usable(query.service);
    return this.#untried(known, query, now).length;
  }

  /** Number of endpoints that take the request and state no limit. */
  unlimited(query: UntriedQuery, now: Instant): number {
    const { endpointLimits } = this.#options;
    const known = this.#usable(query.service);
    return this.#untried(known, query, now).filter(
      entry => endpointLimits.of(entry) === undefined,
    ).length;
  }

  /**
   * Endpoints with a limit that take the request, also those that had no permit
   * lately; only healthy ones if there are any.
   */
  limited(query: LimitedQuery, now: Instant): readonly EndpointEntry[] {
    const { endpointLimits, holds, health } = this.#options;
    const limited = this.#usable(query.service).filter(
      entry =>
        !query.tried.has(entry.id) &&
        isAccepted(query, entry) &&
        holds.remaining(entry.id, now) === 0 &&
        endpointLimits.of(entry) !== undefined,
    );
    const preferred = this.#preferred(limited, query, now);
    const healthy = preferred.filter(({ id }) => health.accepts(id));
    return healthy.length > 0 ? healthy : preferred;
  }

  /**
   * Time until the first endpoint of a service takes requests again; undefined
   * if one takes them now or there is none.
   */
  holdTime(service: ServiceId, now: Instant): Milliseconds | undefined {
    const { holds, permitRefusals } = this.#options;
    const times = this.#usable(service).map(({ id }) =>
      Math.max(holds.remaining(id, now), permitRefusals.remaining(id, now)),
    );
    const shortest = Math.min(...times);
    return times.length > 0 && shortest > 0
      ? milliseconds(shortest)
      : undefined;
  }

  /** The endpoints of a service that take requests, without those of evacuated zones. */
  #usable(service: ServiceId): readonly EndpointEntry[] {
    const { endpointDirectory, evacuatedZones } = this.#options;
    const usable = endpointDirectory.usable(service);
    return evacuatedZones.size === 0
      ? usable
      : usable.filter(({ zone }) => !evacuatedZones.includes(zone));
  }

  #untried(
    known: readonly EndpointEntry[],
    query: UntriedQuery,
    now: Instant,
  ): EndpointEntry[] {
    const { holds, permitRefusals } = this.#options;
    return known.filter(
      entry =>
        !query.tried.has(entry.id) &&
        isAccepted(query, entry) &&
        holds.remaining(entry.id, now) === 0 &&
        permitRefusals.remaining(entry.id, now) === 0,
    );
  }

  #preferred(
    pool: readonly EndpointEntry[],
    { beginsStream = false }: LimitedQuery,
    now: Instant,
  ): readonly EndpointEntry[] {
    return beginsStream
      ? this.#options.streamAdmission.prefer(pool, now)
      : pool;
  }

  #healthiest(pool: readonly EndpointEntry[]): readonly EndpointEntry[] {
    const { health } = this.#options;
    const best = Math.max(...pool.map(({ id }) => health.health(id)));
    return pool.filter(({ id }) => health.health(id) >= best - HEALTH_MARGIN);
  }

  #chooseEngine(
    prompt: Prompt,
    pool: readonly EndpointEntry[],
    now: Instant,
  ): Extract<EndpointChoice, { kind: 'endpoint' }> {
    const { loads, locations, random } = this.#options;
    const candidates = pool.map(({ id, slots }) => ({
      id,
      slots,
      ...loads.view(id, now),
    }));
    const subject = subjectPart(prompt);
    const { service } = first(pool);
    const choice = this.#placement.choose(
      prompt,
      candidates,
      (part, engine) => locations.isAt(part, engine),
      part => this.#sourceOf(part) !== undefined,
      {
        unseen: this.#unseen(service, candidates, now),
        subjectShare: subject
          ? this.#subjectShares.shareOfOthers(service, subject.id, now)
          : 0,
        random,
      },
    );
    const entry = pool.find(({ id }) => id === choice?.id) ?? first(pool);
    const missingPart = sharedParts(prompt)
      .filter(({ id }) => !locations.isAt(id, entry.id))
      .at(-1);
    return {
      kind: 'endpoint',
      entry,
      reason: choice?.reason ?? 'spilled',
      load: choice?.load ?? 0,
      missing: choice?.missing ?? 0,
      speed: choice?.speed ?? 1,
      fetchFrom: missingPart && this.#sourceOf(missingPart.id, entry.zone),
    };
  }

  #unseen(
    service: ServiceId,
    candidates: readonly { readonly others: number }[],
    now: Instant,
  ): UnseenRequests {
    const seen = candidates.reduce((sum, { others }) => sum + others, 0);
    return estimateUnseen(this.#options.unreported(service, now), seen);
  }

  /** Returns a healthy engine that has cached the part, one of the zone if there is one. */
  #sourceOf(part: PromptPartId, zone?: ZoneId): EndpointEntry | undefined {
    const { endpointDirectory, evacuatedZones, locations, health } =
      this.#options;
    let source: EndpointEntry | undefined;
    for (const [id, state] of locations.engines(part)) {
      const entry = endpointDirectory.get(id);
      const isSource =
        entry !== undefined &&
        state === 'held' &&
        health.accepts(id) &&
        !evacuatedZones.includes(entry.zone);
      if (!isSource) {
        continue;
      }
      if (entry.zone === zone) {
        return entry;
      }
      source ??= entry;
    }
    return source;
  }

  #chooseEndpoint(
    pool: readonly EndpointEntry[],
    now: Instant,
  ): Extract<EndpointChoice, { kind: 'endpoint' }> {
    const { loads, health, random, zone } = this.#options;
    const candidates = pool.map(entry => {
      const view = loads.view(entry.id, now);
      return {
        ...view,
        id: entry.id,
        slots: entry.slots,
        near: entry.zone === zone,
        speed: Math.max(MIN_SPEED, health.health(entry.id)) * (view.speed ?? 1),
      };
    });
    const service = first(pool).service;
    const id = chooseServiceEndpoint(
      candidates,
      this.#unseen(service, candidates, now),
      () => random.fraction(),
    );
    const entry = pool.find(other => other.id === id) ?? first(pool);
    return {
      kind: 'endpoint',
      entry,
      reason: 'least-loaded',
      load: loads.total(entry.id, now),
      missing: 0,
      speed: loads.view(entry.id, now).speed ?? 1,
      fetchFrom: undefined,
    };
  }
}

function isAccepted({ accepts }: UntriedQuery, entry: EndpointEntry): boolean {
  return accepts === undefined || accepts(entry);
}

/** Returns the first entry; the list must not be empty. */
function first(pool: readonly EndpointEntry[]): EndpointEntry {
  const [entry] = pool;
  if (!entry) {
    throw new RangeError('cannot choose from an empty list of endpoints');
  }
  return entry;
}
