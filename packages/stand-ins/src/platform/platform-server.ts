/** Stand-in for the platform: tables, objects, VM list and weight store over HTTP. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';

import { z } from 'zod';

import { Random } from '@sesamegrade/core/random/random';
import type { TableOperation } from '@sesamegrade/core/types/platform';
import { instant, milliseconds } from '@sesamegrade/core/types/units';
import type { Instant } from '@sesamegrade/core/types/units';
import {
  HttpStandIn,
  LOOPBACK,
  readBody,
  readJson,
  sendJson,
} from '../http/http-stand-in';
import type { ListenOptions } from '../http/http-stand-in';
import { platformFaultsSchema } from './platform-faults';
import type { PlatformFaultSettings } from './platform-faults';
import { TokenBucket } from './token-bucket';
import { TableStore } from './table-store';
import { VmDirectory } from './vm-directory';
import { WeightStore } from './weight-store';
import {
  etag,
  putSchema,
  requestCondition,
  transactionSchema,
  vmChangeSchema,
} from './wire';

const DEFAULT_PAGE_ROWS = 1000;
const RETRY_AFTER = { 'Retry-After': '1' };

export interface PlatformOptions {
  readonly listen?: ListenOptions;
  readonly seed?: number;
  /** Reads per second over tables and objects; no limit by default. */
  readonly readsPerSecond?: number;
  /** Rows written per second over tables and objects; no limit by default. */
  readonly writesPerSecond?: number;
  /** Time until a change shows in the VM list; 0 by default. */
  readonly vmListLagMs?: number;
  /** Concurrent weight loads; 2 by default. */
  readonly weightSlots?: number;
  /** Duration of a weight load; 300 by default. */
  readonly weightLoadMs?: number;
}

/** Counts since the start of the server. */
export interface PlatformCounters {
  reads: number;
  /** Rows of admitted writes, including those whose condition failed. */
  writes: number;
  limitedReads: number;
  limitedWrites: number;
  lostAnswers: number;
  vmLists: number;
  weightLoads: number;
}

