/** The callers of a soak, who record what they receive. */
import { Agent, request } from 'undici';

import type { Random } from '@sesamegrade/core/random/random';
import { TEST_HOST, TEST_KEY } from '../deployment/deployment-documents';
import { callOverHttp } from '../deployment/http-caller';
import type { ReceivedResponse } from '../deployment/http-caller';
import type { RouterProcess } from '../deployment/router-process';
import { CRASHING_WORD } from './soak-endpoints';
import type {
  CrashingContent,
  SoakInvariantChecker,
  SoakStream,
} from './soak-invariant-checker';

const DEADLINE_MS = 1500;
/** Share of the requests that ask for a stream. */
const STREAM_SHARE = 0.4;
/** Requests in which a caller tries to get the whole of a stream. */
const MAX_STREAM_ATTEMPTS = 3;
/** Share of the streams that do not end and whose caller reads nothing and leaves. */
const ENDLESS_SHARE = 0.05;
/** Share of the requests that end the endpoint that runs them, for each of two contents. */
const CRASHING_SHARE = 0.02;
const CRASHING_PART = 'bad';
const STATUS_OK = 200;

export interface SoakCallersOptions {
  readonly seed: number;
  readonly random: Random;
  readonly checker: SoakInvariantChecker;
  readonly routers: readonly RouterProcess[];
}

export class SoakCallers {
  readonly #options: SoakCallersOptions;
  readonly #agent = new Agent({ pipelining: 1 });
  #requestCount = 0;

  constructor(options: SoakCallersOptions) {
    this.#options = options;
  }

  /** Number of requests sent. */
  get requestCount(): number {
    return this.#requestCount;
  }

  stop(): Promise<void> {
    return this.#agent.destroy();
  }

  sendAny(): Promise<void> {
    const sample = this.#options.random.fraction();
    if (sample < 2 * CRASHING_SHARE) {
      const content = sample < CRASHING_SHARE ? 'request' : 'part';
      return this.sendCrashing(
        content,
        this.#options.random.pick(this.#options.routers),
      );
    }
    return this.#options.random.fraction() < STREAM_SHARE
      ? this.#sendStreamRequest()
      : this.#sendRequest();
  }

  /** Sends the same request again, or a new one with the same prompt part. */
  async sendCrashing(
    content: CrashingContent,
    router: RouterProcess,
  ): Promise<void> {
    const id = this.#newRequestId();
    const own = this.#requestCount.toString(16);
    const isPart = content === 'part';
    await callOverHttp({
      url: `http://${router.callerAddress}`,
      path: isPart
        ? `/summary/${CRASHING_WORD}-${own}`
        : `/lookup/${CRASHING_WORD}`,
      headers: {
        host: TEST_HOST,
        'sesamegrade-request-id': id,
        'sesamegrade-deadline-ms': String(DEADLINE_MS),
        authorization: `Bearer ${TEST_KEY}`,
        ...(isPart
          ? {
              'sesamegrade-model': 'm',
              'sesamegrade-token-usage': '300,20',
              'sesamegrade-prompt-prefix': `a1:100,${CRASHING_PART}:100,${own}:100`,
            }
          : {}),
      },
    });
  }

  /**
   * Requests a stream; the caller may read slowly or leave, and resumes one that may be
   * resumed at any router.
   */
  async #sendStreamRequest(): Promise<void> {
    const path = this.#options.random.pick(['draft', 'summary'] as const);
    const isEndless = this.#options.random.fraction() < ENDLESS_SHARE;
    const first = this.#newRequestId();
    this.#options.checker.recordRequest(first, path === 'summary');
    let received = '';
    for (let attempt = 0; attempt < MAX_STREAM_ATTEMPTS; attempt += 1) {
      const id = attempt === 0 ? first : this.#newRequestId();
      const response = await this.#requestStream(
        `/${path}/${isEndless ? 'endless' : '1'}`,
        id,
        received === '' ? {} : resumption(first, received),
        isEndless,
      );
      if (!response || isEndless) {
        return;
      }
      const { status, body, isComplete } = response;
      if (status !== STATUS_OK) {
        this.#options.checker.recordResponse({ request: id, status, body });
        return;
      }
      this.#options.checker.recordStream(
        receivedStream(first, received, response),
      );
      received += completeEvents(body);
      if (isComplete || received === '' || path === 'summary') {
        return;
      }
    }
  }

  async #sendRequest(): Promise<void> {
    const id = this.#newRequestId();
    const isAtMostOnce = this.#options.random.fraction() < 0.5;
    const router = this.#options.random.pick(this.#options.routers);
    this.#options.checker.recordRequest(id, isAtMostOnce);
    try {
      const response = await request(
        `http://${router.callerAddress}/${isAtMostOnce ? 'order' : 'lookup'}/1`,
        {
          dispatcher: this.#agent,
          method: 'POST',
          headers: {
            host: TEST_HOST,
            'sesamegrade-request-id': id,
            'sesamegrade-deadline-ms': String(DEADLINE_MS),
            authorization: `Bearer ${TEST_KEY}`,
          },
          signal: AbortSignal.timeout(DEADLINE_MS),
        },
      );
      const { statusCode: status } = response;
      const body = await response.body.text().catch(() => undefined);
      this.#options.checker.recordResponse({ request: id, status, body });
    } catch {
      // The router is down or too slow; a closed connection guarantees nothing.
    }
  }

  #requestStream(
    path: string,
    id: string,
    headers: Readonly<Record<string, string>>,
    leaves: boolean,
  ): ReturnType<typeof callOverHttp> {
    const router = this.#options.random.pick(this.#options.routers);
    const pauseMs = this.#options.random.pick([0, 0, 100, 400]);
    return callOverHttp({
      url: `http://${router.callerAddress}`,
      path,
      headers: {
        host: TEST_HOST,
        'sesamegrade-request-id': id,
        'sesamegrade-deadline-ms': String(DEADLINE_MS),
        authorization: `Bearer ${TEST_KEY}`,
        ...headers,
      },
      onResponse: received => {
        received.pause();
        setTimeout(() => {
          if (leaves) {
            received.destroy();
          } else {
            received.resume();
          }
        }, pauseMs);
      },
    });
  }

  #newRequestId(): string {
    this.#requestCount += 1;
    return `${this.#options.seed.toString(16)}-${this.#requestCount}`;
  }
}

/** Headers with which a caller resumes a stream after the events that it has. */
export function resumption(
  first: string,
  received: string,
): Record<string, string> {
  const ids = [...received.matchAll(/^id: (\d+)$/gmu)];
  return { resumes: first, 'last-event-id': ids.at(-1)?.[1] ?? '0' };
}

/** The events of a body without one that broke off. */
export function completeEvents(body: string): string {
  return body.slice(0, body.lastIndexOf('\n\n') + 2);
}

/** A stream as its caller has it after a response to a resumption. */
export function receivedStream(
  request: string,
  received: string,
  { headers, body, isComplete }: ReceivedResponse,
): SoakStream {
  return {
    request,
    body: received + body,
    isComplete,
    isFramed:
      headers['content-length'] !== undefined ||
      headers['transfer-encoding'] !== undefined,
  };
}
