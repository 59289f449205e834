/** The complete body of a request, which may be released before its request ends. */

/** Bytes of a body that are written at once; a longer one is written piece by piece. */
export const BODY_PIECE_BYTES = 65_536;

/** Which bodies are released first when memory is short. */
export type ReleaseOrder =
  /** Only an attempt that provably did not run would be followed by another one. */
  | 'unlikely-retry'
  /** The request may be repeated. */
  | 'possible-retry';

export interface RequestBodyAccount {
  readonly onReleasable: (body: RequestBody, order: ReleaseOrder) => void;
  readonly onNeeded: (body: RequestBody) => void;
  readonly onReleased: (body: RequestBody) => void;
}

export class RequestBody {
  readonly #account: RequestBodyAccount;
  #bytes: Buffer | undefined;
  #onRelease: (() => void) | undefined;
  /** In bytes, also after the release. */
  readonly length: number;

  constructor(bytes: Buffer, account: RequestBodyAccount) {
    this.#bytes = bytes;
    this.#account = account;
    this.length = bytes.length;
  }

  /** Whether another attempt can be sent. */
  get isHeld(): boolean {
    return this.#bytes !== undefined;
  }

  /** The body; empty after its release. */
  get bytes(): Buffer {
    return this.#bytes ?? Buffer.alloc(0);
  }

  /** Whether it is written piece by piece, so that nothing else keeps its memory once it is released. */
  get hasPieces(): boolean {
    return this.length > BODY_PIECE_BYTES;
  }

  /** Calls the listener before the bytes are released, in place of an earlier one. */
  onRelease(listener: (() => void) | undefined): void {
    this.#onRelease = listener;
  }

  /** Allows the release of a body that has been written, if others need the memory. */
  markReleasable(order: ReleaseOrder): void {
    if (this.isHeld && this.hasPieces) {
      this.#account.onReleasable(this, order);
    }
  }

  /** Keeps the body, as an attempt is about to write it. */
  markNeeded(): void {
    this.#account.onNeeded(this);
  }

  release(): void {
    if (!this.isHeld) {
      return;
    }
    this.#onRelease?.();
    this.#bytes = undefined;
    this.#account.onReleased(this);
  }
}
