/** HTTP server for readiness checks of the load balancer and for metrics. */
import { createServer } from 'node:http';
import type { Server } from 'node:http';

import Koa from 'koa';

import type { BackgroundTasks } from '@sesamegrade/core/tasks/background-tasks';
import type { Address } from '@sesamegrade/core/types/endpoint';
import { listen } from '@sesamegrade/router/http/listen';

export interface AdminResponse {
  readonly status: number;
  readonly body: string;
}

/** Handlers by request path. */
export type AdminRoutes = Readonly<
  Record<string, () => AdminResponse | Promise<AdminResponse>>
>;

/** Serves each path of `routes`; other paths get Koa's 404. */
export class AdminServer {
  readonly #server: Server;
  readonly #tasks: BackgroundTasks;

  constructor(routes: AdminRoutes, tasks: BackgroundTasks) {
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
    this.#server = createServer((request, response) => {
      tasks.run('admin-request', () => handle(request, response));
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
