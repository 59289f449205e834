/** When a new router knows the highest version that the platform or a peer knows. */
import type { RouterId } from '../types/ids';
import { elapsed, seconds } from '../types/units';
import type { Instant } from '../types/units';

/** Time that further peers get to tell their version when the store is down. */
const PEER_GRACE = seconds(1);

export class ConfigurationReadiness {
  readonly #told = new Map<RouterId, number>();
  #firstTold: Instant | undefined;
  #tableRead = false;
  #tableDown = false;
  #ready = false;

  /** The table was read and what it holds is in force. */
  onTableRead(): void {
    this.#tableRead = true;
    this.#tableDown = false;
  }

  /** The table could not be read, or holds what cannot be used. */
  onTableUnusable(): void {
    this.#tableDown = true;
  }

  /** A peer that is ready itself told its version. */
  applyPeerVersion(peer: RouterId, version: number, now: Instant): void {
    this.#firstTold ??= now;
    this.#told.set(peer, version);
  }

  forget(peer: RouterId): void {
    this.#told.delete(peer);
  }

  /** Whether the version in force is the highest known; once true, it stays so. */
  isReady(version: number, now: Instant): boolean {
    this.#ready ||= this.#tableRead || this.#peersSuffice(version, now);
    return this.#ready;
  }

  #peersSuffice(version: number, now: Instant): boolean {
    if (!this.#tableDown || this.#firstTold === undefined) {
      return false;
    }
    const waited = elapsed(this.#firstTold, now) >= PEER_GRACE;
    const highest = Math.max(-1, ...this.#told.values());
    return waited && highest >= 0 && version >= highest;
  }
}
