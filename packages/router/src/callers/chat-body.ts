/** Validates the body of a chat completion request and derives its fingerprint and chat id. */
import { createHash } from 'node:crypto';

import canonicalize from 'canonicalize';
import { z } from 'zod';

import { parseBoundedJson } from '@sesamegrade/core/types/bounded-json';
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

/** Parses a request body; fails when it is not a valid chat completion request. */
export function parseChatBody(
  raw: Uint8Array,
): Result<ChatBody, RefusalReason> {
  const json = parseBoundedJson(raw);
  if (!json.ok) {
    return malformed('the body is not JSON in UTF-8');
  }
  const parsed = chatSchema.safeParse(json.value);
  if (parsed.success) {
    return succeed(parsed.data);
  }
  const issue = parsed.error.issues[0];
  const path = issue?.path.join('.') ?? '';
  return malformed(`${path === '' ? 'body' : path}: ${issue?.message ?? ''}`);
}

/** Hashes the team, target and content of a request, so that a resend under a new request id is recognised. */
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

/**
 * Returns the chat id that the caller gave, or one derived from the messages up
 * to the first user message, which stay the same as the chat goes on.
 */
export function chatIdOf(
  team: TeamId,
  givenId: string | undefined,
  body: ChatBody,
): ChatId {
  if (givenId !== undefined) {
    return chatId(`${team}/${givenId}`);
  }
  const firstUser = body.messages.findIndex(entry => entry.role === 'user');
  const opening = body.messages.slice(0, firstUser + 1);
  const hash = fingerprintOf(team, body.model, opening);
  return chatId(`${team}/derived-${hash}`);
}

function malformed(detail: string): Result<never, RefusalReason> {
  return fail({ kind: 'malformed-request', detail });
}
