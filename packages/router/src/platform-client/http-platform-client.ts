/** The platform's services over HTTP. */
import { Pool } from 'undici';
import type { z } from 'zod';

import type {
  Condition,
  ReadResponse,
  ScanResponse,
  TableOperation,
  WriteResponse,
} from '@sesamegrade/core/types/platform';
import type { Milliseconds } from '@sesamegrade/core/types/units';
import type { HttpExchangeResult, HttpExchangeRequest } from './http-exchange';
import { runHttpExchange } from './http-exchange';
import {
  conflictSchema,
  pageSchema,
  rowSchema,
  vmListSchema,
  writtenRowSchema,
  writtenSchema,
} from './platform-schemas';
import type {
  ObjectReadResponse,
  ObjectWriteResponse,
  RateLimitedResponse,
  ScanRequest,
  UnavailableResponse,
  VmListResponse,
  WeightsResponse,
} from './platform-client';
import { PlatformClient } from './platform-client';

export interface HttpPlatformClientOptions {
  /** Such as `http://10.0.0.1:7000`. */
  readonly origin: string;
  /** Longest wait for any answer but that of a weight load. */
  readonly timeout: Milliseconds;
  /** Longest wait for a weight load. */
  readonly weightsTimeout: Milliseconds;
  /** Most connections at once. */
  readonly connections: number;
}

type HttpResponse = Extract<HttpExchangeResult, { readonly kind: 'answered' }>;
/** An exchange that gave no usable answer. */
type HttpFailure = Exclude<HttpExchangeResult, HttpResponse>;

const OK = 200;
const NO_CONTENT = 204;
const NOT_MODIFIED = 304;
const NOT_FOUND = 404;
const CONFLICT = 409;
const PRECONDITION_FAILED = 412;

const JSON_HEADERS = { 'content-type': 'application/json' };

export class HttpPlatformClient extends PlatformClient {
  readonly #pool: Pool;
  readonly #options: HttpPlatformClientOptions;
  /** Tag of the list of VMs that was read last. */
  #listTag = '';

