/**
 * Decides at which endpoints new streams begin that may be resumed later. A version that
 * is new to its service waits until the store lists it: if all routers lose their memory
 * and its endpoints are gone as well, the list is all that tells of these streams.
 */
import type { EndpointDirectory } from '../endpoints/endpoint-directory';
import type { EndpointEntry } from '../endpoints/endpoint-entry';
import type { ServiceId } from '../types/ids';
import { elapsed, milliseconds, seconds } from '../types/units';
import type { Instant, Milliseconds } from '../types/units';
import type { VersionHistory } from './version-history';

/** Time after which a version is used that the store does not list, as it may not be writable. */
const MAX_RECORDING_TIME: Milliseconds = seconds(1);
/** Time for which it is remembered whether a service has endpoints of a listed version. */
const CHECK_PERIOD: Milliseconds = milliseconds(50);

interface Check {
  readonly madeAt: Instant;
  readonly hasRecorded: boolean;
}

export interface StreamAdmissionOptions {
  readonly versionHistory: VersionHistory;
  readonly endpointDirectory: Pick<EndpointDirectory, 'usable'>;
}

export class StreamAdmission {
  readonly #options: StreamAdmissionOptions;
  readonly #checks = new Map<ServiceId, Check>();

  constructor(options: StreamAdmissionOptions) {
    this.#options = options;
  }

  /** Whether new streams may begin at an endpoint. */
  accepts({ service, softwareVersion }: EndpointEntry, now: Instant): boolean {
    const { versionHistory } = this.#options;
    if (versionHistory.isRecorded(service, softwareVersion)) {
      return true;
    }
    const firstSeenAt = versionHistory.firstSeenAt(service, softwareVersion);
    const isLate =
      firstSeenAt !== undefined &&
      elapsed(firstSeenAt, now) >= MAX_RECORDING_TIME;
    return isLate || !this.#hasRecorded(service, now);
  }

  /** Whether the service has a usable endpoint of a version that the store lists. */
  #hasRecorded(service: ServiceId, now: Instant): boolean {
    const { versionHistory, endpointDirectory } = this.#options;
    const last = this.#checks.get(service);
    if (last && elapsed(last.madeAt, now) < CHECK_PERIOD) {
      return last.hasRecorded;
    }
    const hasRecorded = endpointDirectory
      .usable(service)
      .some(entry => versionHistory.isRecorded(service, entry.softwareVersion));
    this.#checks.set(service, { madeAt: now, hasRecorded });
    return hasRecorded;
  }
}
