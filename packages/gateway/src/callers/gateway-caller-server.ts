/** HTTP server for the requests of callers. */
import { createServer } from 'node:http';
import type { Server } from 'node:http';
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

import Koa from 'koa';

import type { Address } from '@sesamegrade/core/types/endpoint';
import type { BackgroundTasks } from '@sesamegrade/core/tasks/background-tasks';
import type { TimerService } from '@sesamegrade/core/time/timer-service';
import { elapsed, milliseconds, seconds } from '@sesamegrade/core/types/units';
import type { Instant } from '@sesamegrade/core/types/units';
import type { CallerLimits } from '@sesamegrade/core/routes/fleet-configuration';
import { listen } from '@sesamegrade/router/http/listen';
import type { Forwarder } from '../forwarding/forwarder';
import type { DecisionLog } from '../logs/decision-log';
import type { GatewayMetrics } from '../metrics/gateway-metrics';
import { callerLimitsSchema } from '@sesamegrade/settings/gateway-schema';
import type { GatewaySettings } from '@sesamegrade/settings/gateway-schema';
import { BodyMemory } from './body-memory';
import { BoundedConnections } from './bounded-connections';
import type { CallerProtocol } from './caller-protocol';
import type { ReachedLimit } from './connection-bounds';
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
/** Time after the limit of a body's time until Node.js closes a connection with an incomplete request. */
const REQUEST_TIMEOUT_MARGIN_MS = 30_000;
/** Accuracy of the limit of a body's time. */
const BODY_CHECK_PERIOD = seconds(1);
/** When a caller may retry a request whose body was given up. */
const BODY_RETRY_AFTER = seconds(1);
const BACKLOG = 1024;

export interface CallerServerOptions {
  readonly forwarder: Forwarder;
  readonly log: DecisionLog;
  readonly timers: TimerService;
  readonly backgroundTasks: BackgroundTasks;
  /** Builds the refusals of requests whose bodies are given up; plain ones without it. */
  readonly callerProtocol?: Pick<CallerProtocol, 'refusalResponse'>;
  /** The limits of callers; the defaults if absent. */
  readonly settings?: Pick<GatewaySettings, 'caller_limits'>;
  readonly gatewayMetrics?: Pick<GatewayMetrics, 'recordLimit'>;
  /** Memory of all bodies; only the limit of incomplete ones holds without it. */
  readonly bodyMemory?: BodyMemory;
}

export class GatewayCallerServer {
  readonly #options: CallerServerOptions;
  readonly #server: Server;
  readonly #connections: BoundedConnections;
  readonly #limits: GatewaySettings['caller_limits'];
  readonly #bodies: BodyMemory;
  /** Exchanges whose response has not ended. */
  readonly #exchanges = new Set<CallerExchange>();
  /** The exchange that began last on each connection. */
  readonly #latest = new WeakMap<Socket, CallerExchange>();
  #draining = false;

  constructor(options: CallerServerOptions) {
    this.#options = options;
    this.#limits =
      options.settings?.caller_limits ?? callerLimitsSchema.parse({});
    this.#bodies =
      options.bodyMemory ??
      new BodyMemory({
        total: Infinity,
        incomplete: this.#limits.incomplete_body_bytes,
      });
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
    this.#server = createServer({
      maxHeaderSize: MAX_HEAD_BYTES,
      requestTimeout: this.#limits.body_ms + REQUEST_TIMEOUT_MARGIN_MS,
      // BoundedConnections refuses these requests.
      requireHostHeader: false,
      keepAliveTimeout: DEFAULT_IDLE_TIMEOUT_MS,
      noDelay: true,
    });
    this.#connections = new BoundedConnections({
      server: this.#server,
      bounds: {
        connections: this.#limits.connections,
        connectionsPerAddress:
          this.#limits.connections_per_address ?? this.#limits.connections,
        pipelinedRequests: this.#limits.pipelined_requests,
        pipelinedTotal: this.#limits.pipelined_total,
        unreadBytes: this.#limits.unread_bytes,
      },
      serve: (request, response) => {
        options.backgroundTasks.run('caller-request', () =>
          handle(request, response),
        );
      },
      onLimit: (limit, address) => {
        this.#onLimit(limit, address);
      },
    });
    options.timers.every(BODY_CHECK_PERIOD, now => {
      this.#giveUpSlowBodies(now);
    });
  }

  /** Open connections of callers. */
  get connectionCount(): number {
    return this.#connections.size;
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

  /** Resets the connections whose end would pass for the end of a response that is not sent yet. */
  resetUnframed(): void {
    for (const exchange of this.#exchanges) {
      exchange.resetUnframed();
    }
  }

  close(): void {
    // Node.js closes connections whose response was ended, also if it is not sent yet.
    this.resetUnframed();
    this.#server.close();
    this.#server.closeAllConnections();
  }

  async #serve(
    request: IncomingMessage,
    response: ServerResponse,
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
      this.#bodies,
      () => {
        this.#refuseIncomplete(exchange, 'incomplete-bodies');
      },
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

  #giveUpSlowBodies(now: Instant): void {
    const limit = milliseconds(this.#limits.body_ms);
    for (const exchange of this.#exchanges) {
      if (elapsed(exchange.startedAt, now) < limit) {
        return;
      }
      if (exchange.giveUpBody()) {
        this.#refuseIncomplete(exchange, 'body-time');
      }
    }
  }

  /** Refuses a request of which nothing has been passed on, as its body is not complete. */
  #refuseIncomplete(exchange: CallerExchange, limit: ReachedLimit): void {
    this.#onLimit(limit, exchange.remoteAddress);
    const refusal = {
      kind: 'not-run',
      cause: limit,
      retryAfter: BODY_RETRY_AFTER,
    } as const;
    exchange.refuse(
      this.#options.callerProtocol?.refusalResponse(
        refusal,
        exchange.requestId,
      ) ?? { status: 503, headers: ['retry-after', '1'], body: limit },
      true,
    );
  }

  #onLimit(limit: ReachedLimit, address: string | undefined): void {
    this.#options.gatewayMetrics?.recordLimit('callers', limit);
    this.#options.log.write('client-limit', {
      server: 'callers',
      limit,
      address,
    });
  }
}
