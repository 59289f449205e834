/** Runs attempts: sends, relays, resumes and cancels them, and posts the results to the request flow. */
import type { RequestMessage } from '@sesamegrade/core/requests/types';
import type { BackgroundTasks } from '@sesamegrade/core/tasks/background-tasks';
import type { TimerService } from '@sesamegrade/core/time/timer-service';
import type { Address } from '@sesamegrade/core/types/endpoint';
import { isHttpStatus } from '@sesamegrade/core/types/http-status';
import type { AttemptId, EndpointId } from '@sesamegrade/core/types/ids';
import { elapsed, milliseconds } from '@sesamegrade/core/types/units';
import type { Instant, Milliseconds } from '@sesamegrade/core/types/units';
import type { Exchange, OutgoingCall } from '../dispatch/exchange';
import type {
  EndpointClient,
  EndpointResponse,
  SendFailure,
} from './endpoint-client';
import { rejectionOf, loadOf } from './engine-headers';
import type { HeaderLoad } from './engine-headers';
import type { ResponseRelay, RelayResult } from './response-relay';

/** Looks up endpoints for attempts and takes in the load that endpoints report. */
export abstract class EndpointLookup {
  abstract addressOf(endpoint: EndpointId): Address | undefined;
  /** HTTP statuses with which the endpoint reports that it did not run the request. */
  abstract notRunStatuses(endpoint: EndpointId): readonly number[];
  abstract onReportedLoad(endpoint: EndpointId, load: HeaderLoad): void;
}

export interface AttemptRunnerOptions {
  readonly client: EndpointClient;
  readonly directory: EndpointLookup;
  readonly streamRelay: ResponseRelay;
  readonly bufferedRelay: ResponseRelay;
  readonly timers: TimerService;
  readonly backgroundTasks: BackgroundTasks;
  /** Time after a cancelled attempt during which its stream can still be resumed. */
  readonly resumeGrace: Milliseconds;
  readonly post: (message: RequestMessage) => void;
}

/** One attempt of a request at one endpoint. */
export interface AttemptTask {
  readonly exchange: Exchange;
  readonly attempt: AttemptId;
  readonly endpoint: EndpointId;
}

const SERVER_ERROR = 500;

export class AttemptRunner {
  readonly #options: AttemptRunnerOptions;
  readonly #openAttempts = new Map<AttemptId, AbortController>();

  constructor(options: AttemptRunnerOptions) {
    this.#options = options;
  }

  /** Sends the request to the endpoint and relays the response. */
  async send(task: AttemptTask): Promise<void> {
    const { exchange, attempt } = task;
    const headers = { ...exchange.call.headers, 'x-request-id': attempt };
    const outcome = await this.#request(task, { ...exchange.call, headers });
    if (outcome.kind === 'failed') {
      this.#onSendFailure(task, outcome.failure);
      return;
    }
    await this.#onResponse(task, outcome.response);
  }

