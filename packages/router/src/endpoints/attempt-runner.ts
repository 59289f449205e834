/** Runs attempts: sends, relays, resumes and cancels, and tells the flow what happened. */
import type { RequestMessage } from '@sesamegrade/core/requests/types';
import type { TimerService } from '@sesamegrade/core/time/timer-service';
import type { Address } from '@sesamegrade/core/types/endpoint';
import type { AttemptId, EndpointId } from '@sesamegrade/core/types/ids';
import { elapsed, milliseconds } from '@sesamegrade/core/types/units';
import type { Instant, Milliseconds } from '@sesamegrade/core/types/units';
import type { Exchange, OutgoingCall } from '../dispatch/exchange';
import type {
  EndpointClient,
  EndpointResponse,
  SendFailure,
} from './endpoint-client';
import { declineOf, loadOf } from './engine-headers';
import type { HeaderLoad } from './engine-headers';
import type { Relay, RelayEnd } from './relay';

/** Where attempts find endpoints and tell what they saw. */
export abstract class EndpointDirectory {
  abstract addressOf(endpoint: EndpointId): Address | undefined;
  /** Statuses by which the endpoint says that it ran nothing. */
  abstract notRunStatuses(endpoint: EndpointId): readonly number[];
  abstract loadSeen(endpoint: EndpointId, load: HeaderLoad): void;
}

export interface AttemptRunnerOptions {
  readonly client: EndpointClient;
  readonly directory: EndpointDirectory;
  readonly streamRelay: Relay;
  readonly wholeRelay: Relay;
  readonly timers: TimerService;
  /** Time between a caller's leaving and the end of its stream. */
  readonly resumeGrace: Milliseconds;
  readonly post: (message: RequestMessage) => void;
}

/** Attempt of one exchange at one endpoint. */
export interface AttemptTask {
  readonly exchange: Exchange;
  readonly attempt: AttemptId;
  readonly endpoint: EndpointId;
}

const SERVER_ERROR = 500;

export class AttemptRunner {
  readonly #options: AttemptRunnerOptions;
  readonly #open = new Map<AttemptId, AbortController>();

  constructor(options: AttemptRunnerOptions) {
    this.#options = options;
  }

  /** Sends the request to the endpoint. */
  async send(task: AttemptTask): Promise<void> {
    const { exchange, attempt } = task;
    const headers = { ...exchange.call.headers, 'x-request-id': attempt };
    const outcome = await this.#request(task, { ...exchange.call, headers });
    if (outcome.kind === 'failed') {
      this.#sendFailed(task, outcome.failure);
      return;
    }
    await this.#answered(task, outcome.response);
  }

