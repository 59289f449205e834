/** Calls the platform's services over HTTP. */
import { Pool } from 'undici';
import type { z } from 'zod';

import type {
  Condition,
  ReadResponse,
  ScanResponse,
  TableOperation,
  WriteResponse,
} from '@sesamegrade/core/types/platform';
import { parseBoundedJson } from '@sesamegrade/core/types/bounded-json';
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
  /** Timeout of every call except weight loads. */
  readonly timeout: Milliseconds;
  /** Timeout of a weight load. */
  readonly weightsTimeout: Milliseconds;
  /** Maximum number of concurrent connections. */
  readonly connections: number;
}

type HttpResponse = Extract<HttpExchangeResult, { readonly kind: 'response' }>;
/** An exchange without a usable response. */
type HttpFailure = Exclude<HttpExchangeResult, HttpResponse>;

/** Largest response of the platform. */
const MAX_RESPONSE_BYTES = 67_108_864;
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
  /** ETag of the list of VMs that was read last. */
  #listEtag = '';

  constructor(options: HttpPlatformClientOptions) {
    super();
    this.#options = options;
    this.#pool = new Pool(options.origin, {
      connections: options.connections,
      connect: { timeout: options.timeout },
      pipelining: 1,
      maxResponseSize: MAX_RESPONSE_BYTES,
    });
  }

  /** Closes all connections, also those in use. */
  async close(): Promise<void> {
    await this.#pool.destroy();
  }

  async read(table: string, key: string): Promise<ReadResponse> {
    const response = await this.#get(rowPath(table, key));
    if (response.kind !== 'response') {
      return readFailure(response);
    }
    if (response.status === NOT_FOUND) {
      return { kind: 'absent' };
    }
    const row = parseBody(response, rowSchema);
    return row ? { kind: 'found', row } : { kind: 'unavailable' };
  }

  async write(operations: readonly TableOperation[]): Promise<WriteResponse> {
    const [only] = operations;
    const isSinglePut = operations.length === 1 && only?.change.kind === 'put';
    return isSinglePut
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
    const response = await this.#get(path);
    if (response.kind !== 'response') {
      return readFailure(response);
    }
    const page = parseBody(response, pageSchema);
    if (!page) {
      return { kind: 'unavailable' };
    }
    return page.next === undefined
      ? { kind: 'rows', rows: page.rows }
      : { kind: 'rows', rows: page.rows, next: page.next };
  }

  async vms(): Promise<VmListResponse> {
    const headers: Record<string, string> = {};
    if (this.#listEtag !== '') {
      headers['if-none-match'] = this.#listEtag;
    }
    const response = await this.#get('/vms', headers);
    if (response.kind !== 'response') {
      return readFailure(response);
    }
    if (response.status === NOT_MODIFIED) {
      return { kind: 'unchanged' };
    }
    const list = parseBody(response, vmListSchema);
    if (!list) {
      return { kind: 'unavailable' };
    }
    this.#listEtag = response.tag;
    return { kind: 'vms', vms: list.vms };
  }

  async readObject(key: string): Promise<ObjectReadResponse> {
    const response = await this.#get(objectPath(key));
    if (response.kind !== 'response') {
      return readFailure(response);
    }
    if (response.status === NOT_FOUND) {
      return { kind: 'absent' };
    }
    return response.status === OK
      ? { kind: 'found', body: response.body, tag: response.tag }
      : { kind: 'unavailable' };
  }

  async writeObject(
    key: string,
    body: Uint8Array,
  ): Promise<ObjectWriteResponse> {
    const response = await this.#exchange({
      method: 'PUT',
      path: objectPath(key),
      headers: { 'content-type': 'application/octet-stream' },
      body,
      timeout: this.#options.timeout,
    });
    if (response.kind !== 'response') {
      return response;
    }
    return isSuccess(response.status)
      ? { kind: 'stored', tag: response.tag }
      : { kind: 'unavailable' };
  }

  async loadWeights(name: string): Promise<WeightsResponse> {
    const response = await this.#exchange({
      method: 'POST',
      path: `/weights/${encodeURIComponent(name)}`,
      timeout: this.#options.weightsTimeout,
    });
    if (response.kind !== 'response') {
      return response;
    }
    return isSuccess(response.status)
      ? { kind: 'loaded' }
      : { kind: 'unavailable' };
  }

  async #putRow(
    operation: TableOperation,
    value: unknown,
  ): Promise<WriteResponse> {
    const response = await this.#exchange({
      method: 'PUT',
      path: rowPath(operation.table, operation.key),
      headers: { ...JSON_HEADERS, ...conditionHeaders(operation.condition) },
      body: JSON.stringify({ value }),
      timeout: this.#options.timeout,
    });
    if (response.kind !== 'response') {
      return response;
    }
    if (response.status === PRECONDITION_FAILED) {
      return { kind: 'conflict', operation: 0 };
    }
    if (!isSuccess(response.status)) {
      return { kind: 'unavailable' };
    }
    const written = parseBody(response, writtenRowSchema);
    return written
      ? { kind: 'committed', versions: [written.version] }
      : { kind: 'unknown' };
  }

  async #transact(
    operations: readonly TableOperation[],
  ): Promise<WriteResponse> {
    const response = await this.#exchange({
      method: 'POST',
      path: '/tables',
      headers: JSON_HEADERS,
      body: JSON.stringify({ operations }),
      timeout: this.#options.timeout,
    });
    if (response.kind !== 'response') {
      return response;
    }
    if (response.status === CONFLICT) {
      const conflict = parseText(response, conflictSchema);
      return { kind: 'conflict', operation: conflict?.operation ?? 0 };
    }
    if (!isSuccess(response.status)) {
      return { kind: 'unavailable' };
    }
    const written = parseBody(response, writtenSchema);
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

/** A read has no effect, so an unknown result counts as unavailable. */
function readFailure(
  failure: HttpFailure,
): RateLimitedResponse | UnavailableResponse {
  return failure.kind === 'unknown' ? { kind: 'unavailable' } : failure;
}

/** Parses the JSON body of a 200 response; undefined when it does not match the schema. */
function parseBody<Schema extends z.ZodType>(
  response: HttpResponse,
  schema: Schema,
): z.output<Schema> | undefined {
  return response.status === OK ? parseText(response, schema) : undefined;
}

function parseText<Schema extends z.ZodType>(
  response: HttpResponse,
  schema: Schema,
): z.output<Schema> | undefined {
  const json = parseBoundedJson(response.body);
  return json.ok ? schema.safeParse(json.value).data : undefined;
}
