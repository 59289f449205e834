/** HTTP interface of the stand-in engine, whose behaviour is in `EngineModel`. */
import { randomUUID } from 'node:crypto';
import type { IncomingMessage, ServerResponse } from 'node:http';

import { z } from 'zod';

import type { Address } from '@sesamegrade/core/types/endpoint';
import { attemptId } from '@sesamegrade/core/types/ids';
import type { AttemptId } from '@sesamegrade/core/types/ids';
import type { EngineRun } from './run-log';
import type { VmEntry } from '@sesamegrade/core/types/platform';
import { addTime, instant, milliseconds } from '@sesamegrade/core/types/units';
import type { Instant } from '@sesamegrade/core/types/units';
import {
  HttpStandIn,
  LOOPBACK,
  header,
  readJson,
  sendJson,
  sendStatus,
} from '../http/http-stand-in';
import type { ListenOptions } from '../http/http-stand-in';
import { Registration } from '../http/registration';
import { chatCompletionRequestSchema } from './chat-completion-request';
import { CacheInterface } from './cache-interface';
import { engineControlSchema } from './engine-control';
import type { EngineControl } from './engine-control';
import { EngineOrderHandler } from './engine-order-handler';
import { EngineModel } from './engine-model';
import type { SubmitRejection } from './engine-model';
import { engineBehaviour } from './engine-options';
import type { EngineBehaviour } from './engine-options';
import { metricsText } from './metrics';
import { completionResponse } from './sequence';
import type { Sequence } from './sequence';
import { StreamWriter } from './stream-writer';

const STEP_MS = 4;

export interface EngineOptions extends Partial<EngineBehaviour> {
  readonly listen?: ListenOptions;
  /** Base URL of the stand-in platform at which the engine registers. */
  readonly platform?: string | undefined;
  /** Address to register, if it differs from the one on which the engine listens. */
  readonly advertise?: Address | undefined;
}

/** A response that waits for the tokens of a sequence. */
interface PendingResponse {
  /** Whether this is the stream of that attempt, on an open connection. */
  isOpenFor(id: AttemptId): boolean;
  /** Writes what is ready; returns false once the response has ended. */
  pump(): boolean;
}

export class EngineServer extends HttpStandIn {
  readonly #behaviour: EngineBehaviour;
  readonly #model: EngineModel;
  readonly #cache: CacheInterface;
  readonly #orderHandler: EngineOrderHandler;
  readonly #registration: Registration | undefined;
  readonly #advertise: Address | undefined;
  readonly #pendingResponses = new Set<PendingResponse>();
  #timer: NodeJS.Timeout | undefined;
  #downUntil: Instant = instant(0);
  #isDown = false;
  #stopped = false;

