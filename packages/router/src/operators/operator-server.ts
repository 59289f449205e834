/** HTTP API for operators, on its own address and protected by a token. */
import { randomUUID } from 'node:crypto';
import { createServer } from 'node:http';
import type { Server } from 'node:http';

import Router from '@koa/router';
import Koa from 'koa';
import type { Context } from 'koa';
import rawBody from 'raw-body';
import { z } from 'zod';

import { parseChange } from '@sesamegrade/core/configuration/change-check';
import type { ConfigurationReplica } from '@sesamegrade/core/configuration/configuration-replica';
import type { ConfigurationChange } from '@sesamegrade/core/configuration/content';
import {
  SETTING_NAMES,
  SETTINGS,
} from '@sesamegrade/core/configuration/setting';
import type { BackgroundTasks } from '@sesamegrade/core/tasks/background-tasks';
import type { TimerService } from '@sesamegrade/core/time/timer-service';
import type { EventBuffer } from '@sesamegrade/core/timeline/event-buffer';
import {
  jsonFailureDetail,
  parseBoundedJsonText,
} from '@sesamegrade/core/types/bounded-json';
import type { Address } from '@sesamegrade/core/types/endpoint';
import { changeId, configurationVersion } from '@sesamegrade/core/types/ids';
import { seconds } from '@sesamegrade/core/types/units';
import { listen } from '../http/listen';
import type { ConfigurationStore } from './configuration-store';
import {
  CHANGE_STATUS,
  changeResponse,
  describeProblem,
  notAccepted,
  changeRequestSchema,
} from './operator-messages';
import type { ChangeResponse, Defaults, Exceptions } from './operator-messages';
import type { OperatorToken } from './operator-token';
import type { StatusSource } from './status';

const MAX_BODY_SIZE = '64kb';
/** Time after which a change request is answered with the kind `unknown`. */
const PROPOSAL_TIMEOUT = seconds(10);
const MAX_EVENTS = 5000;

const timelineSchema = z.object({
  after: z.coerce.number().int().min(0).default(0),
  limit: z.coerce.number().int().min(1).max(MAX_EVENTS).default(1000),
});

export interface OperatorServerOptions {
  readonly address: Address;
  readonly token: OperatorToken;
  readonly status: StatusSource;
  readonly configuration: ConfigurationReplica;
  readonly configurationStore: ConfigurationStore;
  readonly events: EventBuffer;
  readonly timers: TimerService;
  readonly backgroundTasks: BackgroundTasks;
}

/** A request body that is not a JSON object. */
interface Malformed {
  readonly kind: 'malformed';
  readonly detail: string;
}

export class OperatorServer {
  readonly #options: OperatorServerOptions;
  readonly #server: Server;

