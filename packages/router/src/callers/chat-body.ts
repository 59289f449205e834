/** Checks a chat's body and derives what placement and retries need from it. */
import { createHash } from 'node:crypto';

import canonicalize from 'canonicalize';
import { z } from 'zod';

import { chatId, fingerprint } from '@sesamegrade/core/types/ids';
import type { ChatId, Fingerprint, TeamId } from '@sesamegrade/core/types/ids';
import { fail, succeed } from '@sesamegrade/core/types/result';
import type { Result } from '@sesamegrade/core/types/result';
import type { RefusalReason } from '@sesamegrade/core/types/refusal';

const MAX_MESSAGES = 10_000;
const MAX_PRIORITY = 1000;

const messageSchema = z.looseObject({
  role: z.enum(['system', 'developer', 'user', 'assistant', 'tool']),
  content: z
    .union([z.string(), z.array(z.looseObject({ type: z.string() })), z.null()])
    .optional(),
});

const chatSchema = z.looseObject({
  model: z.string().min(1).max(200),
  messages: z.array(messageSchema).min(1).max(MAX_MESSAGES),
  stream: z.boolean().optional(),
  max_tokens: z.int().min(1).optional(),
  priority: z.int().min(-MAX_PRIORITY).max(MAX_PRIORITY).optional(),
});

/** A chat completion request in the OpenAI-compatible shape. */
export type ChatBody = z.infer<typeof chatSchema>;

const decoder = new TextDecoder('utf-8', { fatal: true });

/** Parses and checks the bytes of a body. */
export function parseChatBody(
  raw: Uint8Array,
): Result<ChatBody, RefusalReason> {
  let value: unknown;
  try {
    value = JSON.parse(decoder.decode(raw));
  } catch {
    return malformed('the body is not JSON in UTF-8');
  }
  const parsed = chatSchema.safeParse(value);
  if (parsed.success) {
    return succeed(parsed.data);
  }
  const issue = parsed.error.issues[0];
  const path = issue?.path.join('.') ?? '';
  return malformed(`${path === '' ? 'body' : path}: ${issue?.message ?? ''}`);
}

/** Hashes what a request asks for, so that a resend under a new id is recognised. */
export function fingerprintOf(
  team: TeamId,
  target: string,
  content: unknown,
): Fingerprint {
  const canonical = canonicalize({ team, target, content }) ?? '';
  return fingerprint(
    createHash('sha256').update(canonical).digest('base64url'),
  );
}

/** Returns the chat that the caller names, or one derived from how the chat begins. */
export function chatIdOf(
  team: TeamId,
  named: string | undefined,
  body: ChatBody,
): ChatId {
  if (named !== undefined) {
    return chatId(`${team}/${named}`);
  }
  const firstUser = body.messages.findIndex(entry => entry.role === 'user');
  const opening = body.messages.slice(0, firstUser + 1);
  const hash = fingerprintOf(team, body.model, opening);
  return chatId(`${team}/derived-${hash}`);
}

function malformed(detail: string): Result<never, RefusalReason> {
  return fail({ kind: 'malformed-request', detail });
}
