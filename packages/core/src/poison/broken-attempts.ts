/** Remembers the content of broken-off attempts until it is known whether their endpoint crashed. */
import type { EndpointId, Fingerprint } from '../types/ids';
import { elapsed, seconds } from '../types/units';
import type { Instant, Milliseconds } from '../types/units';
import type { CrashId } from './suspect';

/** Time after a break within which the end of its endpoint explains it. */
const MAX_BREAK_AGE: Milliseconds = seconds(6);
/** Contents remembered per endpoint; at least the slots of the largest endpoints. */
const MAX_BREAKS_PER_ENDPOINT = 256;

interface Break {
  readonly id: Fingerprint;
  /** Number of events that had arrived. */
  readonly events: number;
  readonly brokenAt: Instant;
}

interface EndpointBreaks {
  readonly crash: CrashId;
  readonly breaks: Break[];
}

/** What was running on one instance of an endpoint when it crashed. */
export interface Crash {
  readonly crash: CrashId;
  readonly ids: readonly Fingerprint[];
  /** The largest number of events that a run of each content had sent. */
  readonly reaches: ReadonlyMap<Fingerprint, number>;
}

export class BrokenAttempts {
  readonly #byEndpoint = new Map<EndpointId, EndpointBreaks>();

  /** Adds the content of an attempt; `crash` identifies the end of the instance that ran it. */
  add(
    endpoint: EndpointId,
    crash: CrashId,
    ids: readonly Fingerprint[],
    now: Instant,
    events = 0,
  ): void {
    const known = this.#byEndpoint.get(endpoint);
    const breaks = known?.crash === crash ? known.breaks : [];
    breaks.push(...ids.map(id => ({ id, events, brokenAt: now })));
    breaks.splice(0, breaks.length - MAX_BREAKS_PER_ENDPOINT);
    this.#byEndpoint.set(endpoint, { crash, breaks });
  }

  /** Removes and returns what a crash of the endpoint explains; undefined if nothing. */
  take(endpoint: EndpointId, now: Instant): Crash | undefined {
    const known = this.#byEndpoint.get(endpoint);
    this.#byEndpoint.delete(endpoint);
    const reaches = new Map<Fingerprint, number>();
    for (const { id, events, brokenAt } of known?.breaks ?? []) {
      if (elapsed(brokenAt, now) <= MAX_BREAK_AGE) {
        reaches.set(id, Math.max(events, reaches.get(id) ?? 0));
      }
    }
    return known && reaches.size > 0
      ? { crash: known.crash, ids: [...reaches.keys()], reaches }
      : undefined;
  }

  /** Drops the breaks of an endpoint, as it has not crashed. */
  drop(endpoint: EndpointId): void {
    this.#byEndpoint.delete(endpoint);
  }
}
