import type { z } from 'zod';

/** Passes valid entries to a function and returns how many were malformed. */
export function receiveEntries<Entry>(
  entries: readonly unknown[],
  schema: z.ZodType<Entry>,
  take: (entry: Entry) => void,
): number {
  let malformed = 0;
  for (const entry of entries) {
    const parsed = schema.safeParse(entry);
    if (parsed.success) {
      take(parsed.data);
    } else {
      malformed += 1;
    }
  }
  return malformed;
}
