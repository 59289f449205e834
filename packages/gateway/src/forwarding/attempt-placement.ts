/**
 * Chooses the endpoint of an attempt and obtains the permit for it if the endpoint
 * states a limit or is cold. Every attempt passes here: first ones, retries and continued streams.
 */
import type { EndpointLimits } from '@sesamegrade/core/endpoint-limits/endpoint-limits';
import type { PermitQuery } from '@sesamegrade/core/endpoint-limits/permit-query';
import type { PermitRefusals } from '@sesamegrade/core/endpoint-limits/permit-refusals';
import type {
  ChoiceQuery,
  EndpointChoice,
  EndpointChooser,
} from '@sesamegrade/core/forwarding/endpoint-chooser';
import type { EndpointEntry } from '@sesamegrade/core/endpoints/endpoint-entry';
import type { TimerService } from '@sesamegrade/core/time/timer-service';
import { requestId } from '@sesamegrade/core/types/ids';
import type { EndpointId, TeamId } from '@sesamegrade/core/types/ids';
import { milliseconds } from '@sesamegrade/core/types/units';
import type { Milliseconds } from '@sesamegrade/core/types/units';
import type { GatewaySettings } from '@sesamegrade/settings/gateway-schema';
import type { FleetPermits, IssuedPermit } from '../permits/fleet-permits';

/** Share of the latency goal for which a request may wait for a permit. */
const MAX_WAIT_PER_GOAL = 0.5;

/** Time beyond the deadline of a request after which its permit lapses. */
const LIFETIME_MARGIN: Milliseconds = milliseconds(500);

/**
 * Cold endpoints that one query names. Placement prefers them as they are empty, and each
 * router would otherwise ask for each of them in turn.
 */
const MAX_COLD_CANDIDATES = 8;

/** What decides how long and before whom a request waits. */
export interface PlacementClaim {
  readonly team: TeamId;
  /** 0 is the most urgent. */
  readonly rank: number;
  readonly goal: Milliseconds;
  readonly remaining: Milliseconds;
}

export type Placement =
  | {
      readonly kind: 'endpoint';
      readonly choice: Extract<EndpointChoice, { kind: 'endpoint' }>;
      /** Undefined if the endpoint has no limit. */
      readonly permit: IssuedPermit | undefined;
    }
  | {
      readonly kind: 'none';
      /** Expected time until a permit; undefined if no endpoint has a limit. */
      readonly retryAfter: Milliseconds | undefined;
    };

export interface AttemptPlacementOptions {
  readonly settings: GatewaySettings;
  readonly chooser: EndpointChooser;
  readonly endpointLimits: EndpointLimits;
  readonly permitRefusals: PermitRefusals;
  readonly fleetPermits: Pick<FleetPermits, 'request'>;
  readonly timers: TimerService;
}

export class AttemptPlacement {
  readonly #options: AttemptPlacementOptions;
  #queryCount = 0;

  constructor(options: AttemptPlacementOptions) {
    this.#options = options;
  }

