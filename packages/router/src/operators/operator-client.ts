/** Calls a router's operator API, for the command line. */
import { request } from 'undici';
import { z } from 'zod';

import { eventPageSchema } from '@sesamegrade/core/timeline/event-page';
import type { ReceivedEventPage } from '@sesamegrade/core/timeline/event-page';
import { fail, succeed } from '@sesamegrade/core/types/result';
import type { Result } from '@sesamegrade/core/types/result';
import {
  changeResponseSchema,
  defaultsSchema,
  exceptionsSchema,
} from './operator-messages';
import type { ChangeResponse, Defaults, Exceptions } from './operator-messages';
import { statusSchema } from './status';
import type { FleetStatus } from './status';

/** A change waits at the router for the store; everything else is quick. */
const TIMEOUT_MS = 15_000;

export type OperatorFailure =
  | { readonly kind: 'unreachable'; readonly detail: string }
  | { readonly kind: 'unauthorized' }
  /** The router did not accept the call's shape. */
  | { readonly kind: 'refused'; readonly detail: string }
  | { readonly kind: 'unreadable-answer'; readonly detail: string };

export interface OperatorClientOptions {
  /** Such as `http://10.0.0.5:7003`. */
  readonly origin: string;
  readonly token: string;
}

/** Who asks for a change and what it is relative to. */
export interface ChangeRequest {
  readonly who: string;
  readonly changeId?: string;
  readonly expected?: number;
}

const problemSchema = z.object({ detail: z.string() });

type Method = 'GET' | 'PUT' | 'POST' | 'DELETE';

interface OperatorResponse {
  readonly status: number;
  readonly body: unknown;
}

export class OperatorClient {
  readonly #origin: string;
  readonly #token: string;

  constructor(options: OperatorClientOptions) {
    this.#origin = options.origin.replace(/\/$/, '');
    this.#token = options.token;
  }

  status(): Promise<Result<FleetStatus, OperatorFailure>> {
    return this.#get('/status', statusSchema);
  }

  defaults(): Promise<Result<Defaults, OperatorFailure>> {
    return this.#get('/defaults', defaultsSchema);
  }

  exceptions(): Promise<Result<Exceptions, OperatorFailure>> {
    return this.#get('/exceptions', exceptionsSchema);
  }

  timeline(after: number): Promise<Result<ReceivedEventPage, OperatorFailure>> {
    return this.#get(`/timeline?after=${after}`, eventPageSchema);
  }

  setDefaults(
    values: Readonly<Record<string, unknown>>,
    change: ChangeRequest,
  ): Promise<Result<ChangeResponse, OperatorFailure>> {
    return this.#change('PUT', '/defaults', { ...change, values });
  }

  addException(
    exception: Readonly<Record<string, unknown>>,
    change: ChangeRequest,
  ): Promise<Result<ChangeResponse, OperatorFailure>> {
    return this.#change('POST', '/exceptions', { ...change, exception });
  }

  removeException(
    id: string,
    change: ChangeRequest,
  ): Promise<Result<ChangeResponse, OperatorFailure>> {
    const path = `/exceptions/${encodeURIComponent(id)}`;
    return this.#change('DELETE', path, change);
  }

  async #get<Value>(
    path: string,
    schema: z.ZodType<Value>,
  ): Promise<Result<Value, OperatorFailure>> {
    const reply = await this.#call('GET', path);
    return reply.ok ? read(reply.value, schema) : reply;
  }

  async #change(
    method: Method,
    path: string,
    body: object,
  ): Promise<Result<ChangeResponse, OperatorFailure>> {
    const reply = await this.#call(method, path, body);
    return reply.ok ? read(reply.value, changeResponseSchema) : reply;
  }

  async #call(
    method: Method,
    path: string,
    body?: object,
  ): Promise<Result<OperatorResponse, OperatorFailure>> {
    try {
      const answer = await request(`${this.#origin}${path}`, {
        method,
        headers: {
          authorization: `Bearer ${this.#token}`,
          'content-type': 'application/json',
        },
        body: body ? JSON.stringify(body) : null,
        headersTimeout: TIMEOUT_MS,
        bodyTimeout: TIMEOUT_MS,
      });
      const text = await answer.body.text();
      if (answer.statusCode === 401) {
        return fail({ kind: 'unauthorized' });
      }
      return succeed({ status: answer.statusCode, body: parse(text) });
    } catch (error) {
      const detail = error instanceof Error ? error.message : String(error);
      return fail({ kind: 'unreachable', detail });
    }
  }
}

function parse(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return text;
  }
}

function read<Value>(
  reply: OperatorResponse,
  schema: z.ZodType<Value>,
): Result<Value, OperatorFailure> {
  const value = schema.safeParse(reply.body);
  if (value.success) {
    return succeed(value.data);
  }
  const told = problemSchema.safeParse(reply.body);
  if (told.success) {
    return fail({ kind: 'refused', detail: told.data.detail });
  }
  const detail = z.prettifyError(value.error);
  return fail({ kind: 'unreadable-answer', detail });
}
