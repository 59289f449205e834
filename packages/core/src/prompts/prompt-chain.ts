/**
 * A prompt as a chain of parts; an engine that has a prefix of it cached
 * prefills only the remaining tokens.
 */
import type { ModelId, PromptPartId } from '../types/ids';

export interface PromptPart {
  readonly id: PromptPartId;
  readonly tokens: number;
}

export interface Prompt {
  readonly model: ModelId | undefined;
  /** In prompt order; the last part belongs to the request or its session alone. */
  readonly parts: readonly PromptPart[];
  readonly promptTokens: number;
  /** Maximum tokens of the response. */
  readonly maxOutputTokens: number;
  /** The caller's estimate of the response's tokens; unbiased at the median, but often far off. */
  readonly expectedOutputTokens: number | undefined;
}

/** Returns the parts that other requests may share: all but the last. */
export function sharedParts(prompt: Prompt): readonly PromptPart[] {
  return prompt.parts.slice(0, -1);
}

/**
 * Returns the subject: the last shared part, which requests about one subject
 * have in common, or the only part.
 */
export function subjectPart(prompt: Prompt): PromptPart | undefined {
  return prompt.parts.at(-2) ?? prompt.parts.at(-1);
}

/** Returns the prompt tokens after the longest prefix of cached parts. */
export function missingTokens(
  prompt: Prompt,
  isCached: (part: PromptPartId) => boolean,
): number {
  let cachedTokens = 0;
  for (const part of prompt.parts) {
    if (!isCached(part.id)) {
      break;
    }
    cachedTokens += part.tokens;
  }
  return Math.max(0, prompt.promptTokens - cachedTokens);
}