  /** Goes on with a stream after its last delivered event. */
  async resume(task: AttemptTask): Promise<void> {
    const { shape } = task.exchange;
    if (shape.kind !== 'stream') {
      this.#broken(task, 'reset', false);
      return;
    }
    const outcome = await this.#request(task, {
      method: 'GET',
      path: streamPath(task.attempt),
      headers: { 'last-event-id': String(shape.order.lastDelivered) },
      body: undefined,
    });
    if (outcome.kind === 'failed') {
      const { kind } = outcome.failure;
      this.#broken(task, kind === 'slow-start' ? kind : 'reset', true);
      return;
    }
    if (outcome.response.statusCode !== 200) {
      await outcome.response.body.dump();
      this.#broken(task, 'reset', false);
      return;
    }
    await this.#relay(task, outcome.response, this.#options.streamRelay);
  }

  /** Gives an attempt up; its stream ends after the grace unless someone resumes it. */
  cancel(attempt: AttemptId, endpoint: EndpointId, streamed: boolean): void {
    this.#open.get(attempt)?.abort();
    this.#open.delete(attempt);
    if (!streamed) {
      return;
    }
    this.#options.timers.after(this.#options.resumeGrace, () => {
      void this.#deleteStream(attempt, endpoint);
    });
  }

  async #request(task: AttemptTask, call: OutgoingCall) {
    // An attempt is open before anything can fail, or its end would go untold.
    const controller = new AbortController();
    this.#open.set(task.attempt, controller);
    const address = this.#options.directory.addressOf(task.endpoint);
    if (address === undefined) {
      const failure: SendFailure = { kind: 'not-sent' };
      return { kind: 'failed', failure } as const;
    }
    return this.#options.client.send(address, call, controller.signal);
  }

  #sendFailed(task: AttemptTask, failure: SendFailure): void {
    const { exchange, attempt } = task;
    const request = exchange.request.id;
    switch (failure.kind) {
      case 'aborted':
        return;
      case 'not-sent':
        this.#close(attempt);
        this.#options.post({ kind: 'not-sent', request, attempt });
        return;
      case 'slow-start':
      case 'reset':
        this.#broken(task, failure.kind, false);
    }
  }

  async #answered(
    task: AttemptTask,
    response: EndpointResponse,
  ): Promise<void> {
    const { exchange, attempt, endpoint } = task;
    const { directory, post } = this.#options;
    const request = exchange.request.id;
    const { statusCode, headers } = response;
    const load = loadOf(headers);
    if (load) {
      directory.loadSeen(endpoint, load);
    }
    const decline = declineOf(
      statusCode,
      headers,
      directory.notRunStatuses(endpoint),
    );
    if (decline) {
      await response.body.dump();
      this.#close(attempt);
      post({ kind: 'declined', request, attempt, decline });
      return;
    }
    const isChat = exchange.request.target.kind === 'chat';
    if (isChat && statusCode >= SERVER_ERROR) {
      await response.body.dump();
      this.#broken(task, 'reset', false);
      return;
    }
    post({ kind: 'answering', request, attempt });
    const streamed = exchange.shape.kind === 'stream' && statusCode === 200;
    const { streamRelay, wholeRelay } = this.#options;
    await this.#relay(task, response, streamed ? streamRelay : wholeRelay);
  }

  async #relay(
    task: AttemptTask,
    response: EndpointResponse,
    relay: Relay,
  ): Promise<void> {
    const end = await relay.carry({
      ...task,
      response,
      onDelivered: this.#progressTeller(task),
    });
    response.body.destroy();
    this.#relayEnded(task, end);
  }

  /** Tells the flow of the first part at once, and of later ones now and then. */
  #progressTeller({ exchange, attempt }: AttemptTask): () => void {
    const { timers, post } = this.#options;
    const request = exchange.request.id;
    let toldAt: Instant | undefined;
    return () => {
      const now = timers.now();
      const due =
        toldAt === undefined || elapsed(toldAt, now) >= PROGRESS_PERIOD;
      if (due) {
        toldAt = now;
        post({ kind: 'delivered', request, attempt });
      }
    };
  }

  #relayEnded(task: AttemptTask, end: RelayEnd): void {
    const { exchange, attempt } = task;
    const request = exchange.request.id;
    switch (end.kind) {
      case 'finished':
        this.#close(attempt);
        this.#options.post({
          kind: 'finished',
          request,
          attempt,
          events: eventsOf(exchange),
        });
        return;
      case 'caller-left':
        this.#options.post({ kind: 'caller-left', request });
        return;
      case 'broken':
        this.#broken(task, end.breakage, end.resumable);
    }
  }

  #broken(
    { exchange, attempt }: AttemptTask,
    breakage: 'reset' | 'stall' | 'slow-start',
    resumable: boolean,
  ): void {
    const aborted = this.#open.get(attempt)?.signal.aborted ?? true;
    this.#close(attempt);
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

  #close(attempt: AttemptId): void {
    this.#open.delete(attempt);
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

function eventsOf({ shape }: Exchange): number {
  return shape.kind === 'stream' ? shape.order.lastDelivered : 0;
}

function streamPath(attempt: AttemptId): string {
  return `/v1/streams/${encodeURIComponent(attempt)}`;
}