  constructor(options: OperatorServerOptions) {
    this.#options = options;
    const app = new Koa();
    app.silent = true;
    app.use(async (context, next) => {
      if (!options.token.matches(context.get('authorization'))) {
        problem(
          context,
          401,
          'the operator token in the Authorization header is missing or wrong; expected "Bearer TOKEN"',
        );
        return;
      }
      await next();
    });
    const router = this.#routes();
    app.use(router.routes()).use(router.allowedMethods());
    const handle = app.callback();
    this.#server = createServer((request, response) => {
      options.backgroundTasks.run('operator-request', () =>
        handle(request, response),
      );
    });
  }

  /** Starts to listen; port 0 selects a free port. Rejects when the address cannot be bound. */
  async listen(): Promise<Address> {
    const { address, backgroundTasks } = this.#options;
    return listen(this.#server, address, error => {
      backgroundTasks.run('operator-accept', () => Promise.reject(error));
    });
  }

  async close(): Promise<void> {
    this.#server.closeAllConnections();
    await new Promise<void>(resolve => {
      this.#server.close(() => {
        resolve();
      });
    });
  }

  #routes(): Router {
    const router = new Router();
    router.get('/status', context => {
      context.body = this.#options.status.status();
    });
    router.get('/defaults', context => {
      context.body = this.#defaults();
    });
    router.put('/defaults', context =>
      this.#change(context, body => ({
        kind: 'set-defaults',
        values: body.values,
      })),
    );
    router.get('/exceptions', context => {
      context.body = this.#exceptions();
    });
    router.post('/exceptions', context =>
      this.#change(context, body => ({
        kind: 'add-exception',
        exception: body.exception,
      })),
    );
    router.delete('/exceptions/:id', context =>
      this.#change(context, () => ({
        kind: 'remove-exception',
        id: context.params.id,
      })),
    );
    router.get('/timeline', context => {
      this.#timeline(context);
    });
    return router;
  }

  #defaults(): Defaults {
    const { configuration } = this.#options;
    const { defaults } = configuration.content;
    return {
      version: configuration.version,
      settings: SETTING_NAMES.map(name => ({
        name,
        value: configuration.settings.get(name),
        builtIn: SETTINGS[name].builtIn,
        set: Object.hasOwn(defaults, name),
        meaning: SETTINGS[name].meaning,
      })),
    };
  }

  #exceptions(): Exceptions {
    const { version, content } = this.#options.configuration;
    return { version, exceptions: content.exceptions };
  }

  #timeline(context: Context): void {
    const query = timelineSchema.safeParse(context.query);
    if (!query.success) {
      problem(context, 400, z.prettifyError(query.error));
      return;
    }
    const { after, limit } = query.data;
    context.body = this.#options.events.after(after, limit);
  }

  async #change(
    context: Context,
    build: (body: Readonly<Record<string, unknown>>) => unknown,
  ): Promise<void> {
    const body = await readBody(context);
    if (isMalformed(body)) {
      problem(context, 400, body.detail);
      return;
    }
    const request = changeRequestSchema.safeParse(body);
    if (!request.success) {
      problem(context, 400, z.prettifyError(request.error));
      return;
    }
    const change = parseChange(build(body));
    const response = change.ok
      ? await this.#propose(change.value, request.data)
      : {
          kind: 'invalid' as const,
          problem: describeProblem(change.failure),
        };
    context.status = CHANGE_STATUS[response.kind];
    context.body = response;
  }

  async #propose(
    change: ConfigurationChange,
    request: z.infer<typeof changeRequestSchema>,
  ): Promise<ChangeResponse> {
    const { configurationStore, timers } = this.#options;
    const id = changeId(request.changeId ?? randomUUID());
    const expected = request.expected;
    const proposed = configurationStore.propose({
      changeId: id,
      who: request.who,
      when: timers.wallTime(),
      change,
      ...(expected !== undefined && {
        expected: configurationVersion(expected),
      }),
    });
    const outcome = await Promise.race([proposed, this.#timeout()]);
    if (outcome === undefined) {
      return { kind: 'unknown', changeId: id };
    }
    return outcome.kind === 'too-many-proposals'
      ? notAccepted('too many changes are pending; try again later')
      : changeResponse(outcome, id);
  }

  #timeout(): Promise<undefined> {
    return new Promise(resolve => {
      this.#options.timers.after(PROPOSAL_TIMEOUT, () => {
        resolve(undefined);
      });
    });
  }
}

function problem(context: Context, status: number, detail: string): void {
  context.status = status;
  context.body = { status, detail };
  context.type = 'application/problem+json';
}

function isMalformed(
  body: Readonly<Record<string, unknown>> | Malformed,
): body is Malformed {
  return body.kind === 'malformed' && typeof body.detail === 'string';
}

async function readBody(
  context: Context,
): Promise<Readonly<Record<string, unknown>> | Malformed> {
  try {
    const text = await rawBody(context.req, {
      limit: MAX_BODY_SIZE,
      encoding: true,
    });
    const body = parseBoundedJsonText(text);
    if (!body.ok) {
      return { kind: 'malformed', detail: jsonFailureDetail(body.failure) };
    }
    const parsed = z.record(z.string(), z.unknown()).safeParse(body.value);
    return parsed.success
      ? parsed.data
      : { kind: 'malformed', detail: 'the request body is not a JSON object' };
  } catch (error) {
    const detail = error instanceof Error ? error.message : String(error);
    return { kind: 'malformed', detail };
  }
}
