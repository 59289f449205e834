/**
 * Decides what is told to which peer and when, within a hard cap of bytes per
 * second that counts headers of every layer.
 *
 * Each round visits a few peers along a random permutation of all of them, so
 * that every peer is visited once a cycle and news spread as an epidemic; peers
 * for whom a topic has something urgent come first. In one message the topics
 * take their share in the order of their rank: what does not fit waits, the
 * highest rank number first. Topics keep what they could not tell.
 */
import type { Random } from '../random/random';
import type { RouterId } from '../types/ids';
import { bytes, elapsed, instant, seconds } from '../types/units';
import type { Bytes, Instant, Milliseconds } from '../types/units';
import type { GossipTopic } from './gossip-topic';
import { jsonSize } from './json-size';

/** Entries by topic, as one message carries them. */
export type TopicEntries = Readonly<Record<string, readonly unknown[]>>;

export interface GossipMessage {
  readonly peer: RouterId;
  readonly topics: TopicEntries;
  /** Estimated size on the wire with all headers and the acknowledgement. */
  readonly size: Bytes;
}

export interface GossipSettings {
  /** Bytes that this router may send per second. */
  readonly bytesPerSecond: Bytes;
  /** Bytes of a message beside its entries: headers of every layer and the acknowledgement. */
  readonly messageOverhead: Bytes;
  /** Largest JSON text of the entries in one message, to fit one packet. */
  readonly maxMessageSize: Bytes;
  /** Peers visited in one round at most. */
  readonly peersPerRound: number;
}

export const DEFAULT_GOSSIP_SETTINGS: GossipSettings = {
  bytesPerSecond: bytes(2200),
  messageOverhead: bytes(180),
  maxMessageSize: bytes(1200),
  peersPerRound: 16,
};

/** Bytes of a topic's name and punctuation beside its entries. */
const TOPIC_OVERHEAD = 8;
/** A message is not begun with less room than this for its entries. */
const SMALLEST_ROOM = 24;
const BURST: Milliseconds = seconds(1);

export interface GossipCounters {
  messages: number;
  /** Estimated bytes of all messages. */
  bytes: number;
  /** Rounds that ended early because the budget was spent. */
  deferred: number;
  /** Entries from peers that no schema accepted. */
  malformed: number;
  /** Entries of topics that this router does not know. */
  unknownTopic: number;
}

export interface GossipSchedulerOptions {
  readonly topics: readonly GossipTopic[];
  readonly random: Random;
  readonly settings?: GossipSettings;
}

export class GossipScheduler {
  readonly counters: GossipCounters = {
    messages: 0,
    bytes: 0,
    deferred: 0,
    malformed: 0,
    unknownTopic: 0,
  };

  readonly #topics: readonly GossipTopic[];
  readonly #byName: ReadonlyMap<string, GossipTopic>;
  readonly #random: Random;
  readonly #settings: GossipSettings;
  readonly #peers = new Set<RouterId>();
  /** Peers that this cycle has still to visit. */
  #cycle: RouterId[] = [];
  #tokens: number;
  #filledAt: Instant | undefined;

