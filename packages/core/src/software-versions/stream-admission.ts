/**
 * Decides at which endpoints new streams begin that may be resumed later. While the store
 * takes no records, only endpoints of the default version begin streams, as a router that
 * has lost its memory takes every stream without a record for one of that version.
 */
import type { EndpointEntry } from '../endpoints/endpoint-entry';
import type { Instant } from '../types/units';
import type { DefaultVersions } from './default-versions';

export interface StreamAdmissionOptions {
  readonly defaultVersions: Pick<DefaultVersions, 'mayLackRecord' | 'has'>;
  /** Whether the store is expected to take records of streams. */
  readonly takesRecords: () => boolean;
}

export class StreamAdmission {
  readonly #options: StreamAdmissionOptions;

  constructor(options: StreamAdmissionOptions) {
    this.#options = options;
  }

  /** Returns the endpoints at which new streams may begin. */
  prefer(
    entries: readonly EndpointEntry[],
    now: Instant,
  ): readonly EndpointEntry[] {
    if (this.#options.takesRecords()) {
      return entries;
    }
    const { defaultVersions } = this.#options;
    return entries.filter(
      ({ service, softwareVersion }) =>
        (softwareVersion === undefined && !defaultVersions.has(service)) ||
        defaultVersions.mayLackRecord(service, softwareVersion, now),
    );
  }
}
