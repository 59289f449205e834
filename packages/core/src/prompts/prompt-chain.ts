/** A prompt as a chain of parts; an engine that holds a beginning of it reads the rest only. */
import type { ModelId, PromptPartId } from '../types/ids';

export interface PromptPart {
  readonly id: PromptPartId;
  readonly tokens: number;
}

export interface Prompt {
  readonly model: ModelId | undefined;
  /** In reading order; the last part is the request's or its session's own. */
  readonly parts: readonly PromptPart[];
  readonly promptTokens: number;
  /** Most tokens that the answer may have. */
  readonly maxOutputTokens: number;
  /** The caller's estimate of the answer's tokens; right at the median, often far off. */
  readonly expectedOutputTokens: number | undefined;
}

/** Returns the parts that other requests may share, which are all but the last. */
export function sharedParts(prompt: Prompt): readonly PromptPart[] {
  return prompt.parts.slice(0, -1);
}

/** Returns the part by which requests about one subject find each other. */
export function subjectPart(prompt: Prompt): PromptPart | undefined {
  return prompt.parts.at(-2) ?? prompt.parts.at(-1);
}

/** Returns the tokens still to be read where the given parts are held. */
export function missingTokens(
  prompt: Prompt,
  holds: (part: PromptPartId) => boolean,
): number {
  let held = 0;
  for (const part of prompt.parts) {
    if (!holds(part.id)) {
      break;
    }
    held += part.tokens;
  }
  return Math.max(0, prompt.promptTokens - held);
}
