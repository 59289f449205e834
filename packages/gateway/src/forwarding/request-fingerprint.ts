/** Identifies the content of a request, so that a resend under another id is recognised. */
import { createHash } from 'node:crypto';

import { fingerprint } from '@sesamegrade/core/types/ids';
import type { Fingerprint, RouteId, TeamId } from '@sesamegrade/core/types/ids';

/** Bytes of the hash that are kept; 16 make a chance match practically impossible. */
const FINGERPRINT_BYTES = 16;

export interface RequestContent {
  readonly route: RouteId;
  readonly method: string;
  /** Path and query. */
  readonly target: string;
  readonly team: TeamId | undefined;
  readonly body: Buffer;
}

export function requestFingerprint({
  route,
  method,
  target,
  team,
  body,
}: RequestContent): Fingerprint {
  const hash = createHash('sha256')
    .update(JSON.stringify([route, method, target, team ?? null]))
    .update(body)
    .digest();
  return fingerprint(hash.subarray(0, FINGERPRINT_BYTES).toString('base64url'));
}
