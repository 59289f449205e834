/**
 * The answer that every stand-in engine gives to a request: a function of the
 * model and the messages alone, so that a caller can check that an answer is
 * whole and its own.
 */
import { createHash } from 'node:crypto';

import canonicalize from 'canonicalize';

import type { ChatMessage } from './chat-completion-request';
import { messageText } from './chat-completion-request';

const HASH_LENGTH = 16;
const TAG_LENGTH = 8;
const MIN_ANSWER_TOKENS = 16;
const ANSWER_TOKENS_SPREAD = 17;
const BYTES_PER_TOKEN = 4;

/** What of a request decides its answer. */
export interface ResponseInput {
  readonly model: string;
  readonly messages: readonly ChatMessage[];
  readonly max_tokens?: number | null | undefined;
}

function digest(value: unknown): string {
  const text = canonicalize(value) ?? '';
  return createHash('sha256').update(text).digest('hex').slice(0, HASH_LENGTH);
}

/** Hash of the model and the messages, the same over resends. */
export function contentHash(body: ResponseInput): string {
  return digest({ model: body.model, messages: body.messages });
}

/** Hash of one message, by which cached prefixes are compared. */
export function messageHash(message: ChatMessage): string {
  return digest({ role: message.role, text: messageText(message) });
}

/** The tokens of the answer in order; their concatenation is the content. */
export function expectedTokens(body: ResponseInput): string[] {
  const hash = contentHash(body);
  const spread = parseInt(hash.slice(0, 4), 16) % ANSWER_TOKENS_SPREAD;
  const count = body.max_tokens ?? MIN_ANSWER_TOKENS + spread;
  const tag = hash.slice(0, TAG_LENGTH);
  return Array.from({ length: count }, (_, index) => `${tag}.${index} `);
}

/** Tokens that a message takes in a prompt. */
export function messageTokens(message: ChatMessage): number {
  return 1 + Math.ceil(messageText(message).length / BYTES_PER_TOKEN);
}
