/** Updates for one peer that wait to be sent together with later ones. */
import type { TopicEntries } from '@sesamegrade/core/gossip/gossip-scheduler';

/** Entries of one topic above which the updates wait no longer; receivers reject 2,000. */
const MAX_WAITING_ENTRIES = 1000;

export class DelayedUpdates {
  readonly #entries = new Map<string, unknown[]>();

  get isEmpty(): boolean {
    return this.#entries.size === 0;
  }

  /** Whether more entries might not fit into one message. */
  get isFull(): boolean {
    return [...this.#entries.values()].some(
      entries => entries.length > MAX_WAITING_ENTRIES,
    );
  }

  /** Adds updates behind those that wait, as later entries of a topic replace earlier ones. */
  add(topics: TopicEntries): void {
    for (const [topic, entries] of Object.entries(topics)) {
      const waiting = this.#entries.get(topic);
      if (waiting) {
        waiting.push(...entries);
      } else {
        this.#entries.set(topic, [...entries]);
      }
    }
  }

  /** Returns all that wait, and clears them. */
  take(): TopicEntries {
    const topics = Object.fromEntries(this.#entries);
    this.#entries.clear();
    return topics;
  }
}
