/** Tells the balancer whether this router takes connections, and operators its metrics. */
import { createServer } from 'node:http';
import type { Server } from 'node:http';

import Koa from 'koa';

import type { Address } from '@sesamegrade/core/types/endpoint';

export interface AdminResponse {
  readonly status: number;
  readonly body: string;
}

/** Answers by path. */
export type AdminRoutes = Readonly<
  Record<string, () => AdminResponse | Promise<AdminResponse>>
>;

/** Serves a few paths from functions. */
export class AdminServer {
  readonly #server: Server;

  constructor(routes: AdminRoutes) {
    const app = new Koa();
    const answers = new Map(Object.entries(routes));
    app.use(async context => {
      const answer = await answers.get(context.path)?.();
      if (answer) {
        context.status = answer.status;
        context.body = answer.body;
      }
    });
    const handle = app.callback();
    this.#server = createServer((request, response) => {
      void handle(request, response);
    });
  }

  async listen({ host, port }: Address): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      this.#server.once('error', reject);
      this.#server.listen(port, host, () => {
        this.#server.off('error', reject);
        resolve();
      });
    });
  }

  close(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }
}
