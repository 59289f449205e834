/** What of a request may crash endpoints, so that it is recognised under another id. */
import { createHash } from 'node:crypto';

import { partFingerprint } from '@sesamegrade/core/poison/suspect';
import { sharedParts } from '@sesamegrade/core/prompts/prompt-chain';
import type { Prompt } from '@sesamegrade/core/prompts/prompt-chain';
import { fingerprint } from '@sesamegrade/core/types/ids';
import type {
  Fingerprint,
  RouteId,
  ServiceId,
  TeamId,
} from '@sesamegrade/core/types/ids';

/** Bytes of the hash that are kept; 16 make a chance match practically impossible. */
const FINGERPRINT_BYTES = 16;

export interface RequestContent {
  readonly route: RouteId;
  readonly service: ServiceId;
  readonly method: string;
  /** Path and query. */
  readonly target: string;
  readonly team: TeamId | undefined;
  /** In full when the fingerprints are determined. */
  readonly body: { readonly bytes: Buffer };
  readonly prompt: Prompt | undefined;
}

/** Returns the whole request, and the parts of its prompt that others may share. */
export function requestContents(
  content: RequestContent,
): readonly Fingerprint[] {
  const { service, prompt } = content;
  const parts = prompt ? sharedParts(prompt) : [];
  return [
    wholeRequest(content),
    ...parts.map(({ id }) => partFingerprint(service, id)),
  ];
}

function wholeRequest({
  route,
  method,
  target,
  team,
  body,
}: RequestContent): Fingerprint {
  const hash = createHash('sha256')
    .update(JSON.stringify([route, method, target, team ?? null]))
    .update(body.bytes)
    .digest();
  return fingerprint(hash.subarray(0, FINGERPRINT_BYTES).toString('base64url'));
}
