/** Decodes rows of the routers' own tables. */
import type { z } from 'zod';

/** Returns undefined if the row was not written by a router. */
export function parseJsonRow<Schema extends z.ZodType>(
  schema: Schema,
  value: Uint8Array,
): z.output<Schema> | undefined {
  try {
    const parsed = schema.safeParse(
      JSON.parse(new TextDecoder().decode(value)),
    );
    return parsed.success ? parsed.data : undefined;
  } catch {
    // Not JSON.
    return undefined;
  }
}
