/**
 * Cuts a stream of server-sent events at the ends of events without changing a
 * byte, so that an answer that breaks in the middle of an event can go on
 * elsewhere from the last whole one.
 */

const LF = 0x0a;
const CR = 0x0d;
const COLON = 0x3a;
const SPACE = 0x20;
const ZERO = 0x30;
const NINE = 0x39;
const ID_FIELD = [0x69, 0x64, COLON];

export interface CompleteEvents {
  /** Bytes up to the end of the last whole event; may be empty. */
  readonly bytes: Uint8Array;
  /** Number of whole events. */
  readonly count: number;
  /** Number of the first and last whole event that has one. */
  readonly firstId: number | undefined;
  readonly lastId: number | undefined;
}

const NOTHING: Uint8Array = new Uint8Array(0);

export class EventSplitter {
  #tail: Uint8Array = NOTHING;

  /** Bytes of the event that is not whole yet. */
  get tail(): Uint8Array {
    return this.#tail;
  }

  feed(chunk: Uint8Array): CompleteEvents {
    const bytes = this.#tail.length === 0 ? chunk : join(this.#tail, chunk);
    let count = 0;
    let firstId: number | undefined;
    let lastId: number | undefined;
    let current: number | undefined;
    let end = 0;
    let line = 0;
    for (let at = 0; at < bytes.length; at += 1) {
      if (bytes[at] !== LF) {
        continue;
      }
      if (isBlank(bytes, line, at)) {
        end = at + 1;
        count += 1;
        firstId ??= current;
        lastId = current ?? lastId;
        current = undefined;
      } else {
        current = eventNumber(bytes, line, at) ?? current;
      }
      line = at + 1;
    }
    this.#tail = bytes.subarray(end);
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
  let at = from + ID_FIELD.length;
  while (bytes[at] === SPACE && at < to) {
    at += 1;
  }
  let value = 0;
  let digits = 0;
  for (; at < to; at += 1) {
    const byte = bytes[at] ?? 0;
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
