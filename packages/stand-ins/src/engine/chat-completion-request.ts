/** The fields of an OpenAI chat completion request that the stand-in engine reads. */
import { z } from 'zod';

const contentSchema = z.union([
  z.string(),
  z.array(z.looseObject({ type: z.string(), text: z.string().optional() })),
]);

export const chatCompletionRequestSchema = z.looseObject({
  model: z.string().min(1),
  messages: z
    .array(
      z.looseObject({ role: z.string(), content: contentSchema.nullish() }),
    )
    .min(1),
  stream: z.boolean().optional(),
  max_tokens: z.number().int().positive().max(100_000).nullish(),
  /** Requests with a lower value run first. */
  priority: z.number().int().optional(),
});

/** A chat completion request that was validated by the schema. */
export interface ChatCompletionRequest {
  readonly model: string;
  readonly messages: readonly ChatMessage[];
  readonly stream?: boolean | undefined;
  readonly max_tokens?: number | null | undefined;
  readonly priority?: number | undefined;
}

/** One part of a message's content; parts without text are ignored. */
export interface MessagePart {
  readonly type: string;
  readonly text?: string | undefined;
}

export interface ChatMessage {
  readonly role: string;
  readonly content?: string | readonly MessagePart[] | null | undefined;
}

/** Returns the text of a message, with the parts of a list joined. */
export function messageText(message: ChatMessage): string {
  const value = message.content;
  if (typeof value === 'string') {
    return value;
  }
  return (value ?? []).map(part => part.text ?? '').join('');
}
