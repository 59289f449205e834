/** One request in the engine's batch or queue, and the server-sent events of its response. */
import type { AttemptId } from '@sesamegrade/core/types/ids';
import type { Instant } from '@sesamegrade/core/types/units';
import type { ChatCompletionRequest } from './chat-completion-request';
import {
  contentHash,
  expectedTokens,
  messageHash,
  messageTokens,
} from './expected-response';
import type { CachedMessage } from './prefix-cache';

export type SequencePhase = 'waiting' | 'running' | 'finished' | 'cancelled';

export interface Sequence {
  readonly id: AttemptId;
  readonly request: ChatCompletionRequest;
  readonly contentHash: string;
  readonly chat: string;
  /** Messages of the prompt in the form that the prefix cache compares. */
  readonly prompt: readonly CachedMessage[];
  readonly promptTokens: number;
  /** All tokens of the response. */
  readonly tokens: readonly string[];
  /** Number of the request in the order in which the engine accepted them. */
  readonly submissionNumber: number;
  /** Seconds since the Unix epoch. */
  readonly created: number;
  phase: SequencePhase;
  cachedTokens: number;
  /** Prompt tokens that are not computed yet. */
  remainingPrefillTokens: number;
  /** Tokens generated so far, including a fraction of the next one. */
  generatedTokens: number;
  endedAt: Instant | undefined;
}

/** A request as the engine receives it. */
export interface Submission {
  readonly id: AttemptId;
  readonly chat: string | undefined;
  readonly request: ChatCompletionRequest;
}

/** The event with the usage and `[DONE]`. */
const EVENTS_AFTER_TOKENS = 2;

/** Creates the waiting sequence of a request. */
export function createSequence(
  { id, chat, request }: Submission,
  submissionNumber: number,
  created: number,
): Sequence {
  const prompt = request.messages.map(message => ({
    hash: messageHash(message),
    tokens: messageTokens(message),
  }));
  return {
    id,
    request,
    contentHash: contentHash(request),
    chat: chat ?? `opening-${prompt[0]?.hash ?? ''}`,
    prompt,
    promptTokens: prompt.reduce((sum, entry) => sum + entry.tokens, 0),
    tokens: expectedTokens(request),
    submissionNumber,
    created,
    phase: 'waiting',
    cachedTokens: 0,
    remainingPrefillTokens: 0,
    generatedTokens: 0,
    endedAt: undefined,
  };
}

/** Returns the number of events that can be sent so far; ids start at 1. */
export function readyEvents(sequence: Sequence): number {
  if (sequence.phase === 'finished') {
    return sequence.tokens.length + EVENTS_AFTER_TOKENS;
  }
  return Math.min(Math.floor(sequence.generatedTokens), sequence.tokens.length);
}

/** Returns the OpenAI-compatible usage figures of a finished sequence. */
export function usage(sequence: Sequence) {
  return {
    prompt_tokens: sequence.promptTokens,
    completion_tokens: sequence.tokens.length,
    total_tokens: sequence.promptTokens + sequence.tokens.length,
    prompt_tokens_details: { cached_tokens: sequence.cachedTokens },
  };
}

/** Returns the data of the event with an id from 1 to `readyEvents`. */
export function eventData(sequence: Sequence, id: number): string {
  const { tokens } = sequence;
  if (id > tokens.length + 1) {
    return '[DONE]';
  }
  const head = {
    id: sequence.id,
    object: 'chat.completion.chunk',
    created: sequence.created,
    model: sequence.request.model,
  };
  if (id === tokens.length + 1) {
    const choice = { index: 0, delta: {}, finish_reason: 'stop' };
    return JSON.stringify({
      ...head,
      choices: [choice],
      usage: usage(sequence),
    });
  }
  const content = tokens[id - 1];
  const delta = id === 1 ? { role: 'assistant', content } : { content };
  return JSON.stringify({
    ...head,
    choices: [{ index: 0, delta, finish_reason: null }],
  });
}

/** Returns one event in the server-sent events format. */
export function eventText(sequence: Sequence, id: number): string {
  return `id: ${id}\ndata: ${eventData(sequence, id)}\n\n`;
}

/** Returns the response body for a request without `stream`. */
export function completionResponse(sequence: Sequence): unknown {
  const message = { role: 'assistant', content: sequence.tokens.join('') };
  return {
    id: sequence.id,
    object: 'chat.completion',
    created: sequence.created,
    model: sequence.request.model,
    choices: [{ index: 0, message, finish_reason: 'stop' }],
    usage: usage(sequence),
  };
}
