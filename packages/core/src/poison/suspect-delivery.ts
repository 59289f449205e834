/**
 * Tracks which version of each suspect every peer has acknowledged, and queues
 * messages to single peers.
 */
import type { Fingerprint, RouterId } from '../types/ids';
import { elapsed, instant, milliseconds } from '../types/units';
import type { Instant } from '../types/units';
import { suspectVersion } from './suspect';
import type { Suspect } from './suspect';
import type { SuspectMessage } from './suspect-message';

/** An unacknowledged row is sent again after this time. */
const RESEND_AFTER = milliseconds(1000);
/** Messages queued per peer. */
const MAX_OUTBOX_MESSAGES = 1024;

interface DeliveryState {
  acknowledgedVersion: number;
  sentVersion: number;
  sentAt: Instant;
}

interface PeerDeliveryState {
  readonly rows: Map<Fingerprint, DeliveryState>;
  outbox: SuspectMessage[];
}

export class SuspectDelivery {
  readonly #peers = new Map<RouterId, PeerDeliveryState>();

  /**
   * Queues a message for one peer; the oldest is dropped when the queue is
   * full.
   */
  enqueue(peer: RouterId, message: SuspectMessage): void {
    const { outbox } = this.#peer(peer);
    outbox.push(message);
    if (outbox.length > MAX_OUTBOX_MESSAGES) {
      outbox.shift();
    }
  }

  /**
   * Removes and returns the queued messages of a peer, in order, until `fits`
   * returns false.
   */
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

  /** True when the current version of the row must be sent to the peer now. */
  shouldSend(peer: RouterId, row: Suspect, now: Instant): boolean {
    const version = suspectVersion(row);
    const sent = this.#peer(peer).rows.get(row.id);
    if (!sent || sent.sentVersion < version) {
      return (sent?.acknowledgedVersion ?? 0) < version;
    }
    return (
      sent.acknowledgedVersion < version &&
      elapsed(sent.sentAt, now) >= RESEND_AFTER
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

  /** Records that the peer has a version of the row. */
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
    const acknowledged =
      this.#peers.get(peer)?.rows.get(row.id)?.acknowledgedVersion ?? 0;
    return acknowledged >= suspectVersion(row);
  }

  /** Drops the state of rows for which `has` returns false. */
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

  #peer(peer: RouterId): PeerDeliveryState {
    let state = this.#peers.get(peer);
    if (!state) {
      state = { rows: new Map(), outbox: [] };
      this.#peers.set(peer, state);
    }
    return state;
  }
}
