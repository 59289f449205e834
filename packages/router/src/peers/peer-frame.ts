/**
 * Decodes frames that a peer sent. Their shape is checked first, as the library
 * allocates lists in the length that the frame claims.
 */
import { decode } from '@msgpack/msgpack';
import { z } from 'zod';

/** Largest number of lists and maps within each other. */
const MAX_DEPTH = 32;
/** Largest number of lists and maps in a frame. */
const MAX_CONTAINERS = 200_000;
/** Largest number of values and keys in a frame. */
const MAX_VALUES = 500_000;

/** A frame is no MessagePack, or more of it than is read. */
export class FrameError extends Error {}

/** What follows the first byte of a value. */
type Layout =
  /** A number of bytes. */
  | { readonly kind: 'fixed'; readonly size: number }
  /** A length in the given number of bytes, other bytes, and as many as the length says. */
  | {
      readonly kind: 'bytes';
      readonly lengthSize: number;
      readonly extra: number;
    }
  /** A count in the given number of bytes, and the values of each item. */
  | {
      readonly kind: 'container';
      readonly countSize: number;
      readonly perItem: 1 | 2;
    };

const fixed = (size: number): Layout => ({ kind: 'fixed', size });
const sized = (lengthSize: number, extra = 0): Layout => ({
  kind: 'bytes',
  lengthSize,
  extra,
});
const container = (countSize: number, perItem: 1 | 2): Layout => ({
  kind: 'container',
  countSize,
  perItem,
});

/** Layouts of the first bytes 0xc0 to 0xdf; 0xc1 is not used. */
const LAYOUTS: readonly (Layout | undefined)[] = [
  fixed(0),
  undefined,
  fixed(0),
  fixed(0),
  ...[1, 2, 4].map(size => sized(size)),
  ...[1, 2, 4].map(size => sized(size, 1)),
  ...[4, 8, 1, 2, 4, 8, 1, 2, 4, 8].map(size => fixed(size)),
  ...[1, 2, 4, 8, 16].map(size => fixed(size + 1)),
  ...[1, 2, 4].map(size => sized(size)),
  container(2, 1),
  container(4, 1),
  container(2, 2),
  container(4, 2),
];
const FIRST_LAYOUT = 0xc0;
const LAST_LAYOUT = 0xdf;
const FIXED_MAP = 0x80;
const FIXED_LIST = 0x90;
const FIXED_TEXT = 0xa0;

/** Throws if the frame is malformed or exceeds a limit. */
export function decodeFrame(frame: Uint8Array): unknown {
  new FrameCheck(frame).run();
  return decode(frame);
}

class FrameCheck {
  readonly #frame: Uint8Array;
  readonly #view: DataView;
  /** Values that the open containers still lack, the innermost one last. */
  readonly #missing: number[] = [1];
  #at = 0;
  #containers = 0;
  #values = 0;

  constructor(frame: Uint8Array) {
    this.#frame = frame;
    this.#view = new DataView(frame.buffer, frame.byteOffset, frame.byteLength);
  }

  run(): void {
    for (;;) {
      const missing = this.#missing.at(-1);
      if (missing === undefined) {
        break;
      }
      if (missing === 0) {
        this.#missing.pop();
        continue;
      }
      this.#missing[this.#missing.length - 1] = missing - 1;
      this.#readValue();
    }
    if (this.#at !== this.#frame.length) {
      throw new FrameError('the frame holds more than one value');
    }
  }

  #readValue(): void {
    const first = this.#frame[this.#at];
    if (first === undefined) {
      throw new FrameError('the frame ends within a value');
    }
    this.#at += 1;
    this.#values += 1;
    if (this.#values > MAX_VALUES) {
      throw new FrameError('the frame holds too many values');
    }
    if (first >= FIRST_LAYOUT && first <= LAST_LAYOUT) {
      this.#readLayout(LAYOUTS[first - FIRST_LAYOUT]);
    } else if (first >= FIXED_TEXT && first < FIRST_LAYOUT) {
      this.#skip(first - FIXED_TEXT);
    } else if (first >= FIXED_LIST && first < FIXED_TEXT) {
      this.#open(first - FIXED_LIST);
    } else if (first >= FIXED_MAP && first < FIXED_LIST) {
      this.#open(2 * (first - FIXED_MAP));
    }
  }

  #readLayout(layout: Layout | undefined): void {
    switch (layout?.kind) {
      case undefined:
        throw new FrameError('the frame holds a byte that begins no value');
      case 'fixed':
        this.#skip(layout.size);
        break;
      case 'bytes':
        this.#skip(this.#readLength(layout.lengthSize) + layout.extra);
        break;
      case 'container':
        this.#open(layout.perItem * this.#readLength(layout.countSize));
        break;
    }
  }

  /** Begins a container; each of its values takes at least one byte. */
  #open(values: number): void {
    this.#containers += 1;
    const isTooLarge =
      values > this.#frame.length - this.#at ||
      this.#containers > MAX_CONTAINERS ||
      this.#missing.length > MAX_DEPTH;
    if (isTooLarge) {
      throw new FrameError('the frame claims too much or nests too deep');
    }
    this.#missing.push(values);
  }

  #readLength(size: number): number {
    const start = this.#at;
    this.#skip(size);
    switch (size) {
      case 1:
        return this.#view.getUint8(start);
      case 2:
        return this.#view.getUint16(start);
      default:
        return this.#view.getUint32(start);
    }
  }

  #skip(size: number): void {
    this.#at += size;
    if (this.#at > this.#frame.length) {
      throw new FrameError('the frame ends within a value');
    }
  }
}

const resultSchema = z.union([
  z.object({ type: z.enum(['started', 'stopped']) }),
  z.object({
    type: z.literal('data').optional(),
    id: z.string().optional(),
    /** Absent if the procedure returns nothing. */
    data: z.unknown().optional(),
  }),
]);
const answerSchema = z.union([
  z.object({ method: z.literal('reconnect') }),
  z.object({
    id: z.union([z.number(), z.string()]),
    result: resultSchema,
  }),
  z.object({
    id: z.union([z.number(), z.string()]).nullable(),
    error: z.object({ code: z.number(), message: z.string() }),
  }),
]);

/** Whether a decoded frame is an answer that tRPC's client reads without an exception. */
export function isSoundAnswer(message: unknown): boolean {
  return isUpdate(message) || answerSchema.safeParse(message).success;
}

/** Whether an answer is data of a subscription or a call, as all but a few are. */
function isUpdate(message: unknown): boolean {
  if (!isRecord(message) || !isRecord(message.result)) {
    return false;
  }
  const { id, result } = message;
  return (
    typeof id === 'number' &&
    Number.isFinite(id) &&
    result.type === 'data' &&
    result.id === undefined
  );
}

function isRecord(value: unknown): value is Record<string, unknown> {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}
