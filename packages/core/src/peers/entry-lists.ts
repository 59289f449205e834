/** Validates the entries of a topic that a peer sent, one by one. */
import type { z } from 'zod';

/**
 * Checks an entry of a kind that frames hold by the hundred, without the objects that a schema
 * creates for each of them.
 */
export type EntryGuard<Entry> = (entry: unknown) => entry is Entry;

const MAX_NAME_LENGTH = 200;
const MAX_COUNT = 1_000_000;

/** Whether a value is a name as entries hold it: a string of 1 to 200 characters. */
export function isName(value: unknown): value is string {
  return (
    typeof value === 'string' &&
    value.length > 0 &&
    value.length <= MAX_NAME_LENGTH
  );
}

/** An endpoint and a number of requests there. */
export type CountEntry = readonly [string, number];

export function isCountEntry(entry: unknown): entry is CountEntry {
  if (!Array.isArray(entry) || entry.length !== 2 || !isName(entry[0])) {
    return false;
  }
  const count: unknown = entry[1];
  return (
    typeof count === 'number' &&
    Number.isInteger(count) &&
    count >= 0 &&
    count <= MAX_COUNT
  );
}

/** A prompt part, an engine, and whether the engine has read the part. */
export type PartEntry = readonly [string, string, 'reading' | 'held'];

export function isPartEntry(entry: unknown): entry is PartEntry {
  return (
    Array.isArray(entry) &&
    entry.length === 3 &&
    isName(entry[0]) &&
    isName(entry[1]) &&
    (entry[2] === 'reading' || entry[2] === 'held')
  );
}

/** Passes each entry that the guard accepts to a function; returns how many it rejects. */
export function forEachAcceptedEntry<Entry>(
  entries: readonly unknown[] | undefined,
  isAccepted: EntryGuard<Entry>,
  take: (entry: Entry) => void,
): number {
  let malformed = 0;
  for (const entry of entries ?? []) {
    if (isAccepted(entry)) {
      take(entry);
    } else {
      malformed += 1;
    }
  }
  return malformed;
}

/** Passes each valid entry to a function; returns how many were malformed. */
export function forEachValidEntry<Schema extends z.ZodType>(
  entries: readonly unknown[] | undefined,
  schema: Schema,
  take: (entry: z.output<Schema>) => void,
): number {
  let malformed = 0;
  for (const entry of entries ?? []) {
    const parsed = schema.safeParse(entry);
    if (parsed.success) {
      take(parsed.data);
    } else {
      malformed += 1;
    }
  }
  return malformed;
}
