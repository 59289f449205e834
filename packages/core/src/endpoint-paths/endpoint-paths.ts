/**
 * Which endpoints this router reaches by its own path and which only through another
 * router, learnt from how connections came about. Once several endpoints in a row are
 * reached through others only, the router takes itself for isolated and connects to
 * all endpoints that way, with a direct try now and then.
 */
import type { Address } from '../types/endpoint';
import { addTime, elapsed, milliseconds, seconds } from '../types/units';
import type { Instant, Milliseconds } from '../types/units';

/** How the first connection is tried; the other way follows if it fails. */
export type PathMode =
  | 'direct'
  | 'peer'
  /** Others did not reach the endpoint either, so that they are not asked. */
  | 'direct-only';

/** What a path does to new connections that it cuts. */
export type CutKind = 'timeout' | 'refused';

export interface PathChange {
  readonly address: Address;
  readonly isCut: boolean;
  readonly kind: CutKind | undefined;
  /** Whether the router takes itself for isolated from all endpoints. */
  readonly isIsolated: boolean;
}

/** Cut paths without a direct connection in between from which the router is taken for isolated. */
const ISOLATION_CUTS = 2;
const FIRST_RETRY: Milliseconds = seconds(1);
const MAX_RETRY: Milliseconds = seconds(4);
/** Time for which others are not asked about an endpoint that they did not reach. */
const UNREACHABLE_TIME: Milliseconds = seconds(1);

interface CutPath {
  readonly address: Address;
  readonly kind: CutKind;
  readonly retryDelay: Milliseconds;
  readonly retryAt: Instant;
}

export class EndpointPaths {
  readonly #cuts = new Map<string, CutPath>();
  readonly #unreachableUntil = new Map<string, Instant>();
  readonly #cutsInARow = new Set<string>();
  #retryAt: Instant | undefined;
  #listener: ((change: PathChange) => void) | undefined;

  onChanged(listener: (change: PathChange) => void): void {
    this.#listener = listener;
  }

  /** Whether the router takes itself for isolated from all endpoints. */
  get isIsolated(): boolean {
    return this.#cutsInARow.size >= ISOLATION_CUTS;
  }

  /** Number of endpoints that this router reaches only through others. */
  get cutCount(): number {
    return this.#cuts.size;
  }

  /** Whether an endpoint is reached only through others. */
  isCut(address: Address): boolean {
    return this.isIsolated || this.#cuts.has(keyOf(address));
  }

  mode(address: Address, now: Instant): PathMode {
    const key = keyOf(address);
    const unreachableUntil = this.#unreachableUntil.get(key);
    if (unreachableUntil !== undefined && elapsed(now, unreachableUntil) > 0) {
      return 'direct-only';
    }
    this.#unreachableUntil.delete(key);
    return this.isRetryDue(address, now) ? 'direct' : 'peer';
  }

  /** Whether a new connection tries the direct path first, as it is not known as cut or may be back. */
  isRetryDue(address: Address, now: Instant): boolean {
    const cut = this.#cuts.get(keyOf(address));
    if (cut) {
      return elapsed(cut.retryAt, now) >= 0;
    }
    return (
      !this.isIsolated ||
      this.#retryAt === undefined ||
      elapsed(this.#retryAt, now) >= 0
    );
  }

  /** Records that a direct connection came about. */
  recordDirect(address: Address): void {
    const wasCut = this.#cuts.delete(keyOf(address));
    this.#cutsInARow.clear();
    this.#unreachableUntil.delete(keyOf(address));
    if (wasCut) {
      this.#listener?.({
        address,
        isCut: false,
        kind: undefined,
        isIsolated: false,
      });
    }
  }

  /** Records that a connection came about through another router and not directly. */
  recordPeer(address: Address, kind: CutKind, now: Instant): void {
    const key = keyOf(address);
    const known = this.#cuts.get(key);
    const isRetry = known !== undefined && elapsed(known.retryAt, now) >= 0;
    if (known && !isRetry) {
      return;
    }
    const retryDelay = known
      ? milliseconds(Math.min(MAX_RETRY, known.retryDelay * 2))
      : FIRST_RETRY;
    const retryAt = addTime(now, retryDelay);
    this.#cuts.set(key, { address, kind, retryDelay, retryAt });
    this.#cutsInARow.add(key);
    this.#retryAt = addTime(now, FIRST_RETRY);
    if (!known) {
      const { isIsolated } = this;
      this.#listener?.({ address, isCut: true, kind, isIsolated });
    }
  }

  /** Forgets the paths to all other addresses, as their endpoints are gone. */
  retain(addresses: readonly Address[]): void {
    const keys = new Set(addresses.map(address => keyOf(address)));
    for (const rows of [this.#cuts, this.#unreachableUntil]) {
      for (const key of rows.keys()) {
        if (!keys.has(key)) {
          rows.delete(key);
        }
      }
    }
    for (const key of this.#cutsInARow) {
      if (!keys.has(key)) {
        this.#cutsInARow.delete(key);
      }
    }
  }

  /** Records that neither this router nor others reached the endpoint. */
  recordUnreachable(address: Address, now: Instant): void {
    const key = keyOf(address);
    this.#unreachableUntil.set(key, addTime(now, UNREACHABLE_TIME));
    this.#cuts.delete(key);
    this.#cutsInARow.delete(key);
  }
}

function keyOf({ host, port }: Address): string {
  return `${host}:${port}`;
}