export class PlatformServer extends HttpStandIn {
  readonly #tables = new TableStore();
  readonly #objects = new Map<string, Buffer>();
  readonly #vms: VmDirectory;
  readonly #weights: WeightStore;
  readonly #readLimit: TokenBucket;
  readonly #writeLimit: TokenBucket;
  readonly #random: Random;
  readonly #counters: PlatformCounters = {
    reads: 0,
    writes: 0,
    limitedReads: 0,
    limitedWrites: 0,
    lostAnswers: 0,
    vmLists: 0,
    weightLoads: 0,
  };
  #faults: PlatformFaultSettings = {};

  constructor(options: PlatformOptions = {}) {
    super(options.listen ?? LOOPBACK);
    const now = this.#now();
    this.#random = new Random(options.seed ?? 1);
    this.#readLimit = new TokenBucket(options.readsPerSecond ?? Infinity, now);
    this.#writeLimit = new TokenBucket(
      options.writesPerSecond ?? Infinity,
      now,
    );
    this.#vms = new VmDirectory(milliseconds(options.vmListLagMs ?? 0));
    this.#weights = new WeightStore(
      options.weightSlots ?? 2,
      options.weightLoadMs ?? 300,
    );
  }

  /** The rows, accessed by tests without limits and faults. */
  get tables(): TableStore {
    return this.#tables;
  }

  get vms(): VmDirectory {
    return this.#vms;
  }

  get counters(): Readonly<PlatformCounters> {
    return this.#counters;
  }

  /** Changes the given faults and leaves the others unchanged. */
  setFaults(change: PlatformFaultSettings): void {
    this.#faults = { ...this.#faults, ...change };
    if (change.readsPerSecond !== undefined) {
      this.#readLimit.setRate(change.readsPerSecond ?? Infinity);
    }
    if (change.writesPerSecond !== undefined) {
      this.#writeLimit.setRate(change.writesPerSecond ?? Infinity);
    }
    this.#vms.lag = milliseconds(change.vmListLagMs ?? this.#vms.lag);
    this.#weights.slots = change.weightSlots ?? this.#weights.slots;
    this.#weights.loadMs = change.weightLoadMs ?? this.#weights.loadMs;
  }

  protected override async handle(
    request: IncomingMessage,
    response: ServerResponse,
    url: URL,
  ): Promise<void> {
    const [area, ...path] = url.pathname
      .slice(1)
      .split('/')
      .map(decodeURIComponent);
    if (area === 'control') {
      await this.#control(request, response, path[0]);
      return;
    }
    if (this.#faults.outage === true) {
      sendJson(response, 503, { error: 'outage' }, RETRY_AFTER);
      return;
    }
    if (this.#faults.slownessMs !== undefined) {
      await sleep(this.#faults.slownessMs);
    }
    switch (area) {
      case 'tables':
        await this.#serveTables(request, response, path, url);
        break;
      case 'objects':
        await this.#serveObjects(request, response, path.join('/'));
        break;
      case 'vms':
        this.#counters.vmLists += 1;
        await this.#serveVmList(request, response);
        break;
      case 'weights':
        await this.#loadWeights(response);
        break;
      case undefined:
      default:
        sendJson(response, 404, { error: 'no such path' });
    }
  }

  #now(): Instant {
    return instant(performance.now());
  }

  async #serveTables(
    request: IncomingMessage,
    response: ServerResponse,
    [table, ...keyParts]: string[],
    url: URL,
  ): Promise<void> {
    if (request.method === 'POST') {
      await this.#transact(request, response);
      return;
    }
    if (table === undefined) {
      sendJson(response, 404, { error: 'the path names no table' });
      return;
    }
    const key = keyParts.join('/');
    if (request.method === 'GET') {
      await this.#read(response, table, key, url);
      return;
    }
    await this.#write(request, response, table, key);
  }

  async #read(
    response: ServerResponse,
    table: string,
    key: string,
    url: URL,
  ): Promise<void> {
    if (!this.#admitRead(response)) {
      return;
    }
    if (key === '') {
      const query = url.searchParams;
      const page = this.#tables.scan(
        table,
        query.get('prefix') ?? '',
        query.get('after') ?? undefined,
        Number(query.get('limit') ?? DEFAULT_PAGE_ROWS),
      );
      await this.#respond(response, 200, page);
      return;
    }
    const row = this.#tables.get(table, key);
    await this.#respond(response, row ? 200 : 404, row ?? { error: 'absent' });
  }

  async #write(
    request: IncomingMessage,
    response: ServerResponse,
    table: string,
    key: string,
  ): Promise<void> {
    const isPut = request.method === 'PUT';
    const body = isPut
      ? putSchema.safeParse(await readJson(request))
      : undefined;
    const condition = requestCondition(request);
    if (body?.success === false || !condition || key === '') {
      sendJson(response, 400, { error: 'malformed write' });
      return;
    }
    if (!this.#admitWrites(response, 1)) {
      return;
    }
    const change = body
      ? ({ kind: 'put', value: body.data.value } as const)
      : ({ kind: 'delete' } as const);
    const result = this.#tables.transact([{ table, key, condition, change }]);
    if (!result.ok) {
      await this.#respondToWrite(response, 412, { error: 'condition failed' });
      return;
    }
    await this.#respondToWrite(response, 200, { version: result.value[0] });
  }

  async #transact(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const parsed = transactionSchema.safeParse(await readJson(request));
    if (!parsed.success) {
      sendJson(response, 400, { error: z.prettifyError(parsed.error) });
      return;
    }
    const operations: readonly TableOperation[] = parsed.data.operations;
    if (!this.#admitWrites(response, operations.length)) {
      return;
    }
    const result = this.#tables.transact(operations);
    if (result.ok) {
      await this.#respondToWrite(response, 200, { versions: result.value });
    } else {
      const { operation } = result.failure;
      await this.#respondToWrite(response, 409, { operation });
    }
  }

  async #serveObjects(
    request: IncomingMessage,
    response: ServerResponse,
    key: string,
  ): Promise<void> {
    if (request.method === 'PUT') {
      const body = await readBody(request);
      if (this.#admitWrites(response, 1)) {
        this.#objects.set(key, body);
        await this.#respondToWrite(response, 200, {}, { ETag: etag(body) });
      }
      return;
    }
    if (!this.#admitRead(response)) {
      return;
    }
    const bytes = this.#objects.get(key);
    if (!bytes) {
      sendJson(response, 404, { error: 'absent' });
      return;
    }
    response.writeHead(200, {
      'Content-Type': 'application/octet-stream',
      'Content-Length': bytes.length,
      ETag: etag(bytes),
    });
    response.end(bytes);
  }

  async #loadWeights(response: ServerResponse): Promise<void> {
    if (await this.#weights.load()) {
      this.#counters.weightLoads += 1;
      await this.#respond(response, 200, {});
    } else {
      sendJson(response, 429, { error: 'no free slot' }, RETRY_AFTER);
    }
  }

  #admitRead(response: ServerResponse): boolean {
    if (this.#readLimit.take(1, this.#now())) {
      this.#counters.reads += 1;
      return true;
    }
    this.#counters.limitedReads += 1;
    sendJson(response, 429, { error: 'read limit' }, RETRY_AFTER);
    return false;
  }

  #admitWrites(response: ServerResponse, rows: number): boolean {
    if (this.#writeLimit.take(rows, this.#now())) {
      this.#counters.writes += rows;
      return true;
    }
    this.#counters.limitedWrites += rows;
    sendJson(response, 429, { error: 'write limit' }, RETRY_AFTER);
    return false;
  }

  /** Responds to a write, or loses the response with the configured probability. */
  async #respondToWrite(
    response: ServerResponse,
    status: number,
    value: unknown,
    headers: Readonly<Record<string, string>> = {},
  ): Promise<void> {
    if (this.#random.fraction() < (this.#faults.lostAnswers ?? 0)) {
      this.#counters.lostAnswers += 1;
      response.destroy();
      return;
    }
    await this.#respond(response, status, value, headers);
  }

  /** Responds 304 if the client already has the current list. */
  async #serveVmList(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const list = { vms: this.#vms.list(this.#now()) };
    const tag = etag(Buffer.from(JSON.stringify(list)));
    if (request.headers['if-none-match'] === tag) {
      await this.#delayResponse();
      response.writeHead(304, { ETag: tag }).end();
      return;
    }
    await this.#respond(response, 200, list, { ETag: tag });
  }

  async #respond(
    response: ServerResponse,
    status: number,
    value: unknown,
    headers: Readonly<Record<string, string>> = {},
  ): Promise<void> {
    await this.#delayResponse();
    sendJson(response, status, value, headers);
  }

  async #delayResponse(): Promise<void> {
    if (this.#faults.answerDelayMs !== undefined) {
      await sleep(this.#faults.answerDelayMs);
    }
  }

  async #control(
    request: IncomingMessage,
    response: ServerResponse,
    resource: string | undefined,
  ): Promise<void> {
    switch (`${request.method ?? ''} ${resource ?? ''}`) {
      case 'GET counters':
        sendJson(response, 200, this.#counters);
        break;
      case 'GET vms':
        sendJson(response, 200, { vms: this.#vms.listWithoutLag() });
        break;
      case 'POST vms':
        await this.#changeVms(request, response);
        break;
      case 'POST faults':
        await this.#changeFaults(request, response);
        break;
      default:
        sendJson(response, 404, { error: 'no such path' });
    }
  }

  async #changeVms(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const parsed = vmChangeSchema.safeParse(await readJson(request));
    if (!parsed.success) {
      sendJson(response, 400, { error: z.prettifyError(parsed.error) });
      return;
    }
    this.#vms.apply(parsed.data, this.#now());
    sendJson(response, 200, {});
  }

  async #changeFaults(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const parsed = platformFaultsSchema.safeParse(await readJson(request));
    if (!parsed.success) {
      sendJson(response, 400, { error: z.prettifyError(parsed.error) });
      return;
    }
    this.setFaults(parsed.data);
    sendJson(response, 200, this.#faults);
  }
}
