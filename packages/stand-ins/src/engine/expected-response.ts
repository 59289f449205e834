/**
 * The response of every stand-in engine to a request. It depends only on the
 * request's model, messages and token limit, so that a caller can check that a
 * response is complete and belongs to its request.
 */
import { createHash } from 'node:crypto';

import canonicalize from 'canonicalize';

import type { ChatMessage } from './chat-completion-request';
import { messageText } from './chat-completion-request';

const HASH_HEX_DIGITS = 16;
const TAG_HEX_DIGITS = 8;
const MIN_RESPONSE_TOKENS = 16;
const RESPONSE_TOKENS_SPREAD = 17;
const BYTES_PER_TOKEN = 4;

/** The fields of a request that determine its response. */
export interface ResponseInput {
  readonly model: string;
  readonly messages: readonly ChatMessage[];
  readonly max_tokens?: number | null | undefined;
}

function digest(value: unknown): string {
  const text = canonicalize(value) ?? '';
  return createHash('sha256')
    .update(text)
    .digest('hex')
    .slice(0, HASH_HEX_DIGITS);
}

/** Hash of the model and the messages, equal for all attempts of a request. */
export function contentHash(body: ResponseInput): string {
  return digest({ model: body.model, messages: body.messages });
}

/** Hash of one message, by which the prefix cache compares messages. */
export function messageHash(message: ChatMessage): string {
  return digest({ role: message.role, text: messageText(message) });
}

/** Returns the tokens of the response; concatenated, they are its content. */
export function expectedTokens(body: ResponseInput): string[] {
  const hash = contentHash(body);
  const extraTokens = parseInt(hash.slice(0, 4), 16) % RESPONSE_TOKENS_SPREAD;
  const count = body.max_tokens ?? MIN_RESPONSE_TOKENS + extraTokens;
  const tag = hash.slice(0, TAG_HEX_DIGITS);
  return Array.from({ length: count }, (_, index) => `${tag}.${index} `);
}

/** Returns the number of prompt tokens of a message. */
export function messageTokens(message: ChatMessage): number {
  return 1 + Math.ceil(messageText(message).length / BYTES_PER_TOKEN);
}
