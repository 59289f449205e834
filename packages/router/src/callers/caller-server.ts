/** HTTP server for callers: chat completions, calls of plain services, health and readiness. */
import { createServer } from 'node:http';
import type { Server } from 'node:http';

import KoaRouter from '@koa/router';
import Koa from 'koa';
import type { Context } from 'koa';

import { refuseUnaccepted } from '@sesamegrade/core/requests/outcome';
import type { BackgroundTasks } from '@sesamegrade/core/tasks/background-tasks';
import type { TimerService } from '@sesamegrade/core/time/timer-service';
import type { Address } from '@sesamegrade/core/types/endpoint';
import { requestId } from '@sesamegrade/core/types/ids';
import type { Result } from '@sesamegrade/core/types/result';
import type { RefusalReason } from '@sesamegrade/core/types/refusal';
import { milliseconds } from '@sesamegrade/core/types/units';
import type { Settings } from '@sesamegrade/settings/schema';
import type { RequestDispatcher } from '../dispatch/request-dispatcher';
import type { Counters } from '../metrics/counters';
import { listen } from '../http/listen';
import { CallerResponse } from './caller-response';
import { headerOf, newRequestId } from './request-parser';
import { rawRefusal } from './raw-refusal';
import type {
  ParsedRequest,
  RequestParser,
  ReceivedRequest,
} from './request-parser';
import { readBody } from './read-body';
import type { TeamKeys } from './team-keys';

/** Whether a load balancer should send new connections to this router. */
export abstract class Readiness {
  abstract get ready(): boolean;
  /** `ready`, or why the router is not ready. */
  abstract get reason(): string;
}

export interface CallerServerOptions {
  readonly settings: Settings;
  readonly timers: TimerService;
  readonly backgroundTasks: BackgroundTasks;
  readonly keys: TeamKeys;
  readonly requestParser: RequestParser;
  readonly dispatcher: RequestDispatcher;
  readonly readiness: Readiness;
  readonly counters: Counters;
}

const HEADERS_TIMEOUT_MS = 10_000;
const KEEP_ALIVE_TIMEOUT_MS = 30_000;
const REQUEST_ID_PATTERN = /^[A-Za-z0-9._:-]{1,128}$/u;
const SERVICE_PATH_PATTERN = /^\/services\/([^/]+)(\/.*)?$/u;

export class CallerServer {
  readonly #options: CallerServerOptions;
  readonly #server: Server;

  constructor(options: CallerServerOptions) {
    this.#options = options;
    this.#server = this.#createServer();
  }

