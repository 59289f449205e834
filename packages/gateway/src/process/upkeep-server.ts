/** Tells the balancer whether this router takes connections, and operators its metrics. */
import { createServer } from 'node:http';
import type { Server } from 'node:http';

import Router from '@koa/router';
import Koa from 'koa';

import type { Address } from '@sesamegrade/core/types/endpoint';

export type UpkeepRoutes = Readonly<
  Record<string, () => UpkeepAnswer | Promise<UpkeepAnswer>>
>;

export interface UpkeepAnswer {
  readonly status: number;
  readonly body: string;
}

/** Serves a few paths from functions. */
export class UpkeepServer {
  readonly #server: Server;

  constructor(routes: UpkeepRoutes) {
    const app = new Koa();
    const router = new Router();
    for (const [path, answer] of Object.entries(routes)) {
      router.get(path, async context => {
        const { status, body } = await answer();
        context.status = status;
        context.body = body;
      });
    }
    app.use(router.routes());
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
