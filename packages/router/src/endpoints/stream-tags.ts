/** Authenticates event ids, so that only the team that owns a stream can resume it. */
import { createHmac, timingSafeEqual } from 'node:crypto';

import type { StreamPosition } from '@sesamegrade/core/streams/event-id';
import type {
  AttemptId,
  EndpointId,
  TeamId,
} from '@sesamegrade/core/types/ids';

const TAG_LENGTH = 16;

/** Creates and verifies tags with the secret that all routers share. */
export class StreamTags {
  readonly #secret: string;

  constructor(options: { readonly secret: string }) {
    this.#secret = options.secret;
  }

  tagOf(team: TeamId, endpoint: EndpointId, attempt: AttemptId): string {
    return createHmac('sha256', this.#secret)
      .update(JSON.stringify(['stream', team, endpoint, attempt]))
      .digest('hex')
      .slice(0, TAG_LENGTH);
  }

  /** Whether a router of this fleet issued this position to the team. */
  verify(team: TeamId, position: StreamPosition): boolean {
    const { endpoint, attempt, tag } = position;
    const expected = Buffer.from(this.tagOf(team, endpoint, attempt));
    const given = Buffer.from(tag);
    return expected.length === given.length && timingSafeEqual(expected, given);
  }
}