  constructor(options: GossipSchedulerOptions) {
    this.#topics = [...options.topics].sort(
      (left, right) => left.rank - right.rank,
    );
    this.#byName = new Map(this.#topics.map(topic => [topic.name, topic]));
    this.#random = options.random;
    this.#settings = options.settings ?? DEFAULT_GOSSIP_SETTINGS;
    this.#tokens = this.#capacity;
  }

  /** Bytes that may be sent now; negative after spending above the budget. */
  get tokens(): number {
    return this.#tokens;
  }

  /** Peers that can be reached. */
  get peers(): ReadonlySet<RouterId> {
    return this.#peers;
  }

  addPeer(peer: RouterId): void {
    this.#peers.add(peer);
  }

  /** Forgets what a peer was told; it is told afresh when it returns. */
  removePeer(peer: RouterId): void {
    this.#peers.delete(peer);
    this.#cycle = this.#cycle.filter(other => other !== peer);
    for (const topic of this.#topics) {
      topic.forget(peer);
    }
  }

  /** Charges bytes that were spent beside messages, such as a whole configuration. */
  charge(size: Bytes): void {
    this.#tokens -= size;
  }

  /** Returns the messages to send now. */
  round(now: Instant): readonly GossipMessage[] {
    this.#fill(now);
    const messages: GossipMessage[] = [];
    for (const peer of this.#visits()) {
      const message = this.#compose(peer, now);
      if (message) {
        messages.push(message);
      }
    }
    return messages;
  }

  /** Hands a peer's entries to their topics. */
  receive(peer: RouterId, topics: TopicEntries, now: Instant): void {
    for (const [name, entries] of Object.entries(topics)) {
      const topic = this.#byName.get(name);
      if (topic) {
        this.counters.malformed += topic.receive(peer, entries, now);
      } else {
        this.counters.unknownTopic += 1;
      }
    }
  }

  get #capacity(): number {
    const {
      bytesPerSecond,
      maxMessageSize: largestMessage,
      messageOverhead,
    } = this.#settings;
    const second = (bytesPerSecond * BURST) / seconds(1);
    return Math.max(second, largestMessage + messageOverhead);
  }

  #fill(now: Instant): void {
    const passed = elapsed(this.#filledAt ?? now, now);
    if (passed >= 0) {
      this.#filledAt = instant(now);
    }
    const earned =
      (Math.max(0, passed) * this.#settings.bytesPerSecond) / seconds(1);
    this.#tokens = Math.min(this.#capacity, this.#tokens + earned);
  }

  /** Room for entries in a message that could be sent now. */
  #room(): number {
    const { maxMessageSize: largestMessage, messageOverhead } = this.#settings;
    return Math.min(largestMessage, this.#tokens - messageOverhead);
  }

  /** Yields the peers of this round while there is room for a message. */
  *#visits(): Generator<RouterId> {
    const visited = new Set<RouterId>();
    const wanted = Math.min(this.#settings.peersPerRound, this.#peers.size);
    const urgent = this.#urgent();
    const skipped: RouterId[] = [];
    while (visited.size < Math.max(wanted, urgent.length)) {
      if (this.#room() < SMALLEST_ROOM) {
        this.counters.deferred += 1;
        break;
      }
      const next = urgent[visited.size] ?? this.#next();
      if (next === undefined) {
        break;
      }
      if (visited.has(next)) {
        skipped.push(next);
        continue;
      }
      visited.add(next);
      yield next;
    }
    this.#cycle.push(...skipped.reverse());
  }

  #urgent(): RouterId[] {
    const urgent = this.#topics.flatMap(topic => topic.urgentPeers());
    return [...new Set(urgent)].filter(peer => this.#peers.has(peer));
  }

  #next(): RouterId | undefined {
    if (this.#cycle.length === 0) {
      this.#cycle = this.#shuffled();
    }
    return this.#cycle.pop();
  }

  #shuffled(): RouterId[] {
    const keyed = [...this.#peers].map(peer => ({
      peer,
      key: this.#random.fraction(),
    }));
    keyed.sort((left, right) => left.key - right.key);
    return keyed.map(entry => entry.peer);
  }

  #compose(peer: RouterId, now: Instant): GossipMessage | undefined {
    const topics: Record<string, readonly unknown[]> = {};
    let room = this.#room();
    let used = 0;
    for (const topic of this.#topics) {
      const share = room - TOPIC_OVERHEAD;
      if (share <= 0) {
        break;
      }
      const entries = topic.take(peer, bytes(share), now);
      if (entries.length > 0) {
        topics[topic.name] = entries;
        const size = jsonSize(entries) + TOPIC_OVERHEAD;
        room -= size;
        used += size;
      }
    }
    if (used === 0) {
      return undefined;
    }
    const size = bytes(used + this.#settings.messageOverhead);
    this.#tokens -= size;
    this.counters.messages += 1;
    this.counters.bytes += size;
    return { peer, topics, size };
  }
}
