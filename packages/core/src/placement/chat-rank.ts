/**
 * Weighted rendezvous ranks of endpoints for a chat. Hashes of endpoints are
 * kept, so that one rank costs a few integer operations.
 */
import murmurhash from 'murmurhash';

import type { ChatId, EndpointId } from '../types/ids';
import type { Candidate } from './candidate';

const maxKeptHashes = 4096;
const hashRange = 0x1_0000_0000;

/** Spreads the bits of a 32-bit number (finalizer of MurmurHash3). */
function spread(value: number): number {
  let hash = value;
  hash ^= hash >>> 16;
  hash = Math.imul(hash, 0x85ebca6b);
  hash ^= hash >>> 13;
  hash = Math.imul(hash, 0xc2b2ae35);
  hash ^= hash >>> 16;
  return hash >>> 0;
}

/** Ranks endpoints; a chat's highest score is its first choice. */
export class ChatRank {
  readonly #endpointHashes = new Map<EndpointId, number>();

  /** Returns the hash of a chat, to be computed once for a decision. */
  chatHash(chat: ChatId): number {
    return murmurhash.v3(chat);
  }

  /** Returns a number in (0, 1) that every router computes alike for the pair. */
  fraction(chatHash: number, endpoint: EndpointId): number {
    const hash = spread(chatHash ^ this.#endpointHash(endpoint));
    return (hash + 0.5) / hashRange;
  }

  /** Returns the candidate's score; candidates win in proportion to capacity. */
  score(chatHash: number, candidate: Candidate): number {
    return (
      -candidate.capacity / Math.log(this.fraction(chatHash, candidate.id))
    );
  }

  #endpointHash(endpoint: EndpointId): number {
    const kept = this.#endpointHashes.get(endpoint);
    if (kept !== undefined) {
      return kept;
    }
    if (this.#endpointHashes.size >= maxKeptHashes) {
      this.#endpointHashes.clear();
    }
    const hash = spread(murmurhash.v3(endpoint));
    this.#endpointHashes.set(endpoint, hash);
    return hash;
  }
}
