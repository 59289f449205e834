/** Problem documents: the refusals that callers receive. */
import { z } from 'zod';

export const problemSchema = z.looseObject({
  type: z.string(),
  status: z.number(),
  outcome: z.enum(['not_run', 'ran', 'unknown']),
  requestId: z.string(),
});

export type ProblemDocument = z.infer<typeof problemSchema>;

/** Parses a problem document; undefined when the text is not one. */
export function parseProblem(text: string): ProblemDocument | undefined {
  try {
    return problemSchema.safeParse(JSON.parse(text)).data;
  } catch {
    return undefined;
  }
}

/** Returns the last segment of a problem's type URI, such as `team-over-limit`. */
export function problemName({ type }: ProblemDocument): string {
  return type.split(/[:/]/).at(-1) ?? type;
}
