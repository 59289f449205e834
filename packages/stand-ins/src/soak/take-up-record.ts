/** Counts what became of the streams that callers took up, by how the router was in touch. */
import type { SoakViolation } from './soak-invariant-checker';

/**
 * What a router lost lately: `out-of-step` if it was stopped or cut off,
 * `disturbed` if it was ended or the store failed.
 */
export type ContactState = 'in-touch' | 'out-of-step' | 'disturbed';

export type TakeUpOutcome = 'went-on' | 'refused' | 'unanswered';

export interface TakeUp {
  readonly router: string;
  /** Milliseconds since the start of the soak. */
  readonly from: number;
  readonly to: number;
  readonly outcome: TakeUpOutcome;
  /** Whether the version that began the stream had endpoints from begin to end. */
  readonly isServed: boolean;
}

interface Disturbance {
  /** Undefined for all routers. */
  readonly router: string | undefined;
  readonly state: Exclude<ContactState, 'in-touch'>;
  readonly from: number;
  to: number;
}

/** Time after a disturbance in which a router is not counted as in touch. */
const RECOVERY_MS = 3000;
/** Share of the take-ups at routers in touch that must go on, and the least number judged. */
const MIN_SHARE = 0.5;
const MIN_JUDGED = 10;

export type TakeUpCounts = Record<
  ContactState,
  Record<TakeUpOutcome, number> & { withoutEndpoints: number }
>;

export class TakeUpRecord {
  readonly #promise: 'goes-on' | 'resumption-in-outage';
  readonly #disturbances: Disturbance[] = [];
  readonly #takeUps: TakeUp[] = [];

  constructor(promise: 'goes-on' | 'resumption-in-outage' = 'goes-on') {
    this.#promise = promise;
  }

  /** Records the begin of a disturbance; the returned function records its end. */
  disturb(
    state: Disturbance['state'],
    router: string | undefined,
    from: number,
  ): (to: number) => void {
    const disturbance = { router, state, from, to: Infinity };
    this.#disturbances.push(disturbance);
    return to => {
      disturbance.to = to;
    };
  }

  record(takeUp: TakeUp): void {
    this.#takeUps.push(takeUp);
  }

  counts(): TakeUpCounts {
    const none = () => ({
      'went-on': 0,
      refused: 0,
      unanswered: 0,
      withoutEndpoints: 0,
    });
    const counts = {
      'in-touch': none(),
      'out-of-step': none(),
      disturbed: none(),
    };
    for (const takeUp of this.#takeUps) {
      const count = counts[this.#stateAt(takeUp)];
      count[takeUp.isServed ? takeUp.outcome : 'withoutEndpoints'] += 1;
    }
    return counts;
  }

  violations(): SoakViolation[] {
    const {
      refused,
      unanswered,
      'went-on': wentOn,
    } = this.counts()['in-touch'];
    // A silent store is no reason for a router in touch with its peers not to respond.
    const isInOutage = this.#promise === 'resumption-in-outage';
    const judged = refused + wentOn + (isInOutage ? unanswered : 0);
    if (judged < MIN_JUDGED || wentOn >= MIN_SHARE * judged) {
      return [];
    }
    const detail = `${wentOn} of ${judged} went on at routers in touch`;
    return [{ promise: this.#promise, request: 'take-ups', detail }];
  }

  #stateAt({ router, from, to }: TakeUp): ContactState {
    const states = this.#disturbances
      .filter(
        each =>
          (each.router === undefined || each.router === router) &&
          each.from <= to &&
          each.to + RECOVERY_MS > from,
      )
      .map(({ state }) => state);
    return states.includes('out-of-step')
      ? 'out-of-step'
      : (states[0] ?? 'in-touch');
  }
}