  constructor(options: HttpPlatformClientOptions) {
    super();
    this.#options = options;
    this.#pool = new Pool(options.origin, {
      connections: options.connections,
      connect: { timeout: options.timeout },
      pipelining: 1,
    });
  }

  /** Closes idle connections and ends those in use. */
  async close(): Promise<void> {
    await this.#pool.destroy();
  }

  async read(table: string, key: string): Promise<ReadResponse> {
    const answer = await this.#get(rowPath(table, key));
    if (answer.kind !== 'answered') {
      return readFailure(answer);
    }
    if (answer.status === NOT_FOUND) {
      return { kind: 'absent' };
    }
    const row = parseBody(answer, rowSchema);
    return row ? { kind: 'found', row } : { kind: 'unavailable' };
  }

  async write(operations: readonly TableOperation[]): Promise<WriteResponse> {
    const [only] = operations;
    const single = operations.length === 1 && only?.change.kind === 'put';
    return single
      ? this.#putRow(only, only.change.value)
      : this.#transact(operations);
  }

  async scan(request: ScanRequest): Promise<ScanResponse> {
    const query = new URLSearchParams();
    for (const name of ['prefix', 'after', 'limit'] as const) {
      const value = request[name];
      if (value !== undefined) {
        query.set(name, String(value));
      }
    }
    const path = `/tables/${encodeURIComponent(request.table)}?${query.toString()}`;
    const answer = await this.#get(path);
    if (answer.kind !== 'answered') {
      return readFailure(answer);
    }
    const page = parseBody(answer, pageSchema);
    if (!page) {
      return { kind: 'unavailable' };
    }
    return page.next === undefined
      ? { kind: 'rows', rows: page.rows }
      : { kind: 'rows', rows: page.rows, next: page.next };
  }

  async vms(): Promise<VmListResponse> {
    const known: Record<string, string> = {};
    if (this.#listTag !== '') {
      known['if-none-match'] = this.#listTag;
    }
    const answer = await this.#get('/vms', known);
    if (answer.kind !== 'answered') {
      return readFailure(answer);
    }
    if (answer.status === NOT_MODIFIED) {
      return { kind: 'unchanged' };
    }
    const list = parseBody(answer, vmListSchema);
    if (!list) {
      return { kind: 'unavailable' };
    }
    this.#listTag = answer.tag;
    return { kind: 'vms', vms: list.vms };
  }

  async readObject(key: string): Promise<ObjectReadResponse> {
    const answer = await this.#get(objectPath(key));
    if (answer.kind !== 'answered') {
      return readFailure(answer);
    }
    if (answer.status === NOT_FOUND) {
      return { kind: 'absent' };
    }
    return answer.status === OK
      ? { kind: 'found', body: answer.body, tag: answer.tag }
      : { kind: 'unavailable' };
  }

  async writeObject(
    key: string,
    body: Uint8Array,
  ): Promise<ObjectWriteResponse> {
    const answer = await this.#exchange({
      method: 'PUT',
      path: objectPath(key),
      headers: { 'content-type': 'application/octet-stream' },
      body,
      timeout: this.#options.timeout,
    });
    if (answer.kind !== 'answered') {
      return answer;
    }
    return isSuccess(answer.status)
      ? { kind: 'stored', tag: answer.tag }
      : { kind: 'unavailable' };
  }

  async loadWeights(name: string): Promise<WeightsResponse> {
    const answer = await this.#exchange({
      method: 'POST',
      path: `/weights/${encodeURIComponent(name)}`,
      timeout: this.#options.weightsTimeout,
    });
    if (answer.kind !== 'answered') {
      return answer;
    }
    return isSuccess(answer.status)
      ? { kind: 'loaded' }
      : { kind: 'unavailable' };
  }

  async #putRow(
    operation: TableOperation,
    value: unknown,
  ): Promise<WriteResponse> {
    const answer = await this.#exchange({
      method: 'PUT',
      path: rowPath(operation.table, operation.key),
      headers: { ...JSON_HEADERS, ...conditionHeaders(operation.condition) },
      body: JSON.stringify({ value }),
      timeout: this.#options.timeout,
    });
    if (answer.kind !== 'answered') {
      return answer;
    }
    if (answer.status === PRECONDITION_FAILED) {
      return { kind: 'conflict', operation: 0 };
    }
    if (!isSuccess(answer.status)) {
      return { kind: 'unavailable' };
    }
    const written = parseBody(answer, writtenRowSchema);
    return written
      ? { kind: 'committed', versions: [written.version] }
      : { kind: 'unknown' };
  }

  async #transact(
    operations: readonly TableOperation[],
  ): Promise<WriteResponse> {
    const answer = await this.#exchange({
      method: 'POST',
      path: '/tables',
      headers: JSON_HEADERS,
      body: JSON.stringify({ operations }),
      timeout: this.#options.timeout,
    });
    if (answer.kind !== 'answered') {
      return answer;
    }
    if (answer.status === CONFLICT) {
      const conflict = parseText(answer, conflictSchema);
      return { kind: 'conflict', operation: conflict?.operation ?? 0 };
    }
    if (!isSuccess(answer.status)) {
      return { kind: 'unavailable' };
    }
    const written = parseBody(answer, writtenSchema);
    return written?.versions.length === operations.length
      ? { kind: 'committed', versions: written.versions }
      : { kind: 'unknown' };
  }

  #get(
    path: string,
    headers: Readonly<Record<string, string>> = {},
  ): Promise<HttpExchangeResult> {
    return this.#exchange({
      method: 'GET',
      path,
      headers,
      timeout: this.#options.timeout,
    });
  }

  #exchange(request: HttpExchangeRequest): Promise<HttpExchangeResult> {
    return runHttpExchange(this.#pool, request);
  }
}

function rowPath(table: string, key: string): string {
  return `/tables/${encodeURIComponent(table)}/${encodeURIComponent(key)}`;
}

function objectPath(key: string): string {
  return `/objects/${encodeURIComponent(key)}`;
}

function conditionHeaders(condition: Condition): Record<string, string> {
  switch (condition.kind) {
    case 'absent':
      return { 'if-none-match': '*' };
    case 'version':
      return { 'if-match': `"${condition.version}"` };
    case 'none':
      return {};
  }
}

function isSuccess(status: number): boolean {
  return status === OK || status === NO_CONTENT;
}

/** A read that failed had no effect, sent or not. */
function readFailure(
  failure: HttpFailure,
): RateLimitedResponse | UnavailableResponse {
  return failure.kind === 'unknown' ? { kind: 'unavailable' } : failure;
}

/** Parses the JSON body of a successful answer; undefined when it is malformed. */
function parseBody<Schema extends z.ZodType>(
  answer: HttpResponse,
  schema: Schema,
): z.output<Schema> | undefined {
  return answer.status === OK ? parseText(answer, schema) : undefined;
}

function parseText<Schema extends z.ZodType>(
  answer: HttpResponse,
  schema: Schema,
): z.output<Schema> | undefined {
  try {
    const json: unknown = JSON.parse(new TextDecoder().decode(answer.body));
    return schema.safeParse(json).data;
  } catch {
    return undefined;
  }
}
