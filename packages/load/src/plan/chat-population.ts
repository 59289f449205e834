/** Simulated chats, each of which returns after a pause with a longer history. */
import { Random } from '@sesamegrade/core/random/random';
import type { LoadPlan, LoadTeam } from './load-plan';

const OPENING_WORDS = 120;
const MIN_TURN_WORDS = 8;
const MAX_TURN_WORDS = 40;
const WORDS = ['seal', 'roof', 'batch', 'ewe', 'tag', 'claim', 'photo', 'herd'];

export interface LoadMessage {
  readonly role: 'system' | 'user' | 'assistant';
  readonly content: string;
}

/** One open chat, idle or with a request in flight. */
export interface LoadChat {
  readonly id: string;
  readonly team: LoadTeam;
  readonly model: string;
  messages: readonly LoadMessage[];
  turns: number;
  /** Time of the next request, in milliseconds from the start. */
  returnsAt: number;
}

export class ChatPopulation {
  readonly #plan: LoadPlan;
  readonly #random: Random;
  readonly #idle = new Map<string, LoadChat[]>();
  #createdCount = 0;
  #openCount = 0;

  constructor(plan: LoadPlan) {
    this.#plan = plan;
    this.#random = new Random(plan.seed + 1);
  }

  /**
   * Takes an idle chat of the team whose pause is over, or creates one. Once the target
   * number of chats is open, prefers an idle chat whose pause is not over to a new one.
   */
  take(team: LoadTeam, now: number): LoadChat {
    const idle = this.#idleOf(team);
    const returning = idle.find(chat => chat.returnsAt <= now);
    const full = this.#openCount >= this.#plan.chatPopulation;
    const chosen = returning ?? (full ? idle[0] : undefined);
    if (chosen) {
      idle.splice(idle.indexOf(chosen), 1);
      return chosen;
    }
    return this.#create(team);
  }

  /** Returns the messages of the chat's next request. */
  nextMessages(chat: LoadChat): readonly LoadMessage[] {
    const words = this.#random.integer(MIN_TURN_WORDS, MAX_TURN_WORDS);
    const text = `${chat.id} turn ${chat.turns} ${this.#random.seed()}: ${this.#words(words)}`;
    return [...chat.messages, { role: 'user', content: text }];
  }

  /** Adds the response to the chat's history and makes it idle, or ends it after its last turn. */
  onResponse(
    chat: LoadChat,
    messages: readonly LoadMessage[],
    response: string,
    now: number,
  ): void {
    chat.messages = [...messages, { role: 'assistant', content: response }];
    chat.turns += 1;
    if (chat.turns >= this.#plan.turnsPerChat) {
      this.#openCount -= 1;
      return;
    }
    this.onNoResponse(chat, now);
  }

  /** Makes a chat idle again whose request got no complete response; its history is unchanged. */
  onNoResponse(chat: LoadChat, now: number): void {
    chat.returnsAt = now + this.#random.exponential(this.#plan.returnPauseMs);
    this.#idleOf(chat.team).push(chat);
  }

  #create(team: LoadTeam): LoadChat {
    this.#createdCount += 1;
    this.#openCount += 1;
    const opening = `You help ${team.team}. ${this.#words(OPENING_WORDS)}`;
    return {
      id: `chat-${this.#plan.seed}-${this.#createdCount}`,
      team,
      model: this.#random.pick(this.#plan.models),
      messages: [{ role: 'system', content: opening }],
      turns: 0,
      returnsAt: 0,
    };
  }

  #idleOf({ team }: LoadTeam): LoadChat[] {
    const existing = this.#idle.get(team);
    if (existing) {
      return existing;
    }
    const created: LoadChat[] = [];
    this.#idle.set(team, created);
    return created;
  }

  #words(count: number): string {
    const picked = Array.from({ length: count }, () =>
      this.#random.pick(WORDS),
    );
    return picked.join(' ');
  }
}
