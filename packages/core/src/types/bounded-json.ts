/**
 * Parses JSON from outside the process. Its shape is checked first, as nested or empty
 * containers take many times the memory of their text, and the time to allocate it.
 */
import { fail, succeed } from './result';
import type { Result } from './result';

/** Largest number of lists and objects within each other. */
const MAX_DEPTH = 32;
/** Largest number of lists and objects in a document. */
const MAX_CONTAINERS = 100_000;
/** Largest number of commas in a document, which separate its values. */
const MAX_SEPARATORS = 500_000;

const QUOTE = 0x22;
const COMMA = 0x2c;
const LIST_START = 0x5b;
const BACKSLASH = 0x5c;
const LIST_END = 0x5d;
const OBJECT_START = 0x7b;
const OBJECT_END = 0x7d;

/** Which limit a document exceeds. */
export type JsonLimit = 'depth' | 'containers' | 'values';

export type JsonFailure =
  | { readonly kind: 'not-json'; readonly detail: string }
  | { readonly kind: 'over-limit'; readonly limit: JsonLimit };

const decoder = new TextDecoder('utf-8', { fatal: true });
const encoder = new TextEncoder();

/** Parses a document in UTF-8. */
export function parseBoundedJson(
  raw: Uint8Array,
): Result<unknown, JsonFailure> {
  const limit = exceededLimit(raw);
  if (limit) {
    return fail({ kind: 'over-limit', limit });
  }
  try {
    return succeed(JSON.parse(decoder.decode(raw)));
  } catch (error) {
    const detail = error instanceof Error ? error.message : String(error);
    return fail({ kind: 'not-json', detail });
  }
}

/** Parses a document that has been decoded already. */
export function parseBoundedJsonText(
  text: string,
): Result<unknown, JsonFailure> {
  return parseBoundedJson(encoder.encode(text));
}

export function jsonFailureDetail(failure: JsonFailure): string {
  return failure.kind === 'not-json'
    ? failure.detail
    : `more ${failure.limit} than the limit`;
}

/** Counts the characters that give a document its shape; text that is not JSON passes. */
function exceededLimit(raw: Uint8Array): JsonLimit | undefined {
  let depth = 0;
  let containers = 0;
  let separators = 0;
  for (let at = 0; at < raw.length; at += 1) {
    const byte = raw[at];
    if (byte === QUOTE) {
      at = endOfString(raw, at);
    } else if (byte === LIST_START || byte === OBJECT_START) {
      depth += 1;
      containers += 1;
    } else if (byte === LIST_END || byte === OBJECT_END) {
      depth -= 1;
    } else if (byte === COMMA) {
      separators += 1;
    }
    if (depth > MAX_DEPTH) {
      return 'depth';
    }
    if (containers > MAX_CONTAINERS) {
      return 'containers';
    }
    if (separators > MAX_SEPARATORS) {
      return 'values';
    }
  }
  return undefined;
}

/** Returns the position of the quote that ends the string, or the last one of the text. */
function endOfString(raw: Uint8Array, start: number): number {
  let end = raw.indexOf(QUOTE, start + 1);
  while (end >= 0 && isEscaped(raw, end)) {
    end = raw.indexOf(QUOTE, end + 1);
  }
  return end < 0 ? raw.length : end;
}

function isEscaped(raw: Uint8Array, at: number): boolean {
  let first = at;
  while (raw[first - 1] === BACKSLASH) {
    first -= 1;
  }
  return (at - first) % 2 === 1;
}
