/** HTTP server for the requests of callers. */
import { createServer } from 'node:http';
import type { Server } from 'node:http';
import type { Socket } from 'node:net';

import Koa from 'koa';

import type { Address } from '@sesamegrade/core/types/endpoint';
import type { BackgroundTasks } from '@sesamegrade/core/tasks/background-tasks';
import type { TimerService } from '@sesamegrade/core/time/timer-service';
import type { CallerLimits } from '@sesamegrade/core/routes/fleet-configuration';
import { listen } from '@sesamegrade/router/http/listen';
import type { Forwarder } from '../forwarding/forwarder';
import type { DecisionLog } from '../logs/decision-log';
import { CallerExchange } from './caller-exchange';
import { adoptEarlyListener } from './early-listener';

/** Above the deployments' limit of 16 KiB, so that the limit in force decides. */
const MAX_HEAD_BYTES = 32_768;
/**
 * Added to the callers' idle timeout, so that a caller closes an idle
 * connection before the router does.
 */
const IDLE_MARGIN_MS = 2000;
const DEFAULT_IDLE_TIMEOUT_MS = 30_000;
/** Time within which a complete request must arrive. */
const REQUEST_TIMEOUT_MS = 30_000;
const BACKLOG = 1024;

export interface CallerServerOptions {
  readonly forwarder: Forwarder;
  readonly log: DecisionLog;
  readonly timers: TimerService;
  readonly backgroundTasks: BackgroundTasks;
}

export class GatewayCallerServer {
  readonly #options: CallerServerOptions;
  readonly #server: Server;
  readonly #sockets = new Set<Socket>();
  /** Exchanges whose response has not ended. */
  readonly #exchanges = new Set<CallerExchange>();
  /** The exchange that began last on each connection. */
  readonly #latest = new WeakMap<Socket, CallerExchange>();
  #draining = false;

  constructor(options: CallerServerOptions) {
    this.#options = options;
    const app = new Koa();
    app.use(async context => {
      // The exchange writes the response itself, so that it passes byte for byte.
      context.respond = false;
      await this.#serve(context.req, context.res);
    });
    app.on('error', (error: unknown) => {
      options.log.write('request-error', { error: String(error) });
    });
    const handle = app.callback();
    this.#server = createServer(
      {
        maxHeaderSize: MAX_HEAD_BYTES,
        requestTimeout: REQUEST_TIMEOUT_MS,
        keepAliveTimeout: DEFAULT_IDLE_TIMEOUT_MS,
        noDelay: true,
      },
      (request, response) => {
        options.backgroundTasks.run('caller-request', () =>
          handle(request, response),
        );
      },
    );
    this.#server.on('connection', socket => {
      this.#sockets.add(socket);
      socket.once('close', () => {
        this.#sockets.delete(socket);
      });
    });
  }

  /** Open connections of callers. */
  get connectionCount(): number {
    return this.#sockets.size;
  }

  /** Requests whose response has not been written to its end. */
  get openExchangeCount(): number {
    return this.#exchanges.size;
  }

  /** Logs each response that has not been written to its end, with what it waits for. */
  logUnfinished(): void {
    for (const exchange of this.#exchanges) {
      this.#options.log.write('unfinished', {
        request: exchange.requestId,
        waitsFor: exchange.isOver ? 'caller' : 'endpoint',
        started: exchange.hasResponseStarted,
        unsent: exchange.unsentBytes,
      });
    }
  }

  /** Listens at the address, or takes over the early listener there; returns the bound address. */
  async listen({ host, port }: Address): Promise<Address> {
    const onAcceptFailure = (error: Error) => {
      this.#options.log.write('accept-failed', { error: error.message });
    };
    if (adoptEarlyListener(this.#server, { host, port }, onAcceptFailure)) {
      return { host, port };
    }
    return listen(this.#server, { host, port }, onAcceptFailure, {
      backlog: BACKLOG,
    });
  }

  /** Applies the configuration's timeouts for callers' connections. */
  applyLimits(limits: CallerLimits): void {
    this.#server.keepAliveTimeout = limits.idleTimeout + IDLE_MARGIN_MS;
    this.#server.headersTimeout = limits.headerTimeout;
  }

  /**
   * Sends `Connection: close` with the response to the last request on each connection
   * from now on, so that callers reconnect to another router.
   */
  startDraining(): void {
    this.#draining = true;
  }

  /** Closes connections on which no request is running, unless a caller still reads its response. */
  closeIdleConnections(): void {
    // Node.js counts a connection as idle once its response was written, also if it is not sent.
    const isUnsent = [...this.#exchanges].some(({ isOver }) => isOver);
    if (!isUnsent) {
      this.#server.closeIdleConnections();
    }
  }

  close(): void {
    this.#server.close();
    for (const exchange of this.#exchanges) {
      exchange.resetUnframed();
    }
    this.#server.closeAllConnections();
  }

  async #serve(
    request: ConstructorParameters<typeof CallerExchange>[0],
    response: ConstructorParameters<typeof CallerExchange>[1],
  ): Promise<void> {
    const { socket } = request;
    if (this.#latest.get(socket)?.closesConnection) {
      // Node.js closes the connection after that response, and would drop the next one.
      return;
    }
    const exchange: CallerExchange = new CallerExchange(
      request,
      response,
      () => this.#draining && this.#latest.get(socket) === exchange,
      this.#options.timers,
    );
    this.#latest.set(socket, exchange);
    this.#exchanges.add(exchange);
    const onClose = () => {
      socket.off('close', onClose);
      this.#exchanges.delete(exchange);
    };
    response.once('close', onClose);
    // A response that waits for that of an earlier request does not close with its connection.
    socket.once('close', onClose);
    try {
      await this.#options.forwarder.serve(exchange);
    } catch (error) {
      this.#options.log.write('request-error', {
        error:
          error instanceof Error
            ? (error.stack ?? error.message)
            : String(error),
      });
      exchange.abort();
    }
  }
}
