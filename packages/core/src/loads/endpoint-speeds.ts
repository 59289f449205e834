/**
 * Keeps what each endpoint that states its speed last reported of itself: this speed, and its
 * running and waiting requests. Both lose their weight with the age of the report, as the speed of an endpoint
 * lasts for parts of a second, and the other routers' counts are renewed in that time.
 */
import type { EndpointId } from '../types/ids';
import { elapsed, milliseconds } from '../types/units';
import type { Instant, Milliseconds } from '../types/units';

export interface SpeedReport {
  /** Running and waiting requests of other routers. */
  readonly others: number;
  /** Time that work takes, as a multiple of the usual time. */
  readonly slowdown: number;
}

export interface EndpointSpeedsOptions {
  /** Weight of a report at its arrival, as it is 100 to 200 ms old by then. */
  readonly initialWeight: number;
  /**
   * Time after its arrival at which a report has lost all its weight for the speed, and for a
   * count that is lower than the peers' counts.
   */
  readonly decayTime: Milliseconds;
  /** The same for a count that is higher than the peers' counts. */
  readonly excessDecayTime: Milliseconds;
  /** Requests by which a report may lower the count that the peers report. */
  readonly maxReduction: number;
  /** The same as a part of that count. */
  readonly maxReductionShare: number;
}

/**
 * An engine's speed lasts for 0.6 s, of which up to 0.2 s are over when the report arrives. What
 * the peers do not count lasts as long as a request. The bound on the reduction limits what a false
 * report attracts; it is below the slack of the limit on uneven load, 3 requests.
 */
export const DEFAULT_ENDPOINT_SPEEDS_OPTIONS: EndpointSpeedsOptions = {
  initialWeight: 0.67,
  decayTime: milliseconds(400),
  excessDecayTime: milliseconds(2000),
  maxReduction: 2,
  maxReductionShare: 0.25,
};

interface Known extends SpeedReport {
  readonly at: Instant;
}

const FULL_SPEED = 1;

export class EndpointSpeeds {
  readonly #options: EndpointSpeedsOptions;
  readonly #reports = new Map<EndpointId, Known>();

  constructor(
    options: EndpointSpeedsOptions = DEFAULT_ENDPOINT_SPEEDS_OPTIONS,
  ) {
    this.#options = options;
  }

  onReport(endpoint: EndpointId, report: SpeedReport, now: Instant): void {
    this.#reports.set(endpoint, { ...report, at: now });
  }

  remove(endpoint: EndpointId): void {
    this.#reports.delete(endpoint);
  }

  /**
   * Fraction, in 0..1, of its usual speed at which the endpoint runs. An endpoint that reports to
   * be faster than usual counts as usual, so that a false report attracts nothing. Returns
   * undefined if the endpoint has stated no speed.
   */
  speed(endpoint: EndpointId, now: Instant): number | undefined {
    const known = this.#reports.get(endpoint);
    if (!known) {
      return undefined;
    }
    if (known.slowdown <= 1) {
      return FULL_SPEED;
    }
    const slowdown =
      1 +
      (known.slowdown - 1) * this.#weight(known, this.#options.decayTime, now);
    return FULL_SPEED / slowdown;
  }

  /**
   * Requests to be added to the number of other routers' requests that the peers' counts show;
   * negative if the endpoint reported fewer.
   */
  correction(endpoint: EndpointId, counted: number, now: Instant): number {
    const known = this.#reports.get(endpoint);
    if (!known) {
      return 0;
    }
    const { decayTime, excessDecayTime, maxReduction, maxReductionShare } =
      this.#options;
    const difference = known.others - counted;
    if (difference >= 0) {
      return difference * this.#weight(known, excessDecayTime, now);
    }
    const most = Math.min(maxReduction, counted * maxReductionShare);
    return Math.max(-most, difference) * this.#weight(known, decayTime, now);
  }

  #weight({ at }: Known, decayTime: Milliseconds, now: Instant): number {
    const age = Math.max(0, elapsed(at, now));
    return this.#options.initialWeight * Math.max(0, 1 - age / decayTime);
  }
}
