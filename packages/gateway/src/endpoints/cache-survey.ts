/**
 * Asks each engine once what it holds. Routers learn that from their own sends
 * and from peers; after all of them were restarted nobody knows it any more, and
 * parts would be read again on other engines.
 */
import type { EndpointDirectory } from '@sesamegrade/core/endpoints/endpoint-directory';
import type { EndpointEntry } from '@sesamegrade/core/endpoints/serving-endpoint';
import type { FleetKnowledge } from '@sesamegrade/core/forwarding/fleet-knowledge';
import type { RouteTable } from '@sesamegrade/core/routes/route-table';
import type { TimerService } from '@sesamegrade/core/time/timer-service';
import { milliseconds } from '@sesamegrade/core/types/units';
import type { Milliseconds } from '@sesamegrade/core/types/units';
import type { DecisionLog } from '../logs/decision-log';
import type { ChannelPool } from './channel-pool';
import type { EndpointProtocol } from './endpoint-protocol';

/** Longest wait for a list; an engine makes it between two steps. */
const ANSWER_TIME: Milliseconds = milliseconds(1500);
const STATUS_OK = 200;

export interface CacheSurveyParts {
  readonly directory: EndpointDirectory;
  readonly routes: RouteTable;
  readonly knowledge: FleetKnowledge;
  readonly pool: ChannelPool;
  readonly endpointProtocol: EndpointProtocol;
  readonly timers: TimerService;
  readonly log: DecisionLog;
}

export class CacheSurvey {
  readonly #parts: CacheSurveyParts;

  constructor(parts: CacheSurveyParts) {
    this.#parts = parts;
  }

  /** Asks every engine in use. */
  async run(): Promise<void> {
    const { directory, routes } = this.#parts;
    const engines = directory
      .all()
      .filter(({ service }) => routes.service(service)?.engine !== undefined);
    await Promise.all(engines.map(engine => this.#ask(engine)));
  }

  async #ask(engine: EndpointEntry): Promise<void> {
    const { endpointProtocol, knowledge, log } = this.#parts;
    const body = await this.#fetch(engine);
    const read = body && endpointProtocol.readCacheList(body);
    if (!read?.ok) {
      log.write('cache-list-missing', {
        endpoint: engine.id,
        failure: read?.failure ?? { kind: 'no-answer' },
      });
      return;
    }
    for (const part of read.value) {
      knowledge.partHeld(engine.id, part);
    }
    log.write('cache-list', { endpoint: engine.id, parts: read.value.length });
  }

  #fetch(engine: EndpointEntry): Promise<Buffer | undefined> {
    const { pool, endpointProtocol, timers } = this.#parts;
    const channel = pool.take(engine, true);
    const chunks: Buffer[] = [];
    let status = 0;
    return new Promise(resolve => {
      const cancel = timers.after(ANSWER_TIME, () => {
        channel.destroy();
        resolve(undefined);
      });
      channel.send(
        {
          method: 'GET',
          target: endpointProtocol.cacheListTarget,
          headers: [],
          body: undefined,
        },
        {
          sent: () => undefined,
          head: received => {
            status = received;
          },
          data: chunk => {
            chunks.push(chunk);
            return true;
          },
          ended: end => {
            cancel();
            const isWhole = end.kind === 'complete' && status === STATUS_OK;
            if (isWhole) {
              channel.rested(timers.now(), undefined);
              pool.give(engine.id, channel);
            } else {
              channel.destroy();
            }
            resolve(isWhole ? Buffer.concat(chunks) : undefined);
          },
        },
      );
    });
  }
}
