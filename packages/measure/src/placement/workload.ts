/** A seeded list of requests of returning chats, the same for every way of placing. */
import { Random } from '@sesamegrade/core/random/random';
import { chatId } from '@sesamegrade/core/types/ids';
import type { ChatId } from '@sesamegrade/core/types/ids';
import { arrivalRate, SURGE_FACTOR, SURGE_SPAN } from './scenario';
import type { Scenario } from './scenario';

export interface ChatRequest {
  readonly at: number;
  readonly chat: ChatId;
  /** Whether the chat was seen before. */
  readonly returning: boolean;
  /** Whether the chat's caller echoes the last place. */
  readonly echoes: boolean;
  /** Index of the router that the platform's balancer chose. */
  readonly router: number;
  readonly serviceSeconds: number;
}

const meanTurns = 6;
const shortPauseSeconds = 20;
const longPauseSeconds = 240;
const longPauseShare = 0.15;
/** Part of the service time that every request takes at least. */
const leastServicePart = 0.3;

interface Team {
  readonly weight: number;
  readonly surges: boolean;
}

/** Teams of falling size; one of middling size surges. */
function teamsOf(scenario: Scenario): Team[] {
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
  readonly #scenario: Scenario;
  readonly #random: Random;
  readonly #requests: ChatRequest[] = [];
  #chats = 0;

  constructor(scenario: Scenario) {
    this.#scenario = scenario;
    this.#random = new Random(scenario.seed);
  }

  build(): ChatRequest[] {
    for (const team of teamsOf(this.#scenario)) {
      this.#addTeam(team);
    }
    return this.#requests.sort((left, right) => left.at - right.at);
  }

  #addTeam(team: Team): void {
    const { warmUpSeconds, seconds } = this.#scenario;
    const rate = (arrivalRate(this.#scenario) / meanTurns) * team.weight;
    // Chats that began before the start make the load steady from the start.
    const begin = -2 * longPauseSeconds;
    this.#addChats(rate, begin, warmUpSeconds + seconds);
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
    } while (this.#random.fraction() > 1 / meanTurns);
  }

  #serviceTime(): number {
    const mean = this.#scenario.serviceSeconds;
    const spread = this.#random.exponential(mean * (1 - leastServicePart));
    return mean * leastServicePart + spread;
  }

  #pause(): number {
    const long = this.#random.fraction() < longPauseShare;
    return this.#random.exponential(
      long ? longPauseSeconds : shortPauseSeconds,
    );
  }
}

/** Builds the requests of a scenario in order of arrival, from second 0. */
export function buildWorkload(scenario: Scenario): ChatRequest[] {
  return new WorkloadBuilder(scenario).build();
}
