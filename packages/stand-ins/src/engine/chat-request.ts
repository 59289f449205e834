/** The part of a chat completion request that the stand-in engine reads. */
import { z } from 'zod';

const content = z.union([
  z.string(),
  z.array(z.looseObject({ type: z.string(), text: z.string().optional() })),
]);

export const chatRequestSchema = z.looseObject({
  model: z.string().min(1),
  messages: z
    .array(z.looseObject({ role: z.string(), content: content.nullish() }))
    .min(1),
  stream: z.boolean().optional(),
  max_tokens: z.number().int().positive().max(100_000).nullish(),
  /** Lower runs first. */
  priority: z.number().int().optional(),
});

export type ChatRequest = z.infer<typeof chatRequestSchema>;
export type ChatMessage = ChatRequest['messages'][number];

/** Returns the text of a message; the parts of a list are joined. */
export function messageText(message: ChatMessage): string {
  const value = message.content;
  if (typeof value === 'string') {
    return value;
  }
  return (value ?? []).map(part => part.text ?? '').join('');
}
