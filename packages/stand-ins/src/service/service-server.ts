/** Stand-in for a plain service whose calls have an effect each time they are executed. */
import { createHash } from 'node:crypto';
import type { IncomingMessage, ServerResponse } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';

import { z } from 'zod';

import { Random } from '@sesamegrade/core/random/random';
import type { Address } from '@sesamegrade/core/types/endpoint';
import {
  HttpStandIn,
  LOOPBACK,
  header,
  readBody,
  readJson,
  sendJson,
} from '../http/http-stand-in';
import type { ListenOptions } from '../http/http-stand-in';
import { Registration } from '../http/registration';
import { ExecutionLog } from './execution-log';
import type { ExecutionReport } from './execution-log';

const DEFAULT_DELAY_MS = 5;
const DEFAULT_CAPACITY = 64;
const DEFAULT_REFUSAL_STATUS = 429;
/** Time within which routers must notice that a service is leaving. */
const LEAVING_GRACE_MS = 5000;

export interface ServiceOptions {
  readonly listen?: ListenOptions;
  /** Base URL of the stand-in platform at which the service registers. */
  readonly platform?: string;
  /** Address to register, if it differs from the one on which the service listens. */
  readonly advertise?: Address | undefined;
  readonly vm?: string;
  readonly service?: string;
  readonly zone?: string;
  readonly incarnation?: number;
  readonly capacity?: number;
  /** Time from the arrival of a call to its effect, in milliseconds. */
  readonly delayMs?: number;
  readonly seed?: number;
}

export const serviceControlSchema = z.strictObject({
  delayMs: z.number().nonnegative().optional(),
  /** Probability that a call is rejected and not executed. */
  refusals: z.number().min(0).max(1).optional(),
  /** Status code of a rejected call. */
  refusalStatus: z.number().int().min(400).max(599).optional(),
  /** Probability that a call is executed and its connection closed without a response. */
  lostAnswers: z.number().min(0).max(1).optional(),
  /** Lists the service as leaving. */
  leaving: z.boolean().optional(),
});

export type ServiceControl = z.infer<typeof serviceControlSchema>;

export class ServiceServer extends HttpStandIn {
  readonly #options: ServiceOptions;
  readonly #log = new ExecutionLog();
  readonly #random: Random;
  readonly #registration: Registration | undefined;
  #control: ServiceControl = {};
  #leavingSince: number | undefined;
  #sentLate = 0;

  constructor(options: ServiceOptions = {}) {
    super(options.listen ?? LOOPBACK);
    this.#options = options;
    this.#random = new Random(options.seed ?? 1);
    this.#registration =
      options.platform === undefined
        ? undefined
        : new Registration(options.platform);
  }

  /** The calls executed so far. */
  executions(): ExecutionReport {
    return this.#log.report();
  }

  /** Changes the given faults and leaves the others unchanged. */
  async control(change: ServiceControl): Promise<void> {
    this.#control = { ...this.#control, ...change };
    if (change.leaving !== undefined) {
      this.#leavingSince = change.leaving ? performance.now() : undefined;
      await this.#register();
    }
  }

  protected override async onStarted(): Promise<void> {
    await this.#register();
  }

  protected override async onStopping(): Promise<void> {
    await this.#registration?.remove(this.#vm()).catch(() => undefined);
  }

  protected override async handle(
    request: IncomingMessage,
    response: ServerResponse,
    url: URL,
  ): Promise<void> {
    if (url.pathname === '/control' || url.pathname.startsWith('/control/')) {
      await this.#serveControl(request, response);
      return;
    }
    const body = await readBody(request);
    const leavingForMs = performance.now() - (this.#leavingSince ?? Infinity);
    if (leavingForMs > LEAVING_GRACE_MS) {
      this.#sentLate += 1;
    }
    if (this.#random.fraction() < (this.#control.refusals ?? 0)) {
      const status = this.#control.refusalStatus ?? DEFAULT_REFUSAL_STATUS;
      sendJson(response, status, { error: 'refused' }, { 'Retry-After': '1' });
      return;
    }
    await this.#execute(request, response, url, body);
  }

  async #execute(
    request: IncomingMessage,
    response: ServerResponse,
    url: URL,
    body: Buffer,
  ): Promise<void> {
    await sleep(
      this.#control.delayMs ?? this.#options.delayMs ?? DEFAULT_DELAY_MS,
    );
    const idempotencyKey = header(request, 'idempotency-key');
    const requestId = header(request, 'x-request-id');
    const bodyHash = createHash('sha256').update(body).digest('hex');
    const execution = this.#log.add({
      ...(idempotencyKey === undefined ? {} : { idempotencyKey }),
      ...(requestId === undefined ? {} : { requestId }),
      method: request.method ?? '',
      path: url.pathname,
      bodyHash,
      at: Date.now(),
    });
    if (this.#random.fraction() < (this.#control.lostAnswers ?? 0)) {
      response.destroy();
      return;
    }
    sendJson(response, 200, {
      vm: this.#vm(),
      execution,
      bodyHash,
      idempotencyKey: idempotencyKey ?? null,
    });
  }

  async #serveControl(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    if (request.method !== 'POST') {
      const report = this.#log.report();
      sendJson(response, 200, { ...report, sentLate: this.#sentLate });
      return;
    }
    const parsed = serviceControlSchema.safeParse(await readJson(request));
    if (!parsed.success) {
      sendJson(response, 400, { error: z.prettifyError(parsed.error) });
      return;
    }
    await this.control(parsed.data);
    sendJson(response, 200, this.#control);
  }

  #vm(): string {
    return this.#options.vm ?? 'service-1';
  }

  async #register(): Promise<void> {
    const { host, port } = this.#options.advertise ?? this.address;
    await this.#registration?.register({
      vm: this.#vm(),
      kind: 'service',
      service: this.#options.service ?? 'registry',
      host,
      port,
      zone: this.#options.zone ?? 'zone-1',
      state: this.#control.leaving === true ? 'leaving' : 'live',
      incarnation: this.#options.incarnation ?? 1,
      capacity: this.#options.capacity ?? DEFAULT_CAPACITY,
    });
  }
}
