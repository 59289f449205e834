/** Calls plain services through the routers and checks that each response belongs to its call. */
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
const MAX_CONNECT_ATTEMPTS = 4;
const MIN_ERROR_STATUS = 400;

const responseSchema = z.looseObject({
  bodyHash: z.string(),
  idempotencyKey: z.string().nullable(),
});

/** An order: a call with an idempotency key, which the caller may send more than once. */
export interface IdempotentCall {
  readonly service: string;
  readonly teamKey: string;
  readonly key: string;
  readonly sends: number;
}

/** A read-only call; its path is unique. */
export interface LookupCall {
  readonly service: string;
  readonly teamKey: string;
  readonly path: string;
}

/** What the service must report about the call that it responds to. */
interface Expectation {
  readonly body: string;
  readonly key: string | null;
}

export class ServiceCaller {
  readonly #pool: RouterPool;
  readonly #timeoutMs: number;

  /** @param timeoutMs time after which a caller gives up */
  constructor(pool: RouterPool, timeoutMs: number) {
    this.#pool = pool;
    this.#timeoutMs = timeoutMs;
  }

  /**
   * Sends an order `call.sends` times, and once more with the same key when the last
   * result is unknown. Returns the result of each send.
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
    const signal = AbortSignal.timeout(this.#timeoutMs);
    let detail = 'no router accepts a connection';
    for (let attempts = 0; attempts < MAX_CONNECT_ATTEMPTS; attempts += 1) {
      const router = this.#pool.pick();
      try {
        const dispatcher = this.#pool.agent;
        const requestOptions = { ...options, dispatcher, signal };
        const response = await request(`${router}${path}`, requestOptions);
        const text = await response.body.text();
        return response.statusCode < MIN_ERROR_STATUS
          ? checkServiceResponse(text, expected)
          : toRefusal(text, response.statusCode);
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

function toRefusal(text: string, status: number): CallResult {
  const problem = parseProblem(text);
  return problem
    ? { kind: 'refused', problem, isOnlyAttempt: true, partial: false }
    : {
        kind: 'unknown',
        detail: `status ${status} without a problem document`,
      };
}

function checkServiceResponse(text: string, expected: Expectation): CallResult {
  const response = parseResponse(text);
  if (!response) {
    return { kind: 'cut-as-whole', detail: 'not a response of the service' };
  }
  const bodyHash = createHash('sha256').update(expected.body).digest('hex');
  const isOwn =
    response.bodyHash === bodyHash &&
    (response.idempotencyKey ?? '').replaceAll('"', '') ===
      (expected.key ?? '');
  return isOwn
    ? { kind: 'ok', text }
    : { kind: 'mixed', detail: 'the response to another call' };
}

function parseResponse(
  text: string,
): z.infer<typeof responseSchema> | undefined {
  try {
    return responseSchema.safeParse(JSON.parse(text)).data;
  } catch {
    return undefined;
  }
}
