/**
 * Gossip topic that spreads accepted configuration versions between routers, so
 * that they reach every router even while the table is down.
 *
 * A router that applies a new version pushes the change to a few peers. All
 * other peers receive only the version number, a few bytes within a gossip
 * message, and request the change from one peer if they lack it. A router that
 * is too far behind to catch up by single changes fetches the full snapshot.
 */
import { z } from 'zod';

import { receiveEntries } from '../gossip/receive-entries';
import { GossipTopic } from '../gossip/gossip-topic';
import { jsonSize } from '../gossip/json-size';
import type { RouterId } from '../types/ids';
import { elapsed, seconds } from '../types/units';
import type { Bytes, Instant } from '../types/units';
import type { ConfigurationReplica } from './configuration-replica';
import { recordSchema } from './content';
import type { ConfigurationRecord } from './content';

/** Peers to which a router pushes a new change without a request. */
const DEFAULT_FANOUT = 4;
/** Time after which a missing change is requested again, from any peer. */
const REQUEST_RETRY_INTERVAL = seconds(1);
/** Time after which the version number is sent to a peer again. */
const DIGEST_REFRESH_INTERVAL = seconds(30);
/** Bytes of an entry's framing beside its record. */
const ENTRY_OVERHEAD_BYTES = 10;
const DIGEST_BYTES = 24;

const entrySchema = z.union([
  /** Digest: the sender's version and a value of `DigestState`. */
  z.tuple([z.literal('v'), z.int().min(0), z.int().min(0).max(2)]),
  z.tuple([z.literal('r'), recordSchema]),
  /**
   * The requested changes are no longer cached; the receiver must fetch the
   * full snapshot.
   */
  z.tuple([z.literal('s')]),
]);

type Entry = z.infer<typeof entrySchema>;

/**
 * Last number of a digest: whether the sender is ready, or requests the changes
 * above its version.
 */
const DigestState = { starting: 0, ready: 1, requesting: 2 } as const;

interface PeerVersionState {
  /** Highest version that the peer is known to have. */
  version: number | undefined;
  /** Version of this router that was last sent to the peer. */
  sentVersion: number | undefined;
  sentAt: Instant | undefined;
  /** Whether the peer requested the changes above its version. */
  hasRequested: boolean;
  /**
   * Whether the next digest to the peer requests the changes above this
   * router's version.
   */
  shouldRequest: boolean;
}

export interface ConfigurationTopicOptions {
  readonly replica: ConfigurationReplica;
  readonly fanout?: number;
}

export class ConfigurationTopic extends GossipTopic {
  override readonly name = 'c';
  override readonly rank = 0.5;
  readonly #replica: ConfigurationReplica;
  readonly #peers = new Map<RouterId, PeerVersionState>();
  #remainingPushes = 0;
  #lastRequest: { readonly peer: RouterId; readonly at: Instant } | undefined;
  #snapshotSource: RouterId | undefined;

