/** Compares the share of resumed streams that go on with that of new streams that begin. */
import type { SoakViolation } from './soak-invariant-checker';

/** One request for a stream at a router in touch. */
export interface StreamRequest {
  readonly isResumption: boolean;
  /** Endpoints of the version that began a resumed stream, from the request to the response. */
  readonly endpoints: number;
  /** Whether the response had events, or was complete. */
  readonly isServed: boolean;
}

export interface ShareCounts {
  readonly count: number;
  readonly served: number;
}

/** Endpoints of its version with which a stream must go on. */
const MIN_ENDPOINTS = 2;
/** Least number of resumed streams judged. */
const MIN_JUDGED = 12;
/** Least share of resumed streams that go on, as a part of that of new ones that begin. */
const MIN_RATIO = 0.5;

export class ResumptionShare {
  readonly #requests: StreamRequest[] = [];

  record(request: StreamRequest): void {
    this.#requests.push(request);
  }

  counts(): Readonly<Record<'begun' | 'resumed', ShareCounts>> {
    return {
      begun: countsOf(this.#requests.filter(each => !each.isResumption)),
      resumed: countsOf(
        this.#requests.filter(
          each => each.isResumption && each.endpoints >= MIN_ENDPOINTS,
        ),
      ),
    };
  }

  violations(): SoakViolation[] {
    const { begun, resumed } = this.counts();
    if (
      resumed.count < MIN_JUDGED ||
      shareOf(resumed) >= MIN_RATIO * shareOf(begun)
    ) {
      return [];
    }
    const detail = `${resumed.served} of ${resumed.count} went on, ${begun.served} of ${begun.count} new ones began`;
    return [{ promise: 'resumption-share', request: 'take-ups', detail }];
  }
}

function countsOf(requests: readonly StreamRequest[]): ShareCounts {
  const served = requests.filter(({ isServed }) => isServed).length;
  return { count: requests.length, served };
}

function shareOf({ count, served }: ShareCounts): number {
  return count === 0 ? 0 : served / count;
}
