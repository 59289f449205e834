/**
 * How many events runs of a content had sent when their endpoints crashed. A later run that
 * has sent more shows that the content did not cause the crash.
 */
import type { Fingerprint } from '../types/ids';
import type { CrashId } from './suspect';

/** Events that a run must have sent in any case to show that. */
const MIN_EVENTS = 2;

/** A content, a crash, and the largest number of events of a run of the content that it ended. */
export type CrashReach = readonly [Fingerprint, CrashId, number];

export class CrashReaches {
  readonly #byContent = new Map<Fingerprint, Map<CrashId, number>>();

  /** Records a run; returns true if it had sent more events than those before. */
  record([id, crash, events]: CrashReach): boolean {
    const reaches = this.#byContent.get(id) ?? new Map<CrashId, number>();
    const known = reaches.get(crash);
    if (known !== undefined && known >= events) {
      return false;
    }
    this.#byContent.set(id, reaches.set(crash, events));
    return true;
  }

  /** Whether a run with so many events shows that the content did not cause the crash. */
  isExceeded(id: Fingerprint, crash: CrashId, events: number): boolean {
    const reach = this.#byContent.get(id)?.get(crash);
    return reach !== undefined && events >= Math.max(MIN_EVENTS, reach + 1);
  }

  /** The reaches of some contents. */
  *of(ids: Iterable<Fingerprint>): IterableIterator<CrashReach> {
    for (const id of ids) {
      for (const [crash, events] of this.#byContent.get(id) ?? []) {
        yield [id, crash, events];
      }
    }
  }

  /** Forgets the contents that are not known any more. */
  retain(isKnown: (id: Fingerprint) => boolean): void {
    for (const id of this.#byContent.keys()) {
      if (!isKnown(id)) {
        this.#byContent.delete(id);
      }
    }
  }
}
