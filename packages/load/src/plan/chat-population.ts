/** Chats that return after pauses with a history that grows. */
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

/** One conversation between two requests or during one. */
export interface LoadChat {
  readonly id: string;
  readonly team: LoadTeam;
  readonly model: string;
  messages: readonly LoadMessage[];
  turns: number;
  /** When it comes back, in milliseconds from the start. */
  returnsAt: number;
}

export class ChatPopulation {
  readonly #plan: LoadPlan;
  readonly #random: Random;
  readonly #idle = new Map<string, LoadChat[]>();
  #opened = 0;
  #open = 0;

  constructor(plan: LoadPlan) {
    this.#plan = plan;
    this.#random = new Random(plan.seed + 1);
  }

  /** Takes a chat of the team that is due, or a new one. */
  take(team: LoadTeam, now: number): LoadChat {
    const idle = this.#idleOf(team);
    const due = idle.find(chat => chat.returnsAt <= now);
    const full = this.#open >= this.#plan.chatPopulation;
    const chosen = due ?? (full ? idle[0] : undefined);
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

  /** Puts a chat back with its longer history, or ends it after its last turn. */
  onResponse(
    chat: LoadChat,
    messages: readonly LoadMessage[],
    answer: string,
    now: number,
  ): void {
    chat.messages = [...messages, { role: 'assistant', content: answer }];
    chat.turns += 1;
    if (chat.turns >= this.#plan.turnsPerChat) {
      this.#open -= 1;
      return;
    }
    this.onNoResponse(chat, now);
  }

  /** Puts a chat back whose request got no answer, with the history it had. */
  onNoResponse(chat: LoadChat, now: number): void {
    chat.returnsAt = now + this.#random.exponential(this.#plan.returnPauseMs);
    this.#idleOf(chat.team).push(chat);
  }

  #create(team: LoadTeam): LoadChat {
    this.#opened += 1;
    this.#open += 1;
    const opening = `You help ${team.team}. ${this.#words(OPENING_WORDS)}`;
    return {
      id: `chat-${this.#plan.seed}-${this.#opened}`,
      team,
      model: this.#random.pick(this.#plan.models),
      messages: [{ role: 'system', content: opening }],
      turns: 0,
      returnsAt: 0,
    };
  }

  #idleOf({ team }: LoadTeam): LoadChat[] {
    const known = this.#idle.get(team);
    if (known) {
      return known;
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
