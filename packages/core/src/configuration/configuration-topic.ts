/**
 * Spreads accepted versions between routers, so that they arrive everywhere
 * also while the table is down.
 *
 * A router that gets a new version pushes the change to a few peers at once;
 * everyone else learns the version's number, a few bytes beside other news, and
 * asks one peer for the change when it has none yet. A router that is too far
 * behind for single changes asks for the whole version.
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

/** Peers that a router sends a new change to unasked. */
const DEFAULT_PUSHES = 4;
/** Time after which another peer is asked for a missing change. */
const ASK_AGAIN = seconds(1);
/** Time after which a version's number is told again to a peer. */
const REMIND = seconds(30);
const ENTRY_OVERHEAD = 10;
const DIGEST_SIZE = 24;

const entrySchema = z.union([
  /** The sender's version, whether it is ready, and whether it asks for what is above. */
  z.tuple([z.literal('v'), z.int().min(0), z.int().min(0).max(2)]),
  z.tuple([z.literal('r'), recordSchema]),
  /** The changes asked for are not kept; the whole version has to be fetched. */
  z.tuple([z.literal('s')]),
]);

type Entry = z.infer<typeof entrySchema>;

/** Meaning of a digest's last number. */
const DigestState = { starting: 0, ready: 1, asking: 2 } as const;

interface PeerState {
  /** Highest version that the peer has, as far as known. */
  version: number | undefined;
  /** Version that it was told this router has. */
  told: number | undefined;
  toldAt: Instant | undefined;
  /** Whether it asked for the changes above its version. */
  asks: boolean;
  /** Whether it will be asked for the changes above this router's version. */
  toAsk: boolean;
}

export interface ConfigurationTopicOptions {
  readonly replica: ConfigurationReplica;
  readonly fanout?: number;
}

export class ConfigurationTopic extends GossipTopic {
  override readonly name = 'c';
  override readonly rank = 0.5;
  readonly #keeper: ConfigurationReplica;
  readonly #peers = new Map<RouterId, PeerState>();
  #pushes = 0;
  #asked: { readonly peer: RouterId; readonly at: Instant } | undefined;
  #snapshotSource: RouterId | undefined;

  constructor(options: ConfigurationTopicOptions) {
    super();
    this.#keeper = options.replica;
    const pushes = options.fanout ?? DEFAULT_PUSHES;
    this.#keeper.subscribe(() => {
      this.#pushes = pushes;
    });
  }

  /** Returns a peer to fetch the whole version from, once each time it is needed. */
  takeSnapshotSource(): RouterId | undefined {
    const source = this.#snapshotSource;
    this.#snapshotSource = undefined;
    return source;
  }

  /** Versions that peers have in force, as far as this router knows. */
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
      if (state.asks || state.toAsk) {
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
    if ((state.version ?? 0) > this.#keeper.version) {
      this.#ask(state, now);
    }
    const entries: Entry[] = [];
    let left: number = budget;
    if (this.#digestDue(state, now) && left >= DIGEST_SIZE) {
      entries.push(this.#digest(peer, state, now));
      left -= DIGEST_SIZE;
    }
    return [...entries, ...this.#changes(state, left)];
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
    this.#keeper.forgetPeer(peer);
  }

  #state(peer: RouterId): PeerState {
    const known = this.#peers.get(peer);
    if (known) {
      return known;
    }
    const state: PeerState = {
      version: undefined,
      told: undefined,
      toldAt: undefined,
      asks: false,
      toAsk: false,
    };
    this.#peers.set(peer, state);
    return state;
  }

  #digestDue(state: PeerState, now: Instant): boolean {
    const { told, toldAt, version, toAsk } = state;
    if (toAsk || told === undefined || toldAt === undefined) {
      return true;
    }
    const knows = version !== undefined && version >= this.#keeper.version;
    const news = told !== this.#keeper.version && !knows;
    return news || elapsed(toldAt, now) >= REMIND;
  }

  #digest(peer: RouterId, state: PeerState, now: Instant): Entry {
    const ready = this.#keeper.isReady(now)
      ? DigestState.ready
      : DigestState.starting;
    const number = state.toAsk ? DigestState.asking : ready;
    if (state.toAsk) {
      this.#asked = { peer, at: now };
    }
    state.toAsk = false;
    state.told = this.#keeper.version;
    state.toldAt = now;
    return ['v', this.#keeper.version, number];
  }

  /** Changes that the peer lacks, if it asked or is one of the few to push to. */
  #changes(state: PeerState, budget: number): Entry[] {
    const { version, asks } = state;
    const current = this.#keeper.version;
    if (version === undefined || version >= current) {
      state.asks = false;
      return [];
    }
    if (!asks && this.#pushes === 0) {
      return [];
    }
    const records = this.#keeper.recordsAfter(version);
    if (!records) {
      state.asks = false;
      return asks && budget >= ENTRY_OVERHEAD ? [['s']] : [];
    }
    const taken = this.#fitting(records, budget);
    const last = taken.at(-1);
    if (last) {
      state.version = last.version;
      this.#pushes -= asks || this.#pushes === 0 ? 0 : 1;
    }
    return taken.map(record => ['r', record]);
  }

  #fitting(
    records: readonly ConfigurationRecord[],
    budget: number,
  ): ConfigurationRecord[] {
    const taken: ConfigurationRecord[] = [];
    let left = budget;
    for (const record of records) {
      left -= jsonSize(record) + ENTRY_OVERHEAD;
      if (left < 0) {
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
        this.#digestArrived(peer, state, entry[1], entry[2], now);
        return;
      case 'r':
        this.#recordArrived(peer, state, entry[1], now);
        return;
      case 's':
        this.#snapshotSource = peer;
        this.#keeper.pollSoon();
        return;
    }
  }

  #digestArrived(
    peer: RouterId,
    state: PeerState,
    version: number,
    number: number,
    now: Instant,
  ): void {
    state.version = version;
    if (number === DigestState.ready) {
      this.#keeper.applyPeerVersion(peer, version, now);
    }
    if (version > this.#keeper.version) {
      this.#ask(state, now);
    }
    if (number === DigestState.asking && version < this.#keeper.version) {
      state.asks = true;
    }
  }

  #recordArrived(
    peer: RouterId,
    state: PeerState,
    record: ConfigurationRecord,
    now: Instant,
  ): void {
    state.version = Math.max(state.version ?? 0, record.version);
    this.#asked = undefined;
    const adoption = this.#keeper.applyRecord(record);
    if (adoption === 'gap') {
      this.#keeper.pollSoon();
      this.#ask(state, now);
    }
    if (adoption === 'diverged') {
      this.#snapshotSource = peer;
    }
  }

  /** Asks one peer at a time, so that a change does not arrive many times over. */
  #ask(state: PeerState, now: Instant): void {
    const waits =
      this.#asked !== undefined && elapsed(this.#asked.at, now) < ASK_AGAIN;
    const others = [...this.#peers.values()].some(other => other.toAsk);
    if (!waits && !others) {
      state.toAsk = true;
    }
  }
}
