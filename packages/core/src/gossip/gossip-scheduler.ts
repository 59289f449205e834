/**
 * Schedules gossip messages within a hard limit of bytes per second that
 * includes the headers of every layer. Each round visits a few peers along a
 * random permutation of all of them, so that every peer is visited once a cycle
 * and updates spread epidemically; peers for which a topic has urgent entries
 * come first. Topics fill a message in the order of their rank. Entries that do
 * not fit stay with their topic, and those of the highest rank number are
 * deferred first.
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
  /**
   * Estimated size on the wire, including all headers and the acknowledgement.
   */
  readonly size: Bytes;
}

export interface GossipSettings {
  /** Bytes that this router may send per second. */
  readonly bytesPerSecond: Bytes;
  /**
   * Bytes of a message in addition to its entries: headers of every layer and
   * the acknowledgement.
   */
  readonly messageOverhead: Bytes;
  /**
   * Maximum size of the entries' JSON text in one message, so that it fits into
   * one packet.
   */
  readonly maxMessageSize: Bytes;
  /** Maximum number of peers visited in one round. */
  readonly peersPerRound: number;
}

export const DEFAULT_GOSSIP_SETTINGS: GossipSettings = {
  bytesPerSecond: bytes(2200),
  messageOverhead: bytes(180),
  maxMessageSize: bytes(1200),
  peersPerRound: 16,
};

/** Bytes of a topic's name and punctuation in addition to its entries. */
const TOPIC_OVERHEAD_BYTES = 8;
/**
 * A message is not started with fewer bytes than this available for entries.
 */
const MIN_ENTRIES_BYTES = 24;
const MAX_BURST: Milliseconds = seconds(1);

export interface GossipCounters {
  messages: number;
  /** Estimated bytes of all messages. */
  bytes: number;
  /** Rounds that ended early because the byte budget was spent. */
  deferred: number;
  /** Entries from peers that failed validation. */
  malformed: number;
  /** Topics in received messages that this router does not know. */
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
  readonly #topicsByName: ReadonlyMap<string, GossipTopic>;
  readonly #random: Random;
  readonly #settings: GossipSettings;
  readonly #peers = new Set<RouterId>();
  /** Peers that remain to be visited in this cycle. */
  #cycle: RouterId[] = [];
  #tokens: number;
  #refilledAt: Instant | undefined;

  constructor(options: GossipSchedulerOptions) {
    this.#topics = [...options.topics].sort(
      (left, right) => left.rank - right.rank,
    );
    this.#topicsByName = new Map(
      this.#topics.map(topic => [topic.name, topic]),
    );
    this.#random = options.random;
    this.#settings = options.settings ?? DEFAULT_GOSSIP_SETTINGS;
    this.#tokens = this.#capacity;
  }

  /**
   * Bytes that may be sent now; negative after spending more than the budget.
   */
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

  /**
   * Removes a peer with its state in all topics; a peer that returns gets
   * everything again.
   */
  removePeer(peer: RouterId): void {
    this.#peers.delete(peer);
    this.#cycle = this.#cycle.filter(other => other !== peer);
    for (const topic of this.#topics) {
      topic.forget(peer);
    }
  }

  /**
   * Charges bytes that were sent outside gossip messages, such as a whole
   * configuration.
   */
  charge(size: Bytes): void {
    this.#tokens -= size;
  }

  /** Returns the messages to send now. */
  round(now: Instant): readonly GossipMessage[] {
    this.#refill(now);
    const messages: GossipMessage[] = [];
    for (const peer of this.#peersToVisit()) {
      const message = this.#compose(peer, now);
      if (message) {
        messages.push(message);
      }
    }
    return messages;
  }

  /** Passes a peer's entries to their topics. */
  receive(peer: RouterId, topics: TopicEntries, now: Instant): void {
    for (const [name, entries] of Object.entries(topics)) {
      const topic = this.#topicsByName.get(name);
      if (topic) {
        this.counters.malformed += topic.receive(peer, entries, now);
      } else {
        this.counters.unknownTopic += 1;
      }
    }
  }

  get #capacity(): number {
    const { bytesPerSecond, maxMessageSize, messageOverhead } = this.#settings;
    const burstBytes = (bytesPerSecond * MAX_BURST) / seconds(1);
    return Math.max(burstBytes, maxMessageSize + messageOverhead);
  }

  #refill(now: Instant): void {
    const passed = elapsed(this.#refilledAt ?? now, now);
    if (passed >= 0) {
      this.#refilledAt = instant(now);
    }
    const refill =
      (Math.max(0, passed) * this.#settings.bytesPerSecond) / seconds(1);
    this.#tokens = Math.min(this.#capacity, this.#tokens + refill);
  }

  /** Bytes available for entries in a message sent now. */
  #availableBytes(): number {
    const { maxMessageSize, messageOverhead } = this.#settings;
    return Math.min(maxMessageSize, this.#tokens - messageOverhead);
  }

  /**
   * Yields the peers of this round as long as the budget allows another
   * message.
   */
  *#peersToVisit(): Generator<RouterId> {
    const visited = new Set<RouterId>();
    const peerCount = Math.min(this.#settings.peersPerRound, this.#peers.size);
    const urgent = this.#urgentPeers();
    const skipped: RouterId[] = [];
    while (visited.size < Math.max(peerCount, urgent.length)) {
      if (this.#availableBytes() < MIN_ENTRIES_BYTES) {
        this.counters.deferred += 1;
        break;
      }
      const next = urgent[visited.size] ?? this.#nextPeer();
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

  #urgentPeers(): RouterId[] {
    const urgent = this.#topics.flatMap(topic => topic.urgentPeers());
    return [...new Set(urgent)].filter(peer => this.#peers.has(peer));
  }

  #nextPeer(): RouterId | undefined {
    if (this.#cycle.length === 0) {
      this.#cycle = this.#shuffledPeers();
    }
    return this.#cycle.pop();
  }

  #shuffledPeers(): RouterId[] {
    const keyed = [...this.#peers].map(peer => ({
      peer,
      key: this.#random.fraction(),
    }));
    keyed.sort((left, right) => left.key - right.key);
    return keyed.map(entry => entry.peer);
  }

  #compose(peer: RouterId, now: Instant): GossipMessage | undefined {
    const topics: Record<string, readonly unknown[]> = {};
    let available = this.#availableBytes();
    let used = 0;
    for (const topic of this.#topics) {
      const share = available - TOPIC_OVERHEAD_BYTES;
      if (share <= 0) {
        break;
      }
      const entries = topic.take(peer, bytes(share), now);
      if (entries.length > 0) {
        topics[topic.name] = entries;
        const size = jsonSize(entries) + TOPIC_OVERHEAD_BYTES;
        available -= size;
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
