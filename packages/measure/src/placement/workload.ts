/** Builds the seeded requests of chats, which are the same for every placement variant. */
import { Random } from '@sesamegrade/core/random/random';
import { chatId } from '@sesamegrade/core/types/ids';
import type { ChatId } from '@sesamegrade/core/types/ids';
import { arrivalRate, SURGE_FACTOR, SURGE_SPAN } from './scenario';
import type { PlacementScenario } from './scenario';

export interface WorkloadRequest {
  readonly at: number;
  readonly chat: ChatId;
  /** Whether the chat had a request before. */
  readonly returning: boolean;
  /** Whether the chat's caller echoes the affinity headers. */
  readonly echoes: boolean;
  /** Index of the router that the platform's load balancer chose. */
  readonly router: number;
  readonly serviceSeconds: number;
}

const MEAN_TURNS = 6;
const SHORT_PAUSE_SECONDS = 20;
const LONG_PAUSE_SECONDS = 240;
const LONG_PAUSE_FRACTION = 0.15;
/** Minimum service time of a request, as a fraction of the mean. */
const MIN_SERVICE_FRACTION = 0.3;

interface WorkloadTeam {
  readonly weight: number;
  readonly surges: boolean;
}

/** Returns teams of decreasing size; the median team surges. */
function teamsOf(scenario: PlacementScenario): WorkloadTeam[] {
  const sizes = Array.from(
    { length: scenario.teams },
    (_, index) => 1 / (index + 1),
  );
  const total = sizes.reduce((sum, size) => sum + size, 0);
  const surging = Math.floor(scenario.teams / 2);
  return sizes.map((size, index) => ({
    weight: size / total,
    surges: scenario.surge && index === surging,
  }));
}

class WorkloadBuilder {
  readonly #scenario: PlacementScenario;
  readonly #random: Random;
  readonly #requests: WorkloadRequest[] = [];
  #chats = 0;

  constructor(scenario: PlacementScenario) {
    this.#scenario = scenario;
    this.#random = new Random(scenario.seed);
  }

  build(): WorkloadRequest[] {
    for (const team of teamsOf(this.#scenario)) {
      this.#addTeam(team);
    }
    return this.#requests.sort((left, right) => left.at - right.at);
  }

  #addTeam(team: WorkloadTeam): void {
    const { warmUpSeconds, seconds } = this.#scenario;
    const rate = (arrivalRate(this.#scenario) / MEAN_TURNS) * team.weight;
    // Chats that began before the start make the load constant from the start on.
    const firstChatAt = -2 * LONG_PAUSE_SECONDS;
    this.#addChats(rate, firstChatAt, warmUpSeconds + seconds);
    if (team.surges) {
      const from = warmUpSeconds + SURGE_SPAN.from * seconds;
      const to = warmUpSeconds + SURGE_SPAN.to * seconds;
      this.#addChats(rate * (SURGE_FACTOR - 1), from, to, to);
    }
  }

  #addChats(rate: number, from: number, to: number, last?: number): void {
    for (
      let at = from + this.#random.exponential(1 / rate);
      at < to;
      at += this.#random.exponential(1 / rate)
    ) {
      this.#addChat(at, last ?? to);
    }
  }

  #addChat(start: number, last: number): void {
    this.#chats += 1;
    const chat = chatId(`chat-${this.#chats}`);
    const echoes = this.#random.fraction() < this.#scenario.echoing;
    let turn = 0;
    let at = start;
    do {
      const serviceSeconds = this.#serviceTime();
      if (at >= 0 && at < last) {
        const router = this.#random.integer(0, this.#scenario.routers - 1);
        const returning = turn > 0;
        this.#requests.push({
          at,
          chat,
          returning,
          echoes,
          router,
          serviceSeconds,
        });
      }
      turn += 1;
      at += serviceSeconds + this.#pause();
    } while (this.#random.fraction() > 1 / MEAN_TURNS);
  }

  #serviceTime(): number {
    const mean = this.#scenario.serviceSeconds;
    const spread = this.#random.exponential(mean * (1 - MIN_SERVICE_FRACTION));
    return mean * MIN_SERVICE_FRACTION + spread;
  }

  #pause(): number {
    const isLong = this.#random.fraction() < LONG_PAUSE_FRACTION;
    return this.#random.exponential(
      isLong ? LONG_PAUSE_SECONDS : SHORT_PAUSE_SECONDS,
    );
  }
}

/** Builds the requests of a scenario in order of arrival, from second 0. */
export function buildWorkload(scenario: PlacementScenario): WorkloadRequest[] {
  return new WorkloadBuilder(scenario).build();
}
