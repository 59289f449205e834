/**
 * Simulates a team that surges to ten times its usual load, and measures how much
 * longer the other teams wait for the shared pool. Routers use the real admission;
 * the engines are a number of slots that refuse requests when none is free.
 */
import {
  Admission,
  DEFAULT_ADMISSION_SETTINGS,
} from '@sesamegrade/core/limits/admission';
import type { AdmissionDecision } from '@sesamegrade/core/limits/admission';
import { DemandTable } from '@sesamegrade/core/limits/demand-table';
import { DemandTopic } from '@sesamegrade/core/limits/demand-topic';
import {
  FleetShares,
  StaticShares,
} from '@sesamegrade/core/limits/fleet-shares';
import type { TeamShare } from '@sesamegrade/core/limits/fleet-shares';
import { GossipedShares } from '@sesamegrade/core/limits/gossiped-shares';
import { poolId } from '@sesamegrade/core/limits/pool';
import { TeamLimiter } from '@sesamegrade/core/limits/team-limiter';
import {
  FixedTeamPolicy,
  UNLIMITED_TEAM,
} from '@sesamegrade/core/limits/team-policy';
import { Random } from '@sesamegrade/core/random/random';
import { requestId, routerId, teamId } from '@sesamegrade/core/types/ids';
import type { RequestId, TeamId } from '@sesamegrade/core/types/ids';
import { bytes, instant, seconds } from '@sesamegrade/core/types/units';
import { EventQueue } from '../placement/event-queue';
import { quantile, rounded } from '../report/figures';
import type { FigureRow } from '../report/figures';

export type Division = 'none' | 'static' | 'gossiped';

export interface FairnessScenario {
  readonly routers: number;
  readonly teams: number;
  /** Slots of all engines together. */
  readonly slots: number;
  /** Mean time that a request holds its slot, in ms. */
  readonly holding: number;
  /** Offered load without the surge, as a fraction of the slots. */
  readonly utilisation: number;
  /** Load that the first team offers, as a multiple of its usual load. */
  readonly surge: number;
  readonly division: Division;
  /** Fraction of the slots that teams over their share leave free. */
  readonly reserve: number;
  readonly seed: number;
}

const DURATION = seconds(400);
/** Requests that arrive earlier are not counted. */
const WARM_UP = seconds(60);
const TICK_PERIOD_MS = 50;
const GOSSIP_PERIOD_MS = 1000;
/** Period in which a router refreshes its view of the engines' free slots. */
const VIEW_PERIOD_MS = 1000;
const GOSSIP_BUDGET = bytes(200);
const POOL = poolId('drafting');

/** Shares without a division of capacity: every team is within its share. */
class UndividedShares extends FleetShares {
  override teamShare(): TeamShare {
    return { trafficFraction: 1, admitFraction: 1 };
  }

  override onCapacityChanged(): void {
    // The shares do not depend on the capacity.
  }
}

interface FairnessRouter {
  readonly table: DemandTable;
  readonly topic: DemandTopic;
  readonly admission: Admission;
}

interface FairnessArrival {
  readonly request: RequestId;
  readonly team: TeamId;
  readonly at: number;
  readonly holding: number;
}

interface TeamCounts {
  readonly waits: number[];
  readonly latencies: number[];
  refused: number;
}

export class FairnessRun {
  readonly #scenario: FairnessScenario;
  readonly #random: Random;
  readonly #events = new EventQueue();
  readonly #routers: FairnessRouter[] = [];
  readonly #arrivals = new Map<RequestId, FairnessArrival>();
  readonly #counts = new Map<TeamId, TeamCounts>();
  readonly #surgingTeam = teamId('team-0');
  #now = 0;
  #freeSlots: number;
  #busyTime = 0;
  #gossipedBytes = 0;

  constructor(scenario: FairnessScenario) {
    this.#scenario = scenario;
    this.#random = new Random(scenario.seed);
    this.#freeSlots = scenario.slots;
  }

  run(): FigureRow {
    this.#build();
    for (;;) {
      const event = this.#events.take();
      if (!event || event.at > DURATION) {
        return this.#report();
      }
      this.#now = event.at;
      event.run();
    }
  }

