/** Names a routing of streams in the list of default versions. */
import { createHash } from 'node:crypto';

/** Length of a name in characters of 6 bits. */
const NAME_LENGTH = 16;

/** Returns a short name that no other text has. */
export function routingName(text: string): string {
  return createHash('sha256')
    .update(text)
    .digest('base64url')
    .slice(0, NAME_LENGTH);
}