  start(): Promise<Address> {
    const { settings, backgroundTasks } = this.#options;
    const { host, caller_port: port } = settings.router;
    return listen(this.#server, { host, port }, error => {
      backgroundTasks.run('caller-accept', () => Promise.reject(error));
    });
  }

  /** Refuses new connections and closes idle ones; responses in progress go on. */
  stopAccepting(): void {
    this.#server.close();
    this.#server.closeIdleConnections();
  }

  /** Closes all remaining connections, also those with a response in progress. */
  close(): void {
    this.#server.closeAllConnections();
  }

  #createServer(): Server {
    const { limits } = this.#options.settings;
    const app = new Koa();
    app.silent = true;
    app.use(this.#routes().routes());
    app.use(context => {
      this.#refuseUnknownRoute(context);
    });
    const handler = app.callback();
    const server = createServer(
      {
        maxHeaderSize: limits.header_bytes,
        requestTimeout: limits.body_timeout_ms,
        headersTimeout: Math.min(HEADERS_TIMEOUT_MS, limits.body_timeout_ms),
        keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
      },
      (request, response) => {
        this.#options.backgroundTasks.run('caller-request', () =>
          handler(request, response),
        );
      },
    );
    server.on('clientError', (error: NodeJS.ErrnoException, socket) => {
      this.#options.counters.countRefusedUnaccepted('malformed-request');
      if (socket.writable) {
        socket.end(rawRefusal(error.code ?? ''));
      } else {
        socket.destroy();
      }
    });
    return server;
  }

  #routes(): KoaRouter {
    const { readiness } = this.#options;
    const router = new KoaRouter();
    router.get('/healthz', context => {
      context.body = { status: 'alive' };
    });
    router.get('/readyz', context => {
      context.status = readiness.ready ? 200 : 503;
      context.body = { ready: readiness.ready, reason: readiness.reason };
    });
    router.get('/v1/models', context => {
      this.#listModels(context);
    });
    router.post('/v1/chat/completions', context => this.#chat(context));
    router.all(SERVICE_PATH_PATTERN, context => this.#service(context));
    return router;
  }

  #listModels(context: Context): void {
    const received = this.#identify(context);
    if (!received) {
      return;
    }
    const data = this.#options.requestParser
      .models()
      .map(id => ({ id, object: 'model', owned_by: 'sesamegrade' }));
    context.body = { object: 'list', data };
  }

  async #chat(context: Context): Promise<void> {
    const received = await this.#receive(context);
    if (received) {
      this.#accept(
        context,
        received,
        this.#options.requestParser.chat(received),
      );
    }
  }

  async #service(context: Context): Promise<void> {
    const received = await this.#receive(context);
    if (!received) {
      return;
    }
    const [, name = '', subpath = '/'] =
      SERVICE_PATH_PATTERN.exec(context.path) ?? [];
    const path = subpath + context.search;
    const parsed = this.#options.requestParser.service(received, name, path);
    this.#accept(context, received, parsed);
  }

  /** Authenticates before the body is read. */
  async #receive(context: Context): Promise<ReceivedRequest | undefined> {
    const identified = this.#identify(context);
    if (!identified) {
      return undefined;
    }
    const maxBytes = this.#options.settings.limits.body_bytes;
    const body = await readBody(context.req, maxBytes);
    if (!body.ok) {
      // The remaining body is not read, so the connection cannot be reused.
      context.set('connection', 'close');
      this.#refuse(context, identified.id, body.failure);
      return undefined;
    }
    return { ...identified, message: context.req, body: body.value };
  }

  #identify(
    context: Context,
  ): Pick<ReceivedRequest, 'id' | 'team'> | undefined {
    const id = this.#requestIdOf(context);
    const team = this.#options.keys.teamOf(context.req.headers.authorization);
    if (team === undefined) {
      this.#refuse(context, id, { kind: 'unauthenticated' });
      return undefined;
    }
    return { id, team };
  }

  /** Returns the caller's request id, or a new one if that is invalid or in use by a running request. */
  #requestIdOf(context: Context): string {
    const givenId = headerOf(context.req, 'x-request-id');
    const isUsable =
      givenId !== undefined &&
      REQUEST_ID_PATTERN.test(givenId) &&
      !this.#options.dispatcher.has(requestId(givenId));
    return isUsable ? givenId : newRequestId();
  }

  #accept(
    context: Context,
    received: ReceivedRequest,
    parsed: Result<ParsedRequest, RefusalReason>,
  ): void {
    if (!parsed.ok) {
      this.#refuse(context, received.id, parsed.failure);
      return;
    }
    const { position, ...parts } = parsed.value;
    const callerResponse = this.#callerResponse(context, received.id);
    const exchange = { ...parts, callerResponse };
    if (position) {
      this.#options.dispatcher.reattach(exchange, position);
    } else {
      this.#options.dispatcher.accept(exchange);
    }
  }

  #refuseUnknownRoute(context: Context): void {
    const detail = `${context.method} ${context.path} is not part of this interface`;
    const reason: RefusalReason = { kind: 'malformed-request', detail };
    this.#refuse(context, this.#requestIdOf(context), reason);
  }

  #refuse(context: Context, id: string, reason: RefusalReason): void {
    this.#options.counters.countRefusedUnaccepted(reason.kind);
    if (!context.req.complete) {
      context.res.setHeader('connection', 'close');
    }
    this.#callerResponse(context, id).refuse(refuseUnaccepted(reason));
  }

  /** Bypasses Koa's own response handling, because responses are written part by part. */
  #callerResponse(context: Context, id: string): CallerResponse {
    context.respond = false;
    context.res.statusCode = 200;
    if (!this.#options.readiness.ready) {
      context.res.setHeader('connection', 'close');
    }
    return new CallerResponse({
      response: context.res,
      requestId: id,
      timers: this.#options.timers,
      stallTimeout: milliseconds(this.#options.settings.limits.caller_stall_ms),
    });
  }
}
