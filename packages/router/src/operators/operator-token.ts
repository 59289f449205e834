import { createHash, timingSafeEqual } from 'node:crypto';

const PREFIX = 'Bearer ';

function digest(value: string): Buffer {
  return createHash('sha256').update(value).digest();
}

/** The operators' bearer token; it is compared in constant time. */
export class OperatorToken {
  readonly #digest: Buffer;

  constructor(token: string) {
    this.#digest = digest(token);
  }

  /** Whether an `Authorization` header carries the token. */
  matches(header: string | undefined): boolean {
    if (!header?.startsWith(PREFIX)) {
      return false;
    }
    return timingSafeEqual(digest(header.slice(PREFIX.length)), this.#digest);
  }
}
