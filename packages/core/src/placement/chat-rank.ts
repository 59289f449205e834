/**
 * Weighted rendezvous hashing of chats onto endpoints. Endpoint hashes are
 * cached, so that one score costs a few integer operations.
 */
import murmurhash from 'murmurhash';

import type { ChatId, EndpointId } from '../types/ids';
import type { Candidate } from './candidate';

const MAX_CACHED_HASHES = 4096;
const HASH_RANGE = 0x1_0000_0000;

/** Mixes the bits of a 32-bit number (finalizer of MurmurHash3). */
function mixBits(value: number): number {
  let hash = value;
  hash ^= hash >>> 16;
  hash = Math.imul(hash, 0x85ebca6b);
  hash ^= hash >>> 13;
  hash = Math.imul(hash, 0xc2b2ae35);
  hash ^= hash >>> 16;
  return hash >>> 0;
}

/** Scores endpoints for a chat; the endpoint with the highest score is its first choice. */
export class ChatRank {
  readonly #endpointHashes = new Map<EndpointId, number>();

  /** Returns the hash of a chat; computed once per placement decision. */
  chatHash(chat: ChatId): number {
    return murmurhash.v3(chat);
  }

  /** Returns a number in (0, 1) that is the same on every router for the pair. */
  fraction(chatHash: number, endpoint: EndpointId): number {
    const hash = mixBits(chatHash ^ this.#endpointHash(endpoint));
    return (hash + 0.5) / HASH_RANGE;
  }

  /**
   * Returns the candidate's score; its chance of having the highest one is
   * proportional to its capacity.
   */
  score(chatHash: number, candidate: Candidate): number {
    return (
      -candidate.capacity / Math.log(this.fraction(chatHash, candidate.id))
    );
  }

  #endpointHash(endpoint: EndpointId): number {
    const cached = this.#endpointHashes.get(endpoint);
    if (cached !== undefined) {
      return cached;
    }
    if (this.#endpointHashes.size >= MAX_CACHED_HASHES) {
      this.#endpointHashes.clear();
    }
    const hash = mixBits(murmurhash.v3(endpoint));
    this.#endpointHashes.set(endpoint, hash);
    return hash;
  }
}
