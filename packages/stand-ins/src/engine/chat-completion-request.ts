/** The part of a chat completion request that the stand-in engine reads. */
import { z } from 'zod';

const content = z.union([
  z.string(),
  z.array(z.looseObject({ type: z.string(), text: z.string().optional() })),
]);

export const chatCompletionRequestSchema = z.looseObject({
  model: z.string().min(1),
  messages: z
    .array(z.looseObject({ role: z.string(), content: content.nullish() }))
    .min(1),
  stream: z.boolean().optional(),
  max_tokens: z.number().int().positive().max(100_000).nullish(),
  /** Lower runs first. */
  priority: z.number().int().optional(),
});

/** A request that the schema has accepted. */
export interface ChatCompletionRequest {
  readonly model: string;
  readonly messages: readonly ChatMessage[];
  readonly stream?: boolean | undefined;
  readonly max_tokens?: number | null | undefined;
  readonly priority?: number | undefined;
}

/** Part of a message's content; parts without text are ignored. */
export interface MessagePart {
  readonly type: string;
  readonly text?: string | undefined;
}

export interface ChatMessage {
  readonly role: string;
  readonly content?: string | readonly MessagePart[] | null | undefined;
}

/** Returns the text of a message; the parts of a list are joined. */
export function messageText(message: ChatMessage): string {
  const value = message.content;
  if (typeof value === 'string') {
    return value;
  }
  return (value ?? []).map(part => part.text ?? '').join('');
}
