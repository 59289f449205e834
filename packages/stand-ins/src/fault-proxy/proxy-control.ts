/** HTTP control interface of a fault proxy: `POST /control` sets the fault, `GET` returns it. */
import type { IncomingMessage, ServerResponse } from 'node:http';

import { z } from 'zod';

import {
  HttpStandIn,
  LOOPBACK,
  readJson,
  sendJson,
} from '../http/http-stand-in';
import type { ListenOptions } from '../http/http-stand-in';
import type { FaultProxy } from './fault-proxy';
import { proxyFaultSchema } from './proxy-fault';

export class ProxyControl extends HttpStandIn {
  readonly #proxy: FaultProxy;

  constructor(proxy: FaultProxy, listen: ListenOptions = LOOPBACK) {
    super(listen);
    this.#proxy = proxy;
  }

  protected override async handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    if (request.method === 'POST') {
      const parsed = proxyFaultSchema.safeParse(await readJson(request));
      if (!parsed.success) {
        sendJson(response, 400, { error: z.prettifyError(parsed.error) });
        return;
      }
      this.#proxy.setFault(parsed.data);
    }
    const { fault, accepted } = this.#proxy;
    sendJson(response, 200, { fault, accepted });
  }
}