  async place(query: ChoiceQuery, claim: PlacementClaim): Promise<Placement> {
    const { chooser, endpointLimits, permitRefusals, timers } = this.#options;
    let eligible = query;
    for (;;) {
      const choice = chooser.choose(eligible, timers.now());
      const isLimited =
        choice.kind === 'endpoint' &&
        endpointLimits.of(choice.entry) !== undefined;
      if (choice.kind === 'endpoint' && !isLimited) {
        return { kind: 'endpoint', choice, permit: undefined };
      }
      if (
        choice.kind === 'none' ||
        chooser.unlimited(query, timers.now()) === 0
      ) {
        return this.#placeAtAny(query, claim, choice);
      }
      const candidates = this.#candidates(query, choice.entry);
      const { answer, permit } = await this.#requestPermit(
        query,
        claim,
        candidates,
        milliseconds(0),
      );
      if (answer.kind === 'granted' && answer.endpoint === choice.entry.id) {
        return { kind: 'endpoint', choice, permit };
      }
      if (answer.kind === 'granted') {
        return this.#placeAtGranted(query, claim, answer.endpoint, permit);
      }
      for (const { id } of candidates) {
        permitRefusals.addEndpoint(id, answer.retryAfter, timers.now());
      }
      if (endpointLimits.isCold(choice.entry)) {
        eligible = this.#withoutCold(query);
      }
    }
  }

  /** The endpoint that was chosen, and others that will do as well if it is cold. */
  #candidates(
    query: ChoiceQuery,
    chosen: EndpointEntry,
  ): readonly EndpointEntry[] {
    const { chooser, endpointLimits, permitRefusals, timers } = this.#options;
    if (!endpointLimits.isCold(chosen)) {
      return [chosen];
    }
    const now = timers.now();
    const others = chooser
      .limited(query, now)
      .filter(
        entry =>
          entry.id !== chosen.id &&
          endpointLimits.isCold(entry) &&
          permitRefusals.remaining(entry.id, now) === 0,
      );
    return [chosen, ...others].slice(0, MAX_COLD_CANDIDATES);
  }

  /** The query of a request that was refused a permit for cold endpoints and asks for no other one. */
  #withoutCold(query: ChoiceQuery): ChoiceQuery {
    const { endpointLimits } = this.#options;
    return {
      ...query,
      accepts: entry =>
        !endpointLimits.isCold(entry) && (query.accepts?.(entry) ?? true),
    };
  }

  #placeAtGranted(
    query: ChoiceQuery,
    claim: PlacementClaim,
    endpoint: EndpointId,
    permit: IssuedPermit | undefined,
  ): Promise<Placement> | Placement {
    const { chooser, timers } = this.#options;
    const choice = chooser.choose({ ...query, only: endpoint }, timers.now());
    if (choice.kind === 'endpoint') {
      return { kind: 'endpoint', choice, permit };
    }
    // The endpoint has left meanwhile.
    permit?.release(false);
    return this.place(query, claim);
  }

  /** Places a request that can only go to endpoints with a limit; it may wait for the first permit of any. */
  async #placeAtAny(
    query: ChoiceQuery,
    claim: PlacementClaim,
    preferred: EndpointChoice,
  ): Promise<Placement> {
    const { chooser, permitRefusals, timers } = this.#options;
    const entries = chooser.limited(query, timers.now());
    if (entries.length === 0) {
      return { kind: 'none', retryAfter: undefined };
    }
    const known = permitRefusals.ofService(
      query.service,
      claim.rank,
      timers.now(),
    );
    if (known !== undefined) {
      return { kind: 'none', retryAfter: known };
    }
    const preferredId =
      preferred.kind === 'endpoint' ? preferred.entry.id : undefined;
    const { answer, permit } = await this.#requestPermit(
      query,
      claim,
      preferredFirst(entries, preferredId),
      milliseconds(
        Math.min(claim.goal * MAX_WAIT_PER_GOAL, claim.remaining / 2),
      ),
    );
    if (answer.kind === 'refused') {
      permitRefusals.addService(
        query.service,
        claim.rank,
        answer.retryAfter,
        timers.now(),
      );
      return { kind: 'none', retryAfter: answer.retryAfter };
    }
    return this.#placeAtGranted(query, claim, answer.endpoint, permit);
  }

  #requestPermit(
    { service }: ChoiceQuery,
    { rank, team, remaining }: PlacementClaim,
    entries: readonly EndpointEntry[],
    maxWait: Milliseconds,
  ): ReturnType<FleetPermits['request']> {
    const { fleetPermits, endpointLimits, settings } = this.#options;
    this.#queryCount += 1;
    const query: PermitQuery = {
      request: requestId(`${settings.router.id}/${this.#queryCount}`),
      service,
      endpoints: entries.flatMap(entry => endpointLimits.of(entry) ?? []),
      rank,
      team,
      maxWait,
      lifetime: milliseconds(remaining + LIFETIME_MARGIN),
    };
    return fleetPermits.request(query);
  }
}

function preferredFirst(
  entries: readonly EndpointEntry[],
  preferred: EndpointId | undefined,
): readonly EndpointEntry[] {
  return entries.toSorted(
    (left, right) =>
      Number(right.id === preferred) - Number(left.id === preferred),
  );
}
