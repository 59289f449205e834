/**
 * Splits a stream of server-sent events at event boundaries without changing a
 * byte, so that a response that breaks off within an event can be resumed at
 * another endpoint after the last complete one.
 */

const LF = 0x0a;
const CR = 0x0d;
const COLON = 0x3a;
const SPACE = 0x20;
const ZERO = 0x30;
const NINE = 0x39;
const ID_FIELD = [0x69, 0x64, COLON];

export interface CompleteEvents {
  /** Bytes up to the end of the last complete event; may be empty. */
  readonly bytes: Uint8Array;
  /** Number of complete events. */
  readonly count: number;
  /** Numeric ids of the first and the last complete event that has one. */
  readonly firstId: number | undefined;
  readonly lastId: number | undefined;
}

const EMPTY: Uint8Array = new Uint8Array(0);

export class EventSplitter {
  #tail: Uint8Array = EMPTY;
  /** Start of the last line of the tail, whose earlier lines are not scanned again. */
  #tailLineStart = 0;
  /** Id that the lines of the tail before its last one give to its event. */
  #tailEventId: number | undefined;

  /** Bytes of the incomplete event at the end. */
  get tail(): Uint8Array {
    return this.#tail;
  }

  /** Whether a stream that ends here ends within an event; a comment is none. */
  get isWithinEvent(): boolean {
    let lineStart = 0;
    for (let index = 0; index <= this.#tail.length; index += 1) {
      if (index < this.#tail.length && this.#tail[index] !== LF) {
        continue;
      }
      if (
        !isBlank(this.#tail, lineStart, index) &&
        this.#tail[lineStart] !== COLON
      ) {
        return true;
      }
      lineStart = index + 1;
    }
    return false;
  }

  feed(chunk: Uint8Array): CompleteEvents {
    const scanned = this.#tail.length;
    const bytes = scanned === 0 ? chunk : join(this.#tail, chunk);
    let count = 0;
    let firstId: number | undefined;
    let lastId: number | undefined;
    let eventId = this.#tailEventId;
    let end = 0;
    let lineStart = this.#tailLineStart;
    for (let index = scanned; index < bytes.length; index += 1) {
      if (bytes[index] !== LF) {
        continue;
      }
      if (isBlank(bytes, lineStart, index)) {
        end = index + 1;
        count += 1;
        firstId ??= eventId;
        lastId = eventId ?? lastId;
        eventId = undefined;
      } else {
        eventId = eventNumber(bytes, lineStart, index) ?? eventId;
      }
      lineStart = index + 1;
    }
    this.#tail = bytes.subarray(end);
    this.#tailLineStart = lineStart - end;
    this.#tailEventId = eventId;
    return { bytes: bytes.subarray(0, end), count, firstId, lastId };
  }
}

function join(left: Uint8Array, right: Uint8Array): Uint8Array {
  const joined = new Uint8Array(left.length + right.length);
  joined.set(left);
  joined.set(right, left.length);
  return joined;
}

function isBlank(bytes: Uint8Array, from: number, to: number): boolean {
  return to === from || (to === from + 1 && bytes[from] === CR);
}

/** Reads `id: 12` from a line; undefined for other lines. */
function eventNumber(
  bytes: Uint8Array,
  from: number,
  to: number,
): number | undefined {
  for (const [offset, byte] of ID_FIELD.entries()) {
    if (bytes[from + offset] !== byte) {
      return undefined;
    }
  }
  let index = from + ID_FIELD.length;
  while (bytes[index] === SPACE && index < to) {
    index += 1;
  }
  let value = 0;
  let digits = 0;
  for (; index < to; index += 1) {
    const byte = bytes[index] ?? 0;
    if (byte === CR) {
      break;
    }
    if (byte < ZERO || byte > NINE) {
      return undefined;
    }
    value = value * 10 + (byte - ZERO);
    digits += 1;
  }
  return digits > 0 ? value : undefined;
}