  /** Resumes a stream after its last delivered event. */
  async resume(task: AttemptTask): Promise<void> {
    const { shape } = task.exchange;
    if (shape.kind !== 'stream') {
      this.#attemptFailed(task, 'reset', false);
      return;
    }
    const outcome = await this.#request(task, {
      method: 'GET',
      path: streamPath(task.attempt),
      headers: { 'last-event-id': String(shape.sequencer.lastDelivered) },
      body: undefined,
    });
    if (outcome.kind === 'failed') {
      const { kind } = outcome.failure;
      this.#attemptFailed(task, kind === 'slow-start' ? kind : 'reset', true);
      return;
    }
    if (outcome.response.statusCode !== 200) {
      await outcome.response.body.dump();
      this.#attemptFailed(task, 'reset', false);
      return;
    }
    await this.#relay(task, outcome.response, this.#options.streamRelay);
  }

  /** Cancels an attempt; its stream is deleted after the grace period unless it has been resumed. */
  cancel(attempt: AttemptId, endpoint: EndpointId, streamed: boolean): void {
    this.#openAttempts.get(attempt)?.abort();
    this.#openAttempts.delete(attempt);
    if (!streamed) {
      return;
    }
    this.#options.timers.after(this.#options.resumeGrace, () => {
      this.#options.backgroundTasks.run('stream-delete', () =>
        this.#deleteStream(attempt, endpoint),
      );
    });
  }

  async #request(task: AttemptTask, call: OutgoingCall) {
    // The attempt is registered before anything can fail; otherwise a failure would not be posted.
    const controller = new AbortController();
    this.#openAttempts.set(task.attempt, controller);
    const address = this.#options.directory.addressOf(task.endpoint);
    if (address === undefined) {
      const failure: SendFailure = { kind: 'not-sent' };
      return { kind: 'failed', failure } as const;
    }
    return this.#options.client.send(address, call, controller.signal);
  }

  #onSendFailure(task: AttemptTask, failure: SendFailure): void {
    const { exchange, attempt } = task;
    const request = exchange.request.id;
    switch (failure.kind) {
      case 'aborted':
        return;
      case 'not-sent':
        this.#remove(attempt);
        this.#options.post({ kind: 'not-sent', request, attempt });
        return;
      case 'slow-start':
      case 'reset':
        this.#attemptFailed(task, failure.kind, false);
    }
  }

  async #onResponse(
    task: AttemptTask,
    response: EndpointResponse,
  ): Promise<void> {
    const { exchange, attempt, endpoint } = task;
    const { directory, post } = this.#options;
    const request = exchange.request.id;
    const { statusCode, headers } = response;
    if (!isHttpStatus(statusCode)) {
      await response.body.dump();
      this.#attemptFailed(task, 'reset', false);
      return;
    }
    const load = loadOf(headers);
    if (load) {
      directory.onReportedLoad(endpoint, load);
    }
    const rejection = rejectionOf(
      statusCode,
      headers,
      directory.notRunStatuses(endpoint),
    );
    if (rejection) {
      await response.body.dump();
      this.#remove(attempt);
      post({ kind: 'declined', request, attempt, decline: rejection });
      return;
    }
    const isChat = exchange.request.target.kind === 'chat';
    if (isChat && statusCode >= SERVER_ERROR) {
      await response.body.dump();
      this.#attemptFailed(task, 'reset', false);
      return;
    }
    post({ kind: 'answering', request, attempt });
    const streamed = exchange.shape.kind === 'stream' && statusCode === 200;
    const { streamRelay, bufferedRelay } = this.#options;
    await this.#relay(task, response, streamed ? streamRelay : bufferedRelay);
  }

  async #relay(
    task: AttemptTask,
    response: EndpointResponse,
    relay: ResponseRelay,
  ): Promise<void> {
    const result = await relay.forward({
      ...task,
      response,
      onDelivered: this.#progressReporter(task),
    });
    response.body.destroy();
    this.#onRelayResult(task, result);
  }

  /** Returns a function that posts the first delivered part at once, later ones at most once per period. */
  #progressReporter({ exchange, attempt }: AttemptTask): () => void {
    const { timers, post } = this.#options;
    const request = exchange.request.id;
    let reportedAt: Instant | undefined;
    return () => {
      const now = timers.now();
      const isDue =
        reportedAt === undefined || elapsed(reportedAt, now) >= PROGRESS_PERIOD;
      if (isDue) {
        reportedAt = now;
        post({ kind: 'delivered', request, attempt });
      }
    };
  }

  #onRelayResult(task: AttemptTask, result: RelayResult): void {
    const { exchange, attempt } = task;
    const request = exchange.request.id;
    switch (result.kind) {
      case 'finished':
        this.#remove(attempt);
        this.#options.post({
          kind: 'finished',
          request,
          attempt,
          events: deliveredEvents(exchange),
        });
        return;
      case 'caller-left':
        this.#options.post({ kind: 'caller-left', request });
        return;
      case 'broken':
        this.#attemptFailed(task, result.breakage, result.resumable);
    }
  }

  #attemptFailed(
    { exchange, attempt }: AttemptTask,
    breakage: 'reset' | 'stall' | 'slow-start',
    resumable: boolean,
  ): void {
    const aborted = this.#openAttempts.get(attempt)?.signal.aborted ?? true;
    this.#remove(attempt);
    if (aborted) {
      return;
    }
    const request = exchange.request.id;
    this.#options.post({
      kind: 'broken',
      request,
      attempt,
      breakage,
      resumable,
    });
  }

  #remove(attempt: AttemptId): void {
    this.#openAttempts.delete(attempt);
  }

  async #deleteStream(attempt: AttemptId, endpoint: EndpointId): Promise<void> {
    const address = this.#options.directory.addressOf(endpoint);
    if (address === undefined) {
      return;
    }
    const call = {
      method: 'DELETE',
      path: `${streamPath(attempt)}?if=unread`,
      headers: {},
      body: undefined,
    };
    const signal = AbortSignal.timeout(CANCEL_TIMEOUT_MS);
    const result = await this.#options.client.send(address, call, signal);
    if (result.kind === 'response') {
      await result.response.body.dump();
    }
  }
}

const CANCEL_TIMEOUT_MS = 5000;
const PROGRESS_PERIOD = milliseconds(1000);

function deliveredEvents({ shape }: Exchange): number {
  return shape.kind === 'stream' ? shape.sequencer.lastDelivered : 0;
}

function streamPath(attempt: AttemptId): string {
  return `/v1/streams/${encodeURIComponent(attempt)}`;
}
