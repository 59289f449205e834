/** HTTP server for readiness checks of the load balancer and for metrics. */
import { createServer } from 'node:http';
import type { Server } from 'node:http';

import Koa from 'koa';

import type { BackgroundTasks } from '@sesamegrade/core/tasks/background-tasks';
import type { Address } from '@sesamegrade/core/types/endpoint';
import type {
  ConnectionBounds,
  LimitListener,
} from '../callers/connection-bounds';
import { BoundedConnections } from '../callers/bounded-connections';
import { listen } from '@sesamegrade/router/http/listen';

export interface AdminResponse {
  readonly status: number;
  readonly body: string;
}

/** Handlers by request path. */
export type AdminRoutes = Readonly<
  Record<string, () => AdminResponse | Promise<AdminResponse>>
>;

/** Time within which a complete request must arrive. */
const REQUEST_TIMEOUT_MS = 30_000;

export interface AdminServerOptions {
  readonly routes: AdminRoutes;
  readonly tasks: BackgroundTasks;
  /** Connections that may be open. */
  readonly maxConnections: number;
  readonly onLimit: LimitListener;
}

/** Clients of these servers do not pipeline; their requests are served one after the other. */
const BOUNDS: Omit<ConnectionBounds, 'connections' | 'connectionsPerAddress'> =
  { pipelinedRequests: 1, pipelinedTotal: 1, unreadBytes: 65_536 };

/** Serves each path of `routes`; other paths get Koa's 404. */
export class AdminServer {
  readonly #server: Server;
  readonly #tasks: BackgroundTasks;

  constructor({ routes, tasks, maxConnections, onLimit }: AdminServerOptions) {
    this.#tasks = tasks;
    const app = new Koa();
    const handlers = new Map(Object.entries(routes));
    app.use(async context => {
      const response = await handlers.get(context.path)?.();
      if (response) {
        context.status = response.status;
        context.body = response.body;
      }
    });
    const handle = app.callback();
    this.#server = createServer({
      requestTimeout: REQUEST_TIMEOUT_MS,
      // BoundedConnections refuses these requests.
      requireHostHeader: false,
    });
    new BoundedConnections({
      server: this.#server,
      bounds: {
        ...BOUNDS,
        connections: maxConnections,
        connectionsPerAddress: maxConnections,
      },
      serve: (request, response) => {
        tasks.run('admin-request', () => handle(request, response));
      },
      onLimit,
    });
  }

  async listen(address: Address): Promise<void> {
    await listen(this.#server, address, error => {
      this.#tasks.run('admin-accept', () => Promise.reject(error));
    });
  }

  close(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }
}
