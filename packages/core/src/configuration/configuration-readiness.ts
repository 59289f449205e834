/**
 * Decides when a new router has the highest version known to the table or, with
 * the table down, to its peers.
 */
import type { RouterId } from '../types/ids';
import { elapsed, seconds } from '../types/units';
import type { Instant } from '../types/units';

/** Time that further peers get to send their version when the table is down. */
const PEER_GRACE = seconds(1);

export class ConfigurationReadiness {
  readonly #peerVersions = new Map<RouterId, number>();
  #firstPeerVersionAt: Instant | undefined;
  #tableRead = false;
  #tableUnusable = false;
  #ready = false;

  /** Records that the table was read and its version is in force. */
  onTableRead(): void {
    this.#tableRead = true;
    this.#tableUnusable = false;
  }

  /** Records that the table could not be read or holds an unreadable row. */
  onTableUnusable(): void {
    this.#tableUnusable = true;
  }

  /** Records the version that a peer, itself ready, has in force. */
  applyPeerVersion(peer: RouterId, version: number, now: Instant): void {
    this.#firstPeerVersionAt ??= now;
    this.#peerVersions.set(peer, version);
  }

  forget(peer: RouterId): void {
    this.#peerVersions.delete(peer);
  }

  /** Whether the version in force is the highest known; once true, it stays so. */
  isReady(version: number, now: Instant): boolean {
    this.#ready ||= this.#tableRead || this.#peersSuffice(version, now);
    return this.#ready;
  }

  #peersSuffice(version: number, now: Instant): boolean {
    if (!this.#tableUnusable || this.#firstPeerVersionAt === undefined) {
      return false;
    }
    const waited = elapsed(this.#firstPeerVersionAt, now) >= PEER_GRACE;
    const highest = Math.max(-1, ...this.#peerVersions.values());
    return waited && highest >= 0 && version >= highest;
  }
}
