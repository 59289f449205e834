/** Priority queue of requests that wait for a free slot. */
import type { RequestId, TeamId } from '../types/ids';
import type { Instant } from '../types/units';

export interface AdmissionEntry {
  readonly request: RequestId;
  readonly team: TeamId;
  /** Lower values run first, as in the engines. */
  readonly priority: number;
  readonly deadline: Instant;
}

export interface WaitingRequest {
  readonly entry: AdmissionEntry;
  /**
   * Position by arrival among requests of equal rank; negative when the request
   * was queued again.
   */
  readonly sequence: number;
  readonly arrivedAt: Instant;
  /** Latest time at which the request may start. */
  readonly until: Instant;
  /** True when the team was over its fleet-wide share as the request was queued. */
  readonly overShare: boolean;
}

/**
 * Sorts by priority, then teams within their share first, then by usage divided
 * by weight, then by age.
 */
export class WaitingQueue {
  readonly #waiting: WaitingRequest[] = [];
  readonly #weightedUsage: (team: TeamId, ahead: number) => number;

  /**
   * `weightedUsage` returns the team's running requests, plus its requests
   * `ahead` in the queue, divided by its weight.
   */
  constructor(weightedUsage: (team: TeamId, ahead: number) => number) {
    this.#weightedUsage = weightedUsage;
  }

  get length(): number {
    return this.#waiting.length;
  }

  add(waiting: WaitingRequest): void {
    this.#waiting.push(waiting);
  }

  /** Returns the queued requests, the one to be admitted next first. */
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
        const teamAhead = ahead.get(team) ?? 0;
        ahead.set(team, teamAhead + 1);
        return { waiting, usage: this.#weightedUsage(team, teamAhead) };
      });
    ranked.sort(
      (left, right) =>
        left.waiting.entry.priority - right.waiting.entry.priority ||
        Number(left.waiting.overShare) - Number(right.waiting.overShare) ||
        left.usage - right.usage ||
        left.waiting.sequence - right.waiting.sequence,
    );
    return ranked.map(({ waiting }) => waiting);
  }

  /** Removes a request and returns it; undefined when it was not queued. */
  remove(request: RequestId): WaitingRequest | undefined {
    const index = this.#waiting.findIndex(
      waiting => waiting.entry.request === request,
    );
    return index < 0 ? undefined : this.#waiting.splice(index, 1)[0];
  }
}
