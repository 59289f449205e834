/** Which router knows which version of which suspect, and what waits to be sent. */
import type { Fingerprint, RouterId } from '../types/ids';
import { elapsed, instant, milliseconds } from '../types/units';
import type { Instant } from '../types/units';
import { suspectVersion } from './suspect';
import type { Suspect } from './suspect';
import type { SuspectMessage } from './suspect-message';

/** A row that was told and not confirmed is told again after this. */
const retellAfter = milliseconds(1000);
/** Directed messages kept per peer. */
const maxOutbox = 1024;

interface DeliveryState {
  acknowledgedVersion: number;
  sentVersion: number;
  sentAt: Instant;
}

interface PeerState {
  readonly rows: Map<Fingerprint, DeliveryState>;
  outbox: SuspectMessage[];
}

export class SuspectDelivery {
  readonly #peers = new Map<RouterId, PeerState>();

  /** Queues a message for one peer; the oldest go when too many wait. */
  enqueue(peer: RouterId, message: SuspectMessage): void {
    const { outbox } = this.#peer(peer);
    outbox.push(message);
    if (outbox.length > maxOutbox) {
      outbox.shift();
    }
  }

  /** Hands over what waits for a peer, as long as `fits` agrees. */
  takeOutbox(
    peer: RouterId,
    fits: (message: SuspectMessage) => boolean,
  ): SuspectMessage[] {
    const state = this.#peer(peer);
    const taken: SuspectMessage[] = [];
    for (const message of state.outbox) {
      if (!fits(message)) {
        break;
      }
      taken.push(message);
    }
    state.outbox = state.outbox.slice(taken.length);
    return taken;
  }

  /** True when the peer has to be told the row now. */
  shouldSend(peer: RouterId, row: Suspect, now: Instant): boolean {
    const version = suspectVersion(row);
    const sent = this.#peer(peer).rows.get(row.id);
    if (!sent || sent.sentVersion < version) {
      return (sent?.acknowledgedVersion ?? 0) < version;
    }
    return (
      sent.acknowledgedVersion < version &&
      elapsed(sent.sentAt, now) >= retellAfter
    );
  }

  recordSent(peer: RouterId, row: Suspect, now: Instant): void {
    const { rows } = this.#peer(peer);
    const acknowledged = rows.get(row.id)?.acknowledgedVersion ?? 0;
    rows.set(row.id, {
      acknowledgedVersion: acknowledged,
      sentVersion: suspectVersion(row),
      sentAt: now,
    });
  }

  /** Notes that the peer has a version of the row. */
  recordAcknowledged(peer: RouterId, id: Fingerprint, version: number): void {
    const { rows } = this.#peer(peer);
    const row = rows.get(id);
    if (row) {
      row.acknowledgedVersion = Math.max(row.acknowledgedVersion, version);
    } else {
      rows.set(id, {
        acknowledgedVersion: version,
        sentVersion: 0,
        sentAt: instant(0),
      });
    }
  }

  isAcknowledged(peer: RouterId, row: Suspect): boolean {
    const known =
      this.#peers.get(peer)?.rows.get(row.id)?.acknowledgedVersion ?? 0;
    return known >= suspectVersion(row);
  }

  /** Drops what is kept on rows that are gone. */
  retain(has: (id: Fingerprint) => boolean): void {
    for (const { rows } of this.#peers.values()) {
      for (const id of rows.keys()) {
        if (!has(id)) {
          rows.delete(id);
        }
      }
    }
  }

  forget(peer: RouterId): void {
    this.#peers.delete(peer);
  }

  #peer(peer: RouterId): PeerState {
    let state = this.#peers.get(peer);
    if (!state) {
      state = { rows: new Map(), outbox: [] };
      this.#peers.set(peer, state);
    }
    return state;
  }
}
