/**
 * Decides at which endpoints new streams begin that may be resumed later. A version that
 * is new to its service waits until the store lists it: if all routers lose their memory
 * and its endpoints are gone as well, the list is all that tells of these streams.
 */
import type { EndpointEntry } from '../endpoints/endpoint-entry';
import { elapsed, seconds } from '../types/units';
import type { Instant, Milliseconds } from '../types/units';
import type { VersionHistory } from './version-history';

/**
 * Time after which a version is used that the store does not list: another router has
 * taken over from a writer that fell silent by then.
 */
const MAX_RECORDING_TIME: Milliseconds = seconds(3);

export class StreamAdmission {
  readonly #history: VersionHistory;

  constructor(history: VersionHistory) {
    this.#history = history;
  }

  /** Returns the endpoints at which new streams may begin; all if there is none. */
  prefer(
    entries: readonly EndpointEntry[],
    now: Instant,
  ): readonly EndpointEntry[] {
    const admitted = entries.filter(entry => this.#isAdmitted(entry, now));
    return admitted.length > 0 ? admitted : entries;
  }

  #isAdmitted(
    { service, softwareVersion }: EndpointEntry,
    now: Instant,
  ): boolean {
    if (this.#history.isRecorded(service, softwareVersion)) {
      return true;
    }
    const since = this.#history.presentSince(service, softwareVersion);
    return since !== undefined && elapsed(since, now) >= MAX_RECORDING_TIME;
  }
}
