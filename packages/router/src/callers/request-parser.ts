/** Parses and validates callers' HTTP requests; a request that fails is refused with a typed reason. */
import { randomUUID } from 'node:crypto';
import type { IncomingMessage } from 'node:http';

import { parseEventId } from '@sesamegrade/core/streams/event-id';
import type { StreamPosition } from '@sesamegrade/core/streams/event-id';
import { StreamSequencer } from '@sesamegrade/core/streams/stream-sequencer';
import type { Request, Target } from '@sesamegrade/core/requests/types';
import type { TimerService } from '@sesamegrade/core/time/timer-service';
import {
  endpointId,
  idempotencyKey,
  modelId,
  requestId,
  serviceId,
} from '@sesamegrade/core/types/ids';
import type { IdempotencyKey, TeamId } from '@sesamegrade/core/types/ids';
import { fail, succeed } from '@sesamegrade/core/types/result';
import type { Result } from '@sesamegrade/core/types/result';
import type { RefusalReason } from '@sesamegrade/core/types/refusal';
import { addTime, milliseconds } from '@sesamegrade/core/types/units';
import type { Milliseconds } from '@sesamegrade/core/types/units';
import type { FleetPolicy } from '@sesamegrade/core/policies/fleet-policy';
import type { Settings } from '@sesamegrade/settings/schema';
import type { ResponseShape, OutgoingCall } from '../dispatch/exchange';
import type { StreamTags } from '../endpoints/stream-tags';
import { chatIdOf, fingerprintOf, parseChatBody } from './chat-body';
import { forwardedHeaders } from './forwarded-headers';

/** A valid request that is not yet tied to the caller's response. */
export interface ParsedRequest {
  readonly request: Request;
  readonly call: OutgoingCall;
  readonly shape: ResponseShape;
  /** Position in an existing stream that the caller resumes, instead of a new run. */
  readonly position: StreamPosition | undefined;
}

/** An authenticated HTTP request whose body has been read. */
export interface ReceivedRequest {
  readonly id: string;
  readonly team: TeamId;
  readonly message: IncomingMessage;
  readonly body: Buffer;
}

export interface RequestParserOptions {
  readonly settings: Settings;
  readonly timers: TimerService;
  readonly tags: StreamTags;
  readonly policy: FleetPolicy;
}

const DEFAULT_PRIORITY = 0;
const NAME_PATTERN = /^[\x21-\x7e]{1,256}$/u;
const TIMEOUT_PATTERN = /^\d{1,9}$/u;

export class RequestParser {
  readonly #settings: Settings;
  readonly #timers: TimerService;
  readonly #tags: StreamTags;
  readonly #policy: FleetPolicy;

  constructor(options: RequestParserOptions) {
    this.#settings = options.settings;
    this.#timers = options.timers;
    this.#tags = options.tags;
    this.#policy = options.policy;
  }

  /** Models in the settings, sorted by name and without duplicates. */
  models(): string[] {
    const configured = Object.values(this.#settings.service).flatMap(service =>
      service.kind === 'engine' ? (service.models ?? []) : [],
    );
    return [...new Set(configured)].sort();
  }

