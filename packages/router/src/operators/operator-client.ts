/** Client of a router's operator API, for the command line. */
import { request } from 'undici';
import { z } from 'zod';

import { eventPageSchema } from '@sesamegrade/core/timeline/event-page';
import type { ReceivedEventPage } from '@sesamegrade/core/timeline/event-page';
import { parseBoundedJsonText } from '@sesamegrade/core/types/bounded-json';
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

/** Longer than the router's own timeout for changes, which wait for the store. */
const TIMEOUT_MS = 15_000;

export type OperatorFailure =
  | { readonly kind: 'unreachable'; readonly detail: string }
  | { readonly kind: 'unauthorized' }
  /** The router rejected the request as malformed. */
  | { readonly kind: 'refused'; readonly detail: string }
  | { readonly kind: 'unreadable-answer'; readonly detail: string };

export interface OperatorClientOptions {
  /** Such as `http://10.0.0.5:7003`. */
  readonly origin: string;
  readonly token: string;
}

/** The operator, an optional id for resends and the optional version that the change expects. */
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
    const response = await this.#call('GET', path);
    return response.ok ? read(response.value, schema) : response;
  }

  async #change(
    method: Method,
    path: string,
    body: object,
  ): Promise<Result<ChangeResponse, OperatorFailure>> {
    const response = await this.#call(method, path, body);
    return response.ok ? read(response.value, changeResponseSchema) : response;
  }

  async #call(
    method: Method,
    path: string,
    body?: object,
  ): Promise<Result<OperatorResponse, OperatorFailure>> {
    try {
      const response = await request(`${this.#origin}${path}`, {
        method,
        headers: {
          authorization: `Bearer ${this.#token}`,
          'content-type': 'application/json',
        },
        body: body ? JSON.stringify(body) : null,
        headersTimeout: TIMEOUT_MS,
        bodyTimeout: TIMEOUT_MS,
      });
      const text = await response.body.text();
      if (response.statusCode === 401) {
        return fail({ kind: 'unauthorized' });
      }
      return succeed({ status: response.statusCode, body: parse(text) });
    } catch (error) {
      const detail = error instanceof Error ? error.message : String(error);
      return fail({ kind: 'unreachable', detail });
    }
  }
}

function parse(text: string): unknown {
  const parsed = parseBoundedJsonText(text);
  return parsed.ok ? parsed.value : text;
}

function read<Value>(
  response: OperatorResponse,
  schema: z.ZodType<Value>,
): Result<Value, OperatorFailure> {
  const value = schema.safeParse(response.body);
  if (value.success) {
    return succeed(value.data);
  }
  const problem = problemSchema.safeParse(response.body);
  if (problem.success) {
    return fail({ kind: 'refused', detail: problem.data.detail });
  }
  const detail = z.prettifyError(value.error);
  return fail({ kind: 'unreadable-answer', detail });
}
