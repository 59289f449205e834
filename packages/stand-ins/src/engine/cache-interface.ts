/** HTTP handlers that export and import cached prefixes and list cache events. */
import type { IncomingMessage, ServerResponse } from 'node:http';

import { z } from 'zod';

import type { Instant } from '@sesamegrade/core/types/units';
import { readJson, sendJson, sendStatus } from '../http/http-stand-in';
import type { EngineModel } from './engine-model';

const exportSchema = z.object({
  messages: z.array(
    z.object({ hash: z.string(), tokens: z.number().int().nonnegative() }),
  ),
});

export class CacheInterface {
  readonly #model: EngineModel;

  constructor(model: EngineModel) {
    this.#model = model;
  }

  /** `GET /kv/{prefix}` */
  exportPrefix(response: ServerResponse, prefix: string): void {
    const messages = this.#model.exportPrefix(prefix);
    if (messages) {
      sendJson(response, 200, { messages });
    } else {
      sendJson(response, 404, {
        error: { message: 'the prefix is not cached' },
      });
    }
  }

  /** `PUT /kv/{prefix}` */
  async importPrefix(
    request: IncomingMessage,
    response: ServerResponse,
    prefix: string,
    now: Instant,
  ): Promise<void> {
    const parsed = exportSchema.safeParse(await readJson(request));
    if (!parsed.success) {
      sendJson(response, 400, {
        error: { message: 'the body is not a prefix export' },
      });
      return;
    }
    this.#model.importPrefix(prefix, parsed.data.messages, now);
    sendStatus(response, 204);
  }

  /** `GET /cache-events?after=n` */
  sendEvents(response: ServerResponse, url: URL, now: Instant): void {
    const after = Number(url.searchParams.get('after') ?? 0);
    const events = this.#model.cacheEvents(after, now);
    const next = events.at(-1)?.sequence ?? after;
    sendJson(response, 200, { events, next });
  }
}
