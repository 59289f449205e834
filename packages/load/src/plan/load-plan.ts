/** The plan of a load run, and the seeded sequence of arrivals that follows from it. */
import { Random } from '@sesamegrade/core/random/random';

const MS_PER_SECOND = 1000;

/** A team that sends requests, with its share of the traffic. */
export interface LoadTeam {
  readonly team: string;
  readonly key: string;
  readonly weight: number;
}

/** A period in which one team sends a multiple of its share. */
export interface Surge {
  readonly team: string;
  readonly factor: number;
  readonly fromSecond: number;
  readonly toSecond: number;
}

export interface LoadPlan {
  readonly seed: number;
  readonly seconds: number;
  readonly teams: readonly LoadTeam[];
  readonly surge?: Surge;
  readonly models: readonly string[];
  /** Chat requests per second over all teams, without the surge. */
  readonly chatsPerSecond: number;
  /** Target number of open chats over all teams. */
  readonly chatPopulation: number;
  /** Mean time from a response to the chat's next request. */
  readonly returnPauseMs: number;
  /** Requests after which a chat ends and a new one replaces it. */
  readonly turnsPerChat: number;
  readonly maxTokens?: number;
  readonly services: readonly string[];
  /** Calls per second with an idempotency key. */
  readonly ordersPerSecond: number;
  /** Fraction of the orders that the caller sends twice with the same key. */
  readonly resends: number;
  /** Read-only calls per second. */
  readonly lookupsPerSecond: number;
}

export type ArrivalKind = 'chat' | 'order' | 'lookup';

/** One request of a team; `at` is in milliseconds from the start. */
export interface Arrival {
  readonly at: number;
  readonly kind: ArrivalKind;
  readonly team: LoadTeam;
}

/**
 * Returns a team's weight including the surge.
 * @param at milliseconds from the start
 */
export function weightAt(
  plan: LoadPlan,
  { team, weight }: LoadTeam,
  at: number,
): number {
  const { surge } = plan;
  const second = at / MS_PER_SECOND;
  const isSurging =
    surge?.team === team &&
    second >= surge.fromSecond &&
    second < surge.toSecond;
  return isSurging ? weight * surge.factor : weight;
}

function pickTeam(
  plan: LoadPlan,
  at: number,
  random: Random,
): LoadTeam | undefined {
  const weights = plan.teams.map(team => weightAt(plan, team, at));
  let point =
    random.fraction() * weights.reduce((sum, weight) => sum + weight, 0);
  return plan.teams.find((_, index) => {
    point -= weights[index] ?? 0;
    return point < 0;
  });
}

function rates(plan: LoadPlan, services: boolean): Record<ArrivalKind, number> {
  return {
    chat: plan.chatsPerSecond,
    order: services ? plan.ordersPerSecond : 0,
    lookup: services ? plan.lookupsPerSecond : 0,
  };
}

function pickKind(
  perSecond: Record<ArrivalKind, number>,
  random: Random,
): ArrivalKind {
  const { chat, order, lookup } = perSecond;
  const point = random.fraction() * (chat + order + lookup);
  if (point < chat) {
    return 'chat';
  }
  return point < chat + order ? 'order' : 'lookup';
}

/** Yields the arrivals in order of time; a surge raises the total rate, so other teams keep theirs. */
export function* arrivals(plan: LoadPlan): Generator<Arrival> {
  const random = new Random(plan.seed);
  const perSecond = rates(plan, plan.services.length > 0);
  const total = perSecond.chat + perSecond.order + perSecond.lookup;
  const base = plan.teams.reduce((sum, team) => sum + team.weight, 0);
  if (total <= 0 || base <= 0) {
    return;
  }
  for (let at = 0; ;) {
    const weights = plan.teams.map(team => weightAt(plan, team, at));
    const factor = weights.reduce((sum, weight) => sum + weight, 0) / base;
    at += random.exponential(MS_PER_SECOND / (total * factor));
    if (at >= plan.seconds * MS_PER_SECOND) {
      return;
    }
    const kind = pickKind(perSecond, random);
    const team = pickTeam(plan, at, random);
    if (team) {
      yield { at, kind, team };
    }
  }
}
