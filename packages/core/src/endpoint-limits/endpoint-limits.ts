/** What endpoints state about the load that they accept from the whole fleet. */
import type { EndpointEntry } from '../endpoints/endpoint-entry';
import type { EndpointId } from '../types/ids';
import type { Instant } from '../types/units';
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

  /** The limits of an endpoint; undefined if it states none. */
  of(entry: EndpointEntry): LimitedEndpoint | undefined {
    const perSecond = this.requests.perSecond(entry);
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
