/** Calls plain services through the routers and checks whose answer came back. */
import { createHash } from 'node:crypto';
import { setTimeout as sleep } from 'node:timers/promises';

import { request } from 'undici';
import type { Dispatcher } from 'undici';
import { z } from 'zod';

import type { CallResult } from './call-result';
import { parseProblem } from './problem';
import { wasUnsent } from './router-pool';
import type { RouterPool } from './router-pool';

const RESEND_PAUSE_MS = 20;
const RETRY_PAUSE_MS = 200;
const MAX_CONNECTS = 4;
const MIN_ERROR_STATUS = 400;

const answerSchema = z.looseObject({
  bodyHash: z.string(),
  idempotencyKey: z.string().nullable(),
});

/** A call with an idempotency key; the caller may send it more than once. */
export interface IdempotentCall {
  readonly service: string;
  readonly teamKey: string;
  readonly key: string;
  readonly sends: number;
}

/** A call that only reads; its path is unique. */
export interface LookupCall {
  readonly service: string;
  readonly teamKey: string;
  readonly path: string;
}

interface Expectation {
  readonly body: string;
  readonly key: string | null;
}

export class ServiceCaller {
  readonly #pool: RouterPool;
  readonly #patienceMs: number;

  /** @param patienceMs time after which a caller gives up */
  constructor(pool: RouterPool, patienceMs: number) {
    this.#pool = pool;
    this.#patienceMs = patienceMs;
  }

  /**
   * Sends an order as often as it says, and once more with the same key when no
   * answer came. Returns what each send got.
   */
  async order(call: IdempotentCall): Promise<CallResult[]> {
    const sends = Array.from({ length: call.sends }, async (_, index) => {
      await sleep(index * RESEND_PAUSE_MS);
      return this.#sendOrder(call);
    });
    const results = await Promise.all(sends);
    if (results.at(-1)?.kind === 'unknown') {
      await sleep(RETRY_PAUSE_MS);
      results.push(await this.#sendOrder(call));
    }
    return results;
  }

  lookup({ service, teamKey, path }: LookupCall): Promise<CallResult> {
    const expected = { body: '', key: null };
    return this.#send(`/services/${service}${path}`, expected, {
      method: 'GET',
      headers: { authorization: `Bearer ${teamKey}` },
    });
  }

  #sendOrder({ service, teamKey, key }: IdempotentCall): Promise<CallResult> {
    const body = JSON.stringify({ order: key, quantity: 1 });
    return this.#send(
      `/services/${service}/orders`,
      { body, key },
      {
        method: 'POST',
        headers: {
          authorization: `Bearer ${teamKey}`,
          'content-type': 'application/json',
          'idempotency-key': key,
        },
        body,
      },
    );
  }

  async #send(
    path: string,
    expected: Expectation,
    options: Pick<Dispatcher.RequestOptions, 'method' | 'headers' | 'body'>,
  ): Promise<CallResult> {
    const signal = AbortSignal.timeout(this.#patienceMs);
    let detail = 'no router takes a connection';
    for (let connects = 0; connects < MAX_CONNECTS; connects += 1) {
      const router = this.#pool.pick();
      try {
        const dispatcher = this.#pool.agent;
        const send = { ...options, dispatcher, signal };
        const answer = await request(`${router}${path}`, send);
        const text = await answer.body.text();
        return answer.statusCode < MIN_ERROR_STATUS
          ? checkServiceAnswer(text, expected)
          : refusal(text, answer.statusCode);
      } catch (error) {
        detail = error instanceof Error ? error.message : String(error);
        if (!wasUnsent(error)) {
          break;
        }
        this.#pool.avoid(router);
      }
    }
    return { kind: 'unknown', detail };
  }
}

function refusal(text: string, status: number): CallResult {
  const problem = parseProblem(text);
  return problem
    ? { kind: 'refused', problem, isOnlyAttempt: true, partial: false }
    : {
        kind: 'unknown',
        detail: `status ${status} without a problem document`,
      };
}

function checkServiceAnswer(text: string, expected: Expectation): CallResult {
  const answer = parseAnswer(text);
  if (!answer) {
    return { kind: 'cut-as-whole', detail: 'not an answer of the service' };
  }
  const bodyHash = createHash('sha256').update(expected.body).digest('hex');
  const own =
    answer.bodyHash === bodyHash &&
    (answer.idempotencyKey ?? '').replaceAll('"', '') === (expected.key ?? '');
  return own
    ? { kind: 'ok', text }
    : { kind: 'mixed', detail: 'the answer to another call' };
}

function parseAnswer(text: string): z.infer<typeof answerSchema> | undefined {
  try {
    return answerSchema.safeParse(JSON.parse(text)).data;
  } catch {
    return undefined;
  }
}