  #build(): void {
    const { teams, routers } = this.#scenario;
    const names = Array.from({ length: teams }, (_, i) => teamId(`team-${i}`));
    const policy = new FixedTeamPolicy(
      new Map(names.map(name => [name, UNLIMITED_TEAM])),
    );
    for (let index = 0; index < routers; index += 1) {
      this.#addRouter(policy, index);
    }
    for (const team of names) {
      this.#counts.set(team, { waits: [], latencies: [], refused: 0 });
      this.#scheduleArrival(team);
    }
  }

  #addRouter(policy: FixedTeamPolicy, index: number): void {
    const { reserve, routers } = this.#scenario;
    const table = new DemandTable();
    const shares = this.#shares(table, policy);
    const admission = new Admission(
      {
        policy,
        limiter: new TeamLimiter(policy),
        shares,
        meter: table.meter(POOL),
        random: new Random(this.#random.seed()),
      },
      { ...DEFAULT_ADMISSION_SETTINGS, reserve },
    );
    this.#routers.push({ table, topic: new DemandTopic(table), admission });
    const phase = index / routers;
    this.#every(VIEW_PERIOD_MS, phase * VIEW_PERIOD_MS, () => {
      const { slots } = this.#scenario;
      admission.onCapacityChanged({ slots, free: this.#freeSlots });
    });
    this.#every(TICK_PERIOD_MS, phase * TICK_PERIOD_MS, () => {
      this.#applyDecisions(index, admission.tick(instant(this.#now)));
    });
    this.#every(GOSSIP_PERIOD_MS, phase * GOSSIP_PERIOD_MS, () => {
      this.#gossip(index);
    });
  }

  #shares(table: DemandTable, policy: FixedTeamPolicy): FleetShares {
    switch (this.#scenario.division) {
      case 'none':
        return new UndividedShares();
      case 'static': {
        const { routers } = this.#scenario;
        return new StaticShares(table.meter(POOL), policy, () => routers);
      }
      case 'gossiped':
        return new GossipedShares(POOL, table, policy);
    }
  }

  #every(period: number, from: number, run: () => void): void {
    this.#events.add(from, () => {
      run();
      this.#every(period, this.#now + period, run);
    });
  }

  #gossip(index: number): void {
    const sender = this.#routers[index];
    for (const [other, router] of this.#routers.entries()) {
      if (other === index || !sender) {
        continue;
      }
      const now = instant(this.#now);
      const peer = routerId(`router-${other}`);
      const entries = sender.topic.take(peer, GOSSIP_BUDGET, now);
      if (entries.length > 0) {
        this.#gossipedBytes += JSON.stringify(entries).length;
        router.topic.receive(routerId(`router-${index}`), entries, now);
      }
    }
  }

  #scheduleArrival(team: TeamId): void {
    const { slots, holding, utilisation, teams, surge } = this.#scenario;
    const usual = (slots * utilisation) / holding / teams;
    const rate = team === this.#surgingTeam ? usual * surge : usual;
    this.#events.add(this.#now + this.#random.exponential(1 / rate), () => {
      this.#onArrival(team);
      this.#scheduleArrival(team);
    });
  }

  #onArrival(team: TeamId): void {
    const arrival: FairnessArrival = {
      request: requestId(`request-${this.#arrivals.size}`),
      team,
      at: this.#now,
      holding: this.#random.exponential(this.#scenario.holding),
    };
    this.#arrivals.set(arrival.request, arrival);
    const index = this.#random.integer(0, this.#routers.length - 1);
    const entry = {
      request: arrival.request,
      team,
      priority: 0,
      deadline: instant(this.#now + seconds(60)),
    };
    const router = this.#routers[index];
    if (router) {
      const now = instant(this.#now);
      this.#applyDecisions(index, [router.admission.request(entry, now)]);
    }
  }

  #applyDecisions(
    index: number,
    decisions: readonly AdmissionDecision[],
  ): void {
    for (const decision of decisions) {
      const arrival = this.#arrivals.get(decision.request);
      if (!arrival) {
        continue;
      }
      if (decision.kind === 'admitted') {
        this.#dispatch(index, arrival);
      } else if (decision.kind === 'refused' && arrival.at >= WARM_UP) {
        const count = this.#counts.get(arrival.team);
        if (count) {
          count.refused += 1;
        }
      }
    }
  }

  #dispatch(index: number, arrival: FairnessArrival): void {
    const admission = this.#routers[index]?.admission;
    if (this.#freeSlots < 1) {
      const requeued = admission?.requeue(arrival.request, instant(this.#now));
      this.#applyDecisions(index, requeued ? [requeued] : []);
      return;
    }
    this.#freeSlots -= 1;
    this.#busyTime += arrival.holding;
    if (arrival.at >= WARM_UP) {
      const wait = this.#now - arrival.at;
      const count = this.#counts.get(arrival.team);
      count?.waits.push(wait);
      count?.latencies.push(wait + arrival.holding);
    }
    this.#events.add(this.#now + arrival.holding, () => {
      this.#freeSlots += 1;
      admission?.onFinished(arrival.request, instant(this.#now));
    });
  }

  #report(): FigureRow {
    const { slots, routers, division, reserve, utilisation, surge } =
      this.#scenario;
    const quiet: TeamCounts = { waits: [], latencies: [], refused: 0 };
    for (const [team, count] of this.#counts) {
      if (team !== this.#surgingTeam) {
        quiet.waits.push(...count.waits);
        quiet.latencies.push(...count.latencies);
        quiet.refused += count.refused;
      }
    }
    const surging = this.#counts.get(this.#surgingTeam);
    const offered = (count: TeamCounts | undefined) =>
      count ? Math.max(1, count.waits.length + count.refused) : 1;
    return {
      division,
      reserve,
      'base load': utilisation,
      surge,
      'slots used': rounded(this.#busyTime / (slots * DURATION)),
      'quiet wait p95 ms': Math.round(quantile(quiet.waits, 0.95)),
      'quiet latency p95 ms': Math.round(quantile(quiet.latencies, 0.95)),
      'quiet refused %': rounded((100 * quiet.refused) / offered(quiet)),
      'surging served %': rounded(
        (100 * (surging?.waits.length ?? 0)) / offered(surging),
      ),
      'bytes/s per router': Math.round(
        this.#gossipedBytes / routers / (DURATION / 1000),
      ),
    };
  }
}

const CURRENT_FLEET = { routers: 17, teams: 10, slots: 60, holding: 4000 };

/** Measures every division with and without the surge, then other reserves for the gossiped division. */
export function measureFairness(seed: number): FigureRow[] {
  const { reserve } = DEFAULT_ADMISSION_SETTINGS;
  const scenarios: FairnessScenario[] = [];
  for (const utilisation of [0.7, 1]) {
    for (const division of ['none', 'static', 'gossiped'] as const) {
      for (const surge of [1, 10]) {
        const varied = { utilisation, division, surge, reserve };
        scenarios.push({ ...CURRENT_FLEET, ...varied, seed });
      }
    }
  }
  for (const other of [0.05, 0.2]) {
    const varied = { utilisation: 0.7, surge: 10, reserve: other };
    scenarios.push({ ...CURRENT_FLEET, ...varied, division: 'gossiped', seed });
  }
  return scenarios.map(scenario => new FairnessRun(scenario).run());
}
