/** Request counters of the router, for the operators' status and for statsd. */
import { StatsD } from 'hot-shots';

import type { Refusal, Request } from '@sesamegrade/core/requests/types';
import type { Outcome } from '@sesamegrade/core/types/outcome';
import type { RefusalReason } from '@sesamegrade/core/types/refusal';
import type { Settings } from '@sesamegrade/settings/schema';
import { RequestCounter } from '../dispatch/request-dispatcher';

/** Totals since the start of the process. */
export interface Totals {
  readonly accepted: number;
  readonly finished: number;
  readonly refused: Readonly<Record<string, number>>;
  readonly outcomes: Readonly<Record<Outcome, number>>;
}

/** Creates the statsd client by the settings; with port 0 it sends nothing. */
export function createStatsd({ metrics, router }: Settings): StatsD {
  const isDisabled = metrics.statsd_port === 0;
  return new StatsD({
    host: metrics.statsd_host,
    ...(isDisabled ? {} : { port: metrics.statsd_port }),
    prefix: metrics.prefix,
    globalTags: { router: router.id, zone: router.zone },
    mock: isDisabled,
    // An error while sending a metric must not end the process.
    errorHandler: () => undefined,
  });
}

export class Counters extends RequestCounter {
  readonly #statsd: StatsD;
  readonly #refused = new Map<string, number>();
  readonly #outcomes = { not_run: 0, ran: 0, unknown: 0 };
  #accepted = 0;
  #finished = 0;

  constructor(options: { readonly statsd: StatsD }) {
    super();
    this.#statsd = options.statsd;
  }

  get totals(): Totals {
    return {
      accepted: this.#accepted,
      finished: this.#finished,
      refused: Object.fromEntries(this.#refused),
      outcomes: { ...this.#outcomes },
    };
  }

  override countAccepted(request: Request): void {
    this.#accepted += 1;
    this.#statsd.increment('requests.accepted', { team: request.team });
  }

  override countFinished(request: Request): void {
    this.#finished += 1;
    this.#statsd.increment('requests.finished', { team: request.team });
  }

  override countRefused(request: Request, refusal: Refusal): void {
    this.#outcomes[refusal.outcome] += 1;
    this.#countRefusal(refusal.reason.kind);
    this.#statsd.increment('requests.refused', {
      team: request.team,
      reason: refusal.reason.kind,
      outcome: refusal.outcome,
    });
  }

  /** Counts an HTTP request that was refused before it was accepted. */
  countRefusedUnaccepted(reason: RefusalReason['kind']): void {
    this.#outcomes.not_run += 1;
    this.#countRefusal(reason);
    this.#statsd.increment('requests.refused', { reason, outcome: 'not_run' });
  }

  /** Sends the current value of a gauge. */
  gauge(name: string, value: number): void {
    this.#statsd.gauge(name, value);
  }

  #countRefusal(reason: string): void {
    this.#refused.set(reason, (this.#refused.get(reason) ?? 0) + 1);
  }
}