  constructor(options: EngineOptions = {}) {
    super(options.listen ?? LOOPBACK);
    this.#behaviour = engineBehaviour(options);
    this.#model = new EngineModel(this.#behaviour, this.#now());
    this.#advertise = options.advertise;
    this.#cache = new CacheInterface(this.#model);
    this.#orderHandler = new EngineOrderHandler(
      this.#behaviour.checksFence,
      this.#behaviour.models[0] ?? '',
      options.platform,
      models => {
        this.#model.setModels(models);
        void this.#register().catch(() => undefined);
      },
    );
    this.#registration =
      options.platform === undefined
        ? undefined
        : new Registration(options.platform);
  }

  /** The state of the engine, for tests that inspect it. */
  get model(): EngineModel {
    return this.#model;
  }

  /** Sets or clears faults, like `POST /control`. */
  async control(change: EngineControl): Promise<void> {
    const now = this.#now();
    if (change.slowFactor !== undefined) {
      this.#model.slowFactor = change.slowFactor;
    }
    if (change.stallMs !== undefined) {
      this.#model.stallUntil(addTime(now, milliseconds(change.stallMs)));
    }
    if (change.crash === true) {
      this.#crash(now);
    }
    if (change.leaving !== undefined) {
      if (change.leaving) {
        this.#model.startLeaving(now);
      } else {
        this.#model.cancelLeaving();
      }
      await this.#register();
    }
  }

  protected override async onStarted(): Promise<void> {
    this.#timer = setInterval(() => {
      this.#step();
    }, STEP_MS);
    await this.#register();
  }

  protected override async onStopping(): Promise<void> {
    this.#stopped = true;
    this.#orderHandler.stop();
    clearInterval(this.#timer);
    await this.#registration?.remove(this.#behaviour.vm).catch(() => undefined);
  }

  protected override async handle(
    request: IncomingMessage,
    response: ServerResponse,
    url: URL,
  ): Promise<void> {
    const [area, collection] = url.pathname.slice(1).split('/', 2);
    if (area === 'control') {
      await this.#control(request, response, collection);
      return;
    }
    if (this.#isDown) {
      response.destroy();
      return;
    }
    const route = `${request.method ?? ''} /${area ?? ''}`;
    const name = decodeURIComponent(url.pathname.split('/').at(-1) ?? '');
    switch (route) {
      case 'POST /v1':
        await this.#serveCompletion(request, response);
        break;
      case 'GET /v1':
        if (collection === 'models') {
          this.#listModels(response);
        } else {
          this.#resume(request, response, attemptId(name));
        }
        break;
      case 'DELETE /v1':
        this.#cancel(response, attemptId(name), url.searchParams.get('if'));
        break;
      case 'GET /health':
        sendStatus(response, 200, this.#loadHeaders());
        break;
      case 'GET /metrics':
        response.writeHead(200, { 'Content-Type': 'text/plain' });
        response.end(metricsText(this.#model.publishedLoad));
        break;
      case 'GET /kv':
        this.#cache.exportPrefix(response, name);
        break;
      case 'PUT /kv':
        await this.#cache.importPrefix(request, response, name, this.#now());
        break;
      case 'GET /cache-events':
        this.#cache.sendEvents(response, url, this.#now());
        break;
      case 'GET /desired':
        this.#orderHandler.sendReport(response);
        break;
      case 'PUT /desired':
        await this.#orderHandler.receive(request, response);
        break;
      default:
        sendJson(response, 404, { error: { message: 'no such path' } });
    }
  }

  #now(): Instant {
    return instant(performance.now());
  }

  #step(): void {
    const now = this.#now();
    if (this.#isDown && now >= this.#downUntil) {
      this.#isDown = false;
      void this.#register().catch(() => undefined);
    }
    if (this.#model.step(now, Date.now()) === 'crashed') {
      this.#crash(now);
      return;
    }
    this.#pump();
  }

  #pump(): void {
    for (const pending of this.#pendingResponses) {
      if (!pending.pump()) {
        this.#pendingResponses.delete(pending);
      }
    }
  }

  #crash(now: Instant): void {
    this.#model.crash(now);
    this.#pendingResponses.clear();
    this.#isDown = true;
    this.#downUntil = addTime(now, this.#behaviour.crashDowntime);
    this.destroyConnections();
  }

  async #register(): Promise<void> {
    if (!this.#stopped) {
      await this.#registration?.register(
        this.#entry(this.#advertise ?? this.address),
      );
    }
  }

  #entry(address: Address): VmEntry {
    return {
      vm: this.#behaviour.vm,
      kind: 'engine',
      models: this.#model.models,
      host: address.host,
      port: address.port,
      zone: this.#behaviour.zone,
      state: this.#model.leaving ? 'leaving' : 'live',
      incarnation: this.#model.incarnation,
      capacity: this.#behaviour.capacity,
    };
  }

  #loadHeaders(): Record<string, string> {
    const { running, waiting } = this.#model.load;
    return {
      'X-Engine-Running': String(running),
      'X-Engine-Waiting': String(waiting),
      'X-Engine-Capacity': String(this.#behaviour.capacity),
    };
  }

  async #serveCompletion(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const parsed = chatCompletionRequestSchema.safeParse(
      await readJson(request),
    );
    if (!parsed.success) {
      const message = z.prettifyError(parsed.error);
      sendJson(response, 400, { error: { message } }, this.#loadHeaders());
      return;
    }
    const id = attemptId(header(request, 'x-request-id') ?? randomUUID());
    const chat = header(request, 'x-chat-id');
    const submission = { id, chat, request: parsed.data };
    const submitted = this.#model.submit(submission, this.#now());
    if (!submitted.ok) {
      this.#reject(response, submitted.failure);
      return;
    }
    if (parsed.data.stream === true) {
      this.#stream(response, submitted.value, 0);
    } else {
      this.#respondWhenFinished(response, submitted.value);
    }
  }

  #reject(response: ServerResponse, rejection: SubmitRejection): void {
    const statuses = { full: 503, leaving: 503, model: 404, duplicate: 409 };
    sendJson(
      response,
      statuses[rejection.kind],
      { error: { message: rejection.kind } },
      { ...this.#loadHeaders(), 'X-Engine-Refused': rejection.kind },
    );
  }

  #stream(response: ServerResponse, sequence: Sequence, after: number): void {
    response.writeHead(200, {
      'Content-Type': 'text/event-stream',
      'Cache-Control': 'no-cache',
      ...this.#loadHeaders(),
    });
    response.flushHeaders();
    const writer = new StreamWriter(sequence, response, after);
    if (writer.pump()) {
      this.#pendingResponses.add(writer);
    }
  }

  #respondWhenFinished(response: ServerResponse, sequence: Sequence): void {
    const pump = () => {
      if (sequence.phase === 'finished') {
        const body = completionResponse(sequence);
        sendJson(response, 200, body, this.#loadHeaders());
        return false;
      }
      if (sequence.phase === 'cancelled') {
        response.destroy();
        return false;
      }
      return !response.destroyed;
    };
    this.#pendingResponses.add({ pump, isOpenFor: () => false });
  }

  #resume(
    request: IncomingMessage,
    response: ServerResponse,
    id: AttemptId,
  ): void {
    const sequence = this.#model.sequence(id);
    const after = Number(header(request, 'last-event-id') ?? 0);
    if (!sequence) {
      sendJson(response, 404, {
        error: { message: 'the stream is unknown or has expired' },
      });
      return;
    }
    if (!Number.isInteger(after) || after < 0) {
      sendJson(response, 400, { error: { message: 'invalid Last-Event-ID' } });
      return;
    }
    this.#stream(response, sequence, after);
  }

  /** Every run of this engine, oldest first. */
  runs(): readonly EngineRun[] {
    return this.#model.runLog.runs();
  }

  /** With `if=unread`, a stream that an open connection reads is not cancelled. */
  #cancel(
    response: ServerResponse,
    id: AttemptId,
    condition: string | null,
  ): void {
    const isBeingRead = [...this.#pendingResponses].some(pending =>
      pending.isOpenFor(id),
    );
    if (condition === 'unread' && isBeingRead) {
      sendStatus(response, 409, this.#loadHeaders());
      return;
    }
    const known = this.#model.sequence(id) !== undefined;
    this.#model.cancel(id, this.#now());
    sendStatus(response, known ? 204 : 404, this.#loadHeaders());
    this.#pump();
  }

  #listModels(response: ServerResponse): void {
    const data = this.#model.models.map(id => ({ id, object: 'model' }));
    sendJson(response, 200, { object: 'list', data }, this.#loadHeaders());
  }

  async #control(
    request: IncomingMessage,
    response: ServerResponse,
    resource: string | undefined,
  ): Promise<void> {
    if (request.method === 'POST') {
      const change = engineControlSchema.safeParse(await readJson(request));
      if (!change.success) {
        const message = z.prettifyError(change.error);
        sendJson(response, 400, { error: { message } });
        return;
      }
      sendJson(response, 200, {});
      await this.control(change.data);
      return;
    }
    switch (resource) {
      case 'runs':
        sendJson(response, 200, { runs: this.#model.runLog.runs() });
        break;
      case 'orders':
        this.#orderHandler.sendOrders(response);
        break;
      case undefined:
      default:
        sendJson(response, 200, {
          vm: this.#behaviour.vm,
          down: this.#isDown,
          incarnation: this.#model.incarnation,
          leaving: this.#model.leaving,
          sentLate: this.#model.sentLate,
          capacity: this.#behaviour.capacity,
          ...this.#model.load,
        });
    }
  }
}
