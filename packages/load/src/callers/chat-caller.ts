/** Sends one chat request and gathers its answer, over other routers if it must. */
import { setTimeout as sleep } from 'node:timers/promises';

import { request } from 'undici';
import type { Dispatcher } from 'undici';

import { expectedTokens } from '@sesamegrade/stand-ins/engine/expected-answer';
import { compareResponse } from '../checks/response-check';
import type { LoadChat, LoadMessage } from '../plan/chat-population';
import { ResponseStream } from './response-stream';
import type { ResponseTimes, CallResult } from './call-result';
import { parseProblem } from './problem';
import { wasUnsent } from './router-pool';
import type { RouterPool } from './router-pool';

const MAX_TRIES = 5;
const RECONNECT_PAUSE_MS = 100;

/** One request of a chat. */
export interface ChatCall {
  readonly chat: LoadChat;
  readonly messages: readonly LoadMessage[];
  readonly requestId: string;
  readonly maxTokens: number | undefined;
}

/** The body that the expected answer is computed from. */
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
  readonly #patienceMs: number;

  /** @param patienceMs time after which a caller gives up */
  constructor(pool: RouterPool, patienceMs: number) {
    this.#pool = pool;
    this.#patienceMs = patienceMs;
  }

  async call(call: ChatCall): Promise<CallResult> {
    const started = performance.now();
    const signal = AbortSignal.timeout(this.#patienceMs);
    const stream = new ResponseStream(() => performance.now());
    let router: string | undefined;
    let detail = 'the connection broke';
    let sent = 0;
    for (let tries = 1; tries <= MAX_TRIES && !signal.aborted; tries += 1) {
      router = this.#pool.pick(router);
      try {
        const answer = await this.#post(
          router,
          call,
          stream.lastEventId,
          signal,
        );
        sent += 1;
        if (answer.statusCode !== 200) {
          return await refusal(answer, sent === 1, stream);
        }
        await stream.read(answer.body);
        detail = 'the stream ended without its end mark';
      } catch (error) {
        detail = error instanceof Error ? error.message : String(error);
        if (wasUnsent(error)) {
          this.#pool.avoid(router);
          continue;
        }
        sent += 1;
      }
      const result = settled(stream, call, started, sent === 1);
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
    lastId: string | undefined,
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
        ...(lastId === undefined ? {} : { 'last-event-id': lastId }),
      },
      body: JSON.stringify(chatBody(call)),
    });
  }
}

async function refusal(
  answer: Dispatcher.ResponseData,
  onlyTry: boolean,
  stream: ResponseStream,
): Promise<CallResult> {
  const problem = parseProblem(await answer.body.text());
  if (!problem) {
    const detail = `status ${answer.statusCode} without a problem document`;
    return { kind: 'unknown', detail };
  }
  const partial = stream.tokens.length > 0;
  return { kind: 'refused', problem, isOnlyAttempt: onlyTry, partial };
}

/** Returns the result when the stream has come to one. */
function settled(
  stream: ResponseStream,
  call: ChatCall,
  started: number,
  onlyTry: boolean,
): CallResult | undefined {
  if (stream.sequenceError !== undefined) {
    return { kind: 'mixed', detail: stream.sequenceError };
  }
  const expected = expectedTokens(chatBody(call));
  const verdict = compareResponse(stream.tokens, expected);
  if (verdict === 'mixed') {
    return { kind: 'mixed', detail: 'tokens of another answer' };
  }
  if (stream.problem) {
    const partial = stream.tokens.length > 0;
    return {
      kind: 'refused',
      problem: stream.problem,
      isOnlyAttempt: onlyTry,
      partial,
    };
  }
  if (!stream.done) {
    return undefined;
  }
  if (verdict === 'cut') {
    const detail = `${stream.tokens.length} of ${expected.length} tokens`;
    return { kind: 'cut-as-whole', detail };
  }
  const times = answerTimes(stream, started);
  return { kind: 'ok', text: stream.tokens.join(''), times };
}

function answerTimes(stream: ResponseStream, started: number): ResponseTimes {
  const { arrivalTimes: arrivals, usage } = stream;
  const first = arrivals[0] ?? started;
  const gapsMs = arrivals
    .slice(1)
    .map((time, index) => time - (arrivals[index] ?? time));
  return { firstTokenMs: first - started, gapsMs, usage };
}
