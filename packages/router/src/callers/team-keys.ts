/** Identifies teams by their API keys, of which the settings contain only SHA-256 hashes. */
import { createHash, timingSafeEqual } from 'node:crypto';

import { teamId } from '@sesamegrade/core/types/ids';
import type { TeamId } from '@sesamegrade/core/types/ids';

const BEARER_PATTERN = /^Bearer ([\x21-\x7e]{1,512})$/u;

/** Returns the hash of a key as it is written in the settings (`key_sha256`). */
export function hashKey(key: string): string {
  return createHash('sha256').update(key).digest('hex');
}

export class TeamKeys {
  readonly #teams = new Map<string, TeamId>();

  constructor(hashes: Readonly<Record<string, { key_sha256: string }>>) {
    for (const [team, { key_sha256 }] of Object.entries(hashes)) {
      this.#teams.set(key_sha256, teamId(team));
    }
  }

  /**
   * Returns the team of an `Authorization` header; undefined when no key matches.
   * Compares with every hash in constant time, so that timing reveals no key.
   */
  teamOf(authorization: string | undefined): TeamId | undefined {
    const key = BEARER_PATTERN.exec(authorization ?? '')?.[1];
    if (key === undefined) {
      return undefined;
    }
    const given = Buffer.from(hashKey(key));
    let found: TeamId | undefined;
    for (const [hash, team] of this.#teams) {
      if (timingSafeEqual(Buffer.from(hash), given)) {
        found = team;
      }
    }
    return found;
  }
}
