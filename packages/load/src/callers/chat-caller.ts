/** Sends chat requests and reads their responses, resuming through another router after a failure. */
import { setTimeout as sleep } from 'node:timers/promises';

import { request } from 'undici';
import type { Dispatcher } from 'undici';

import { expectedTokens } from '@sesamegrade/stand-ins/engine/expected-response';
import { compareResponse } from '../checks/response-check';
import type { LoadChat, LoadMessage } from '../plan/chat-population';
import { ResponseStream } from './response-stream';
import type { ResponseTimes, CallResult } from './call-result';
import { parseProblem } from './problem';
import { wasUnsent } from './router-pool';
import type { RouterPool } from './router-pool';

const MAX_ATTEMPTS = 5;
const RECONNECT_PAUSE_MS = 100;

/** One request of a chat. */
export interface ChatCall {
  readonly chat: LoadChat;
  readonly messages: readonly LoadMessage[];
  readonly requestId: string;
  readonly maxTokens: number | undefined;
}

/** Request body; the expected response is computed from it. */
export interface ChatBody {
  readonly model: string;
  readonly messages: LoadMessage[];
  readonly stream: true;
  readonly max_tokens?: number;
}

export function chatBody({ chat, messages, maxTokens }: ChatCall): ChatBody {
  return {
    model: chat.model,
    messages: [...messages],
    stream: true,
    ...(maxTokens === undefined ? {} : { max_tokens: maxTokens }),
  };
}

export class ChatCaller {
  readonly #pool: RouterPool;
  readonly #timeoutMs: number;

  /** @param timeoutMs time after which a caller gives up */
  constructor(pool: RouterPool, timeoutMs: number) {
    this.#pool = pool;
    this.#timeoutMs = timeoutMs;
  }

  async call(call: ChatCall): Promise<CallResult> {
    const startedAt = performance.now();
    const signal = AbortSignal.timeout(this.#timeoutMs);
    const stream = new ResponseStream(() => performance.now());
    let router: string | undefined;
    let detail = 'the connection was lost';
    let sentAttempts = 0;
    for (
      let attempt = 1;
      attempt <= MAX_ATTEMPTS && !signal.aborted;
      attempt += 1
    ) {
      router = this.#pool.pick(router);
      try {
        const response = await this.#post(
          router,
          call,
          stream.lastEventId,
          signal,
        );
        sentAttempts += 1;
        if (response.statusCode !== 200) {
          return await readRefusal(response, sentAttempts === 1, stream);
        }
        await stream.read(response.body);
        detail = 'the stream ended without its end marker';
      } catch (error) {
        detail = error instanceof Error ? error.message : String(error);
        if (wasUnsent(error)) {
          this.#pool.avoid(router);
          continue;
        }
        sentAttempts += 1;
      }
      const result = toResult(stream, call, startedAt, sentAttempts === 1);
      if (result) {
        return result;
      }
      await sleep(RECONNECT_PAUSE_MS);
    }
    return { kind: 'unknown', detail };
  }

  #post(
    router: string,
    call: ChatCall,
    lastEventId: string | undefined,
    signal: AbortSignal,
  ): Promise<Dispatcher.ResponseData> {
    return request(`${router}/v1/chat/completions`, {
      method: 'POST',
      dispatcher: this.#pool.agent,
      signal,
      headers: {
        'content-type': 'application/json',
        authorization: `Bearer ${call.chat.team.key}`,
        'x-chat-id': call.chat.id,
        'x-request-id': call.requestId,
        ...(lastEventId === undefined ? {} : { 'last-event-id': lastEventId }),
      },
      body: JSON.stringify(chatBody(call)),
    });
  }
}

async function readRefusal(
  response: Dispatcher.ResponseData,
  isOnlyAttempt: boolean,
  stream: ResponseStream,
): Promise<CallResult> {
  const problem = parseProblem(await response.body.text());
  if (!problem) {
    const detail = `status ${response.statusCode} without a problem document`;
    return { kind: 'unknown', detail };
  }
  const partial = stream.tokens.length > 0;
  return { kind: 'refused', problem, isOnlyAttempt, partial };
}

/** Returns the result of a request; undefined while the stream must be resumed. */
function toResult(
  stream: ResponseStream,
  call: ChatCall,
  startedAt: number,
  isOnlyAttempt: boolean,
): CallResult | undefined {
  if (stream.sequenceError !== undefined) {
    return { kind: 'mixed', detail: stream.sequenceError };
  }
  const expected = expectedTokens(chatBody(call));
  const match = compareResponse(stream.tokens, expected);
  if (match === 'mixed') {
    return { kind: 'mixed', detail: 'tokens of another response' };
  }
  if (stream.problem) {
    const partial = stream.tokens.length > 0;
    return {
      kind: 'refused',
      problem: stream.problem,
      isOnlyAttempt,
      partial,
    };
  }
  if (!stream.done) {
    return undefined;
  }
  if (match === 'truncated') {
    const detail = `${stream.tokens.length} of ${expected.length} tokens`;
    return { kind: 'cut-as-whole', detail };
  }
  const times = responseTimes(stream, startedAt);
  return { kind: 'ok', text: stream.tokens.join(''), times };
}

function responseTimes(
  stream: ResponseStream,
  startedAt: number,
): ResponseTimes {
  const { arrivalTimes, usage } = stream;
  const firstTokenAt = arrivalTimes[0] ?? startedAt;
  const gapsMs = arrivalTimes
    .slice(1)
    .map((time, index) => time - (arrivalTimes[index] ?? time));
  return { firstTokenMs: firstTokenAt - startedAt, gapsMs, usage };
}
