/** Requests that wait for a free slot, in the order in which they get it. */
import type { RequestId, TeamId } from '../types/ids';
import type { Instant } from '../types/units';

export interface AdmissionEntry {
  readonly request: RequestId;
  readonly team: TeamId;
  /** Lower goes first, as at the engines. */
  readonly priority: number;
  readonly deadline: Instant;
}

export interface WaitingRequest {
  readonly entry: AdmissionEntry;
  readonly sequence: number;
  readonly arrivedAt: Instant;
  /** Latest time at which the request may still start. */
  readonly until: Instant;
  /** True when the team was over its fleet-wide share at arrival. */
  readonly overShare: boolean;
}

/** Orders by priority, then teams within their share, then use by weight, then age. */
export class WaitingQueue {
  readonly #waiting: WaitingRequest[] = [];
  readonly #use: (team: TeamId, ahead: number) => number;

  /**
   * `use` tells a team's requests in flight, plus those of it ahead in the
   * queue, divided by its weight.
   */
  constructor(use: (team: TeamId, ahead: number) => number) {
    this.#use = use;
  }

  get length(): number {
    return this.#waiting.length;
  }

  add(waiting: WaitingRequest): void {
    this.#waiting.push(waiting);
  }

  /** The waiting requests from the next one to the last one. */
  inOrder(): WaitingRequest[] {
    const ahead = new Map<TeamId, number>();
    const ranked = this.#waiting
      .toSorted(
        (left, right) =>
          left.entry.priority - right.entry.priority ||
          left.sequence - right.sequence,
      )
      .map(waiting => {
        const { team } = waiting.entry;
        const before = ahead.get(team) ?? 0;
        ahead.set(team, before + 1);
        return { waiting, use: this.#use(team, before) };
      });
    ranked.sort(
      (left, right) =>
        left.waiting.entry.priority - right.waiting.entry.priority ||
        Number(left.waiting.overShare) - Number(right.waiting.overShare) ||
        left.use - right.use ||
        left.waiting.sequence - right.waiting.sequence,
    );
    return ranked.map(({ waiting }) => waiting);
  }

  /** Removes a request; returns it when it was waiting. */
  remove(request: RequestId): WaitingRequest | undefined {
    const index = this.#waiting.findIndex(
      waiting => waiting.entry.request === request,
    );
    return index < 0 ? undefined : this.#waiting.splice(index, 1)[0];
  }
}