  constructor(options: ConfigurationTopicOptions) {
    super();
    this.#replica = options.replica;
    const fanout = options.fanout ?? DEFAULT_FANOUT;
    this.#replica.subscribe(() => {
      this.#remainingPushes = fanout;
    });
  }

  /**
   * Returns the peer to fetch a full snapshot from, once for each time that one
   * is needed.
   */
  takeSnapshotSource(): RouterId | undefined {
    const source = this.#snapshotSource;
    this.#snapshotSource = undefined;
    return source;
  }

  /** Returns the highest version that each peer is known to have. */
  peerVersions(): ReadonlyMap<RouterId, number> {
    const versions = new Map<RouterId, number>();
    for (const [peer, { version }] of this.#peers) {
      if (version !== undefined) {
        versions.set(peer, version);
      }
    }
    return versions;
  }

  override urgentPeers(): readonly RouterId[] {
    const urgent: RouterId[] = [];
    for (const [peer, state] of this.#peers) {
      if (state.hasRequested || state.shouldRequest) {
        urgent.push(peer);
      }
    }
    return urgent;
  }

  override take(
    peer: RouterId,
    budget: Bytes,
    now: Instant,
  ): readonly unknown[] {
    const state = this.#state(peer);
    if ((state.version ?? 0) > this.#replica.version) {
      this.#requestChanges(state, now);
    }
    const entries: Entry[] = [];
    let remaining: number = budget;
    if (this.#shouldSendDigest(state, now) && remaining >= DIGEST_BYTES) {
      entries.push(this.#digest(peer, state, now));
      remaining -= DIGEST_BYTES;
    }
    return [...entries, ...this.#recordEntries(state, remaining)];
  }

  override receive(
    peer: RouterId,
    entries: readonly unknown[],
    now: Instant,
  ): number {
    return receiveEntries(entries, entrySchema, entry => {
      this.#receive(peer, entry, now);
    });
  }

  override forget(peer: RouterId): void {
    this.#peers.delete(peer);
    this.#replica.forgetPeer(peer);
  }

  #state(peer: RouterId): PeerVersionState {
    const known = this.#peers.get(peer);
    if (known) {
      return known;
    }
    const state: PeerVersionState = {
      version: undefined,
      sentVersion: undefined,
      sentAt: undefined,
      hasRequested: false,
      shouldRequest: false,
    };
    this.#peers.set(peer, state);
    return state;
  }

  #shouldSendDigest(state: PeerVersionState, now: Instant): boolean {
    const { sentVersion, sentAt, version, shouldRequest } = state;
    if (shouldRequest || sentVersion === undefined || sentAt === undefined) {
      return true;
    }
    const isKnown = version !== undefined && version >= this.#replica.version;
    const isNew = sentVersion !== this.#replica.version && !isKnown;
    return isNew || elapsed(sentAt, now) >= DIGEST_REFRESH_INTERVAL;
  }

  #digest(peer: RouterId, state: PeerVersionState, now: Instant): Entry {
    const ready = this.#replica.isReady(now)
      ? DigestState.ready
      : DigestState.starting;
    const digestState = state.shouldRequest ? DigestState.requesting : ready;
    if (state.shouldRequest) {
      this.#lastRequest = { peer, at: now };
    }
    state.shouldRequest = false;
    state.sentVersion = this.#replica.version;
    state.sentAt = now;
    return ['v', this.#replica.version, digestState];
  }

  /**
   * Returns the changes that the peer lacks, if it requested them or pushes of
   * the new change remain.
   */
  #recordEntries(state: PeerVersionState, budget: number): Entry[] {
    const { version, hasRequested } = state;
    const current = this.#replica.version;
    if (version === undefined || version >= current) {
      state.hasRequested = false;
      return [];
    }
    if (!hasRequested && this.#remainingPushes === 0) {
      return [];
    }
    const records = this.#replica.recordsAfter(version);
    if (!records) {
      state.hasRequested = false;
      return hasRequested && budget >= ENTRY_OVERHEAD_BYTES ? [['s']] : [];
    }
    const taken = this.#fitIntoBudget(records, budget);
    const last = taken.at(-1);
    if (last) {
      state.version = last.version;
      this.#remainingPushes -=
        hasRequested || this.#remainingPushes === 0 ? 0 : 1;
    }
    return taken.map(record => ['r', record]);
  }

  #fitIntoBudget(
    records: readonly ConfigurationRecord[],
    budget: number,
  ): ConfigurationRecord[] {
    const taken: ConfigurationRecord[] = [];
    let remaining = budget;
    for (const record of records) {
      remaining -= jsonSize(record) + ENTRY_OVERHEAD_BYTES;
      if (remaining < 0) {
        break;
      }
      taken.push(record);
    }
    return taken;
  }

  #receive(peer: RouterId, entry: Entry, now: Instant): void {
    const state = this.#state(peer);
    switch (entry[0]) {
      case 'v':
        this.#onDigest(peer, state, entry[1], entry[2], now);
        return;
      case 'r':
        this.#onRecord(peer, state, entry[1], now);
        return;
      case 's':
        this.#snapshotSource = peer;
        this.#replica.pollSoon();
        return;
    }
  }

  #onDigest(
    peer: RouterId,
    state: PeerVersionState,
    version: number,
    digestState: number,
    now: Instant,
  ): void {
    state.version = version;
    if (digestState === DigestState.ready) {
      this.#replica.applyPeerVersion(peer, version, now);
    }
    if (version > this.#replica.version) {
      this.#requestChanges(state, now);
    }
    if (
      digestState === DigestState.requesting &&
      version < this.#replica.version
    ) {
      state.hasRequested = true;
    }
  }

  #onRecord(
    peer: RouterId,
    state: PeerVersionState,
    record: ConfigurationRecord,
    now: Instant,
  ): void {
    state.version = Math.max(state.version ?? 0, record.version);
    this.#lastRequest = undefined;
    const applyResult = this.#replica.applyRecord(record);
    if (applyResult === 'gap') {
      this.#replica.pollSoon();
      this.#requestChanges(state, now);
    }
    if (applyResult === 'diverged') {
      this.#snapshotSource = peer;
    }
  }

  /** Requests from one peer at a time, so that a change is not received several times. */
  #requestChanges(state: PeerVersionState, now: Instant): void {
    const isWaiting =
      this.#lastRequest !== undefined &&
      elapsed(this.#lastRequest.at, now) < REQUEST_RETRY_INTERVAL;
    const isRequesting = [...this.#peers.values()].some(
      other => other.shouldRequest,
    );
    if (!isWaiting && !isRequesting) {
      state.shouldRequest = true;
    }
  }
}
