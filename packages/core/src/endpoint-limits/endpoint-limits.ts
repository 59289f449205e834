/** The load that endpoints accept from the whole fleet: what they state, and less while they are cold. */
import type { EndpointEntry } from '../endpoints/endpoint-entry';
import type { EndpointId } from '../types/ids';
import type { Instant } from '../types/units';
import type { ColdEndpoints } from './cold-endpoints';
import type { LimitedEndpoint } from './permit-query';
import type { RateStatement } from './rate-statement';
import { StatedRates } from './stated-rates';
import type { RateChange } from './stated-rates';

export interface LimitStatement {
  /** Requests a second that the endpoint accepts. */
  readonly requestLimit: RateStatement;
  /** Rejections a second beyond which the endpoint falls over. */
  readonly rejectionLimit: RateStatement;
}

export interface LimitChange extends RateChange {
  /** What the rate is of. */
  readonly rateOf: 'requests' | 'rejections';
}

export class EndpointLimits {
  readonly requests = new StatedRates();
  readonly rejections = new StatedRates();
  readonly #coldEndpoints: Pick<ColdEndpoints, 'permitRate'> | undefined;

  /** Without `coldEndpoints` only the limits apply that endpoints state. */
  constructor(coldEndpoints?: Pick<ColdEndpoints, 'permitRate'>) {
    this.#coldEndpoints = coldEndpoints;
  }

  /** Calls the listener with each change. */
  onChanged(listener: (change: LimitChange) => void): void {
    this.requests.onChanged(change => {
      listener({ ...change, rateOf: 'requests' });
    });
    this.rejections.onChanged(change => {
      listener({ ...change, rateOf: 'rejections' });
    });
  }

  /** Whether there are changes to send to peers. */
  get hasChanges(): boolean {
    return this.requests.hasChanges || this.rejections.hasChanges;
  }

  /** Whether an endpoint accepts less than it states, as it is cold. */
  isCold(entry: EndpointEntry): boolean {
    return this.#coldEndpoints?.permitRate(entry) !== undefined;
  }

  /** The limits of an endpoint; undefined if it states none and is not cold. */
  of(entry: EndpointEntry): LimitedEndpoint | undefined {
    const perSecond = lowerOf(
      this.requests.perSecond(entry),
      this.#coldEndpoints?.permitRate(entry),
    );
    const rejections = this.rejections.perSecond(entry);
    return perSecond === undefined && rejections === undefined
      ? undefined
      : {
          id: entry.id,
          perSecond,
          concurrent: rejections === undefined ? undefined : entry.slots,
        };
  }

  /** Applies the statements of a response to a request that was sent at a time. */
  onStatement(
    entry: EndpointEntry,
    { requestLimit, rejectionLimit }: LimitStatement,
    sentAt: Instant,
    now: Instant,
  ): void {
    this.requests.onStatement(entry, requestLimit, sentAt, now);
    this.rejections.onStatement(entry, rejectionLimit, sentAt, now);
  }

  /** Drops what an endpoint stated that is gone or was restarted. */
  remove(endpoint: EndpointId): void {
    this.requests.remove(endpoint);
    this.rejections.remove(endpoint);
  }
}

function lowerOf(
  left: number | undefined,
  right: number | undefined,
): number | undefined {
  return left === undefined || right === undefined
    ? (left ?? right)
    : Math.min(left, right);
}
