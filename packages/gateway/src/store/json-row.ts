/** Decodes rows of the routers' own tables. */
import type { z } from 'zod';

import { parseBoundedJson } from '@sesamegrade/core/types/bounded-json';

/** Returns undefined if the row was not written by a router. */
export function parseJsonRow<Schema extends z.ZodType>(
  schema: Schema,
  value: Uint8Array,
): z.output<Schema> | undefined {
  const json = parseBoundedJson(value);
  return json.ok ? schema.safeParse(json.value).data : undefined;
}
