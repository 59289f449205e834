import type { z } from 'zod';

/** Hands on the entries that a schema accepts and returns how many it refused. */
export function receiveEntries<Entry>(
  entries: readonly unknown[],
  schema: z.ZodType<Entry>,
  take: (entry: Entry) => void,
): number {
  let refused = 0;
  for (const entry of entries) {
    const parsed = schema.safeParse(entry);
    if (parsed.success) {
      take(parsed.data);
    } else {
      refused += 1;
    }
  }
  return refused;
}