  chat(received: ReceivedRequest): Result<ParsedRequest, RefusalReason> {
    const { team, body, message } = received;
    const parsed = parseChatBody(body);
    if (!parsed.ok) {
      return parsed;
    }
    const chat = parsed.value;
    if (!this.models().includes(chat.model)) {
      return fail({ kind: 'unknown-model', model: chat.model });
    }
    const position = this.#positionOf(team, message);
    if (!position.ok) {
      return position;
    }
    const givenChatId = headerOf(message, 'x-chat-id');
    if (givenChatId !== undefined && !NAME_PATTERN.test(givenChatId)) {
      return malformed('X-Chat-Id: printable characters, 256 at most');
    }
    const target: Target = {
      kind: 'chat',
      model: modelId(chat.model),
      chat: chatIdOf(team, givenChatId, chat),
    };
    const streamed = chat.stream === true;
    const request = this.#request(received, target, {
      streamed,
      priority: chat.priority ?? DEFAULT_PRIORITY,
      fingerprint: fingerprintOf(team, chat.model, chat),
    });
    const shape: ResponseShape = streamed
      ? {
          kind: 'stream',
          sequencer: new StreamSequencer(position.value?.event ?? 0),
        }
      : { kind: 'complete' };
    const call = {
      method: 'POST',
      path: '/v1/chat/completions',
      headers: {
        'content-type': 'application/json',
        'x-chat-id': target.chat,
      },
      body,
    };
    return succeed({ request, call, shape, position: position.value });
  }

  service(
    received: ReceivedRequest,
    name: string,
    path: string,
  ): Result<ParsedRequest, RefusalReason> {
    const { team, body, message } = received;
    const service = this.#settings.service[name];
    if (service?.kind !== 'service') {
      return fail({ kind: 'unknown-service', service: name });
    }
    const key = idempotencyKeyOf(message);
    if (!key.ok) {
      return key;
    }
    if (!service.repeatable && key.value === undefined) {
      return fail({ kind: 'key-required', service: name });
    }
    const target: Target = {
      kind: 'call',
      service: serviceId(name),
      repeatable: service.repeatable,
      key: key.value,
    };
    const method = message.method ?? 'GET';
    const content = [method, path, body.toString('base64')];
    const request = this.#request(received, target, {
      streamed: false,
      priority: DEFAULT_PRIORITY,
      fingerprint: fingerprintOf(team, name, content),
    });
    const call = {
      method,
      path,
      headers: forwardedHeaders(message, team),
      body: body.length > 0 ? body : undefined,
    };
    return succeed({
      request,
      call,
      shape: { kind: 'complete' },
      position: undefined,
    });
  }

  #request(
    received: ReceivedRequest,
    target: Target,
    fields: Pick<Request, 'streamed' | 'priority' | 'fingerprint'>,
  ): Request {
    const arrived = this.#timers.now();
    const affinity = headerOf(received.message, 'x-chat-place');
    return {
      ...fields,
      id: requestId(received.id),
      team: received.team,
      target,
      affinityEndpoint:
        affinity === undefined ? undefined : endpointId(affinity),
      arrived,
      deadline: addTime(arrived, this.#timeoutOf(received, target)),
    };
  }

  #timeoutOf({ message, team }: ReceivedRequest, target: Target): Milliseconds {
    const limit = this.#policy.requestTimeout(target, team);
    const requested = headerOf(message, 'x-request-timeout-ms') ?? '';
    const timeout = TIMEOUT_PATTERN.test(requested)
      ? Math.min(limit, Number(requested))
      : limit;
    return milliseconds(timeout);
  }

  #positionOf(
    team: TeamId,
    message: IncomingMessage,
  ): Result<StreamPosition | undefined, RefusalReason> {
    const eventId = headerOf(message, 'last-event-id');
    if (eventId === undefined || eventId === '') {
      return succeed(undefined);
    }
    const position = parseEventId(eventId);
    if (!position || !this.#tags.verify(team, position)) {
      return malformed('Last-Event-ID: an id that this fleet gave the team');
    }
    return succeed(position);
  }
}

/** Returns a random request id, for requests without a usable `X-Request-Id`. */
export function newRequestId(): string {
  return randomUUID();
}

/** Returns the value of a header; undefined when it is absent or not a single string. */
export function headerOf(
  message: IncomingMessage,
  name: string,
): string | undefined {
  const value = message.headers[name];
  return typeof value === 'string' ? value : undefined;
}

/** Parses `Idempotency-Key`, a quoted structured-field string; unquoted text is accepted, too. */
function idempotencyKeyOf(
  message: IncomingMessage,
): Result<IdempotencyKey | undefined, RefusalReason> {
  const value = headerOf(message, 'idempotency-key');
  if (value === undefined) {
    return succeed(undefined);
  }
  const key = /^"(.*)"$/u.exec(value)?.[1] ?? value;
  if (!NAME_PATTERN.test(key)) {
    return malformed('Idempotency-Key: printable characters, 256 at most');
  }
  return succeed(idempotencyKey(key));
}

function malformed(detail: string): Result<never, RefusalReason> {
  return fail({ kind: 'malformed-request', detail });
}
