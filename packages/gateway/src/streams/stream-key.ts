/** Keys of streams in the store's table and in messages between routers. */
import { createHash } from 'node:crypto';

import { streamKey } from '@sesamegrade/core/types/ids';
import type { RequestId, StreamKey } from '@sesamegrade/core/types/ids';

/** Characters of the digest in a key, which hold 66 bits. */
const KEY_LENGTH = 11;

/** Returns the key of the stream that a request began. */
export function keyOfStream(request: RequestId): StreamKey {
  const digest = createHash('sha256').update(request).digest('base64url');
  return streamKey(digest.slice(0, KEY_LENGTH));
}
