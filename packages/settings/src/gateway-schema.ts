/** Schema of the settings file of a router that uses a deployment's platform. */
import { z } from 'zod';

import { parseAddress } from '@sesamegrade/core/types/address';
import type { Address } from '@sesamegrade/core/types/endpoint';
import { milliseconds, seconds } from '@sesamegrade/core/types/units';

const MAX_PORT = 65_535;
const NO_VALUE = 'expected a value';
const DEFAULT_COLD_OVERAGE = 1.5;
const text = z.string().trim().min(1, NO_VALUE);
const positive = z.coerce.number().positive();
const nonNegative = z.coerce.number().min(0);

/** Takes an empty value as not set: a template renders one where the platform has no value. */
const unlessEmpty = <Schema extends z.ZodType>(schema: Schema) =>
  z.preprocess(value => (value === '' ? undefined : value), schema);

/** Rejects an empty value, which coercion to a number would take as 0. */
const required = <Schema extends z.ZodType>(schema: Schema) =>
  z
    .unknown()
    .refine(value => value !== '', { error: NO_VALUE, abort: true })
    .pipe(schema);

/** An address as `IP:PORT`; port 0 is allowed. */
const address = text.transform((value, context): Address => {
  const parsed = parseAddress(value);
  if (!parsed) {
    context.addIssue({ code: 'custom', message: 'expected IP:PORT' });
    return z.NEVER;
  }
  return parsed;
});

/** Comma-separated addresses; empty entries are ignored. */
const addressList = z.string().transform((value, context): Address[] => {
  const parts = value.split(',').map(part => part.trim());
  return parts
    .filter(part => part !== '')
    .flatMap(part => {
      const parsed = address.safeParse(part);
      if (!parsed.success) {
        context.addIssue({
          code: 'custom',
          message: `expected IP:PORT separated by commas, found "${part}"`,
        });
        return [];
      }
      return [parsed.data];
    });
});

const durationMs = positive.transform(milliseconds);
const durationSeconds = positive.transform(seconds);

const router = z.strictObject({
  id: text.describe('name of this router, unique in the fleet'),
  zone: text.describe('availability zone of the VM'),
  callers: address.describe('address on which this router accepts callers'),
  ready: address.describe("address of the load balancer's readiness check"),
  ready_path: text
    .default('/readyz')
    .describe("path of the load balancer's readiness check"),
  peers: address.describe('address on which this router accepts other routers'),
  first_start: unlessEmpty(
    z.union([z.boolean(), z.stringbool()]).default(false),
  ).describe(
    "whether this is the fleet's first start, with empty engine caches",
  ),
  cpu_share: unlessEmpty(positive.default(1)).describe(
    'share of the processor that the VM may use; 1 is all of it',
  ),
  cpu_speed: unlessEmpty(positive.default(1)).describe(
    'processor speed relative to that of the smallest VMs',
  ),
  memory_mb: unlessEmpty(positive.optional()).describe(
    'memory of the VM in MiB, by which the memory of requests and responses is limited; 240 is assumed unless set',
  ),
  metrics_port: z.coerce.number().int().min(0).max(MAX_PORT).default(9464),
});

const peers = z.strictObject({
  seeds: addressList
    .default([])
    .describe('addresses of routers to contact first, separated by commas'),
  secret_env: text
    .default('SESAMEGRADE_PEER_SECRET')
    .describe('environment variable with the secret shared by all routers'),
});

const store = z.strictObject({
  address: address.describe("address of the platform's store"),
  answer_ms: durationMs
    .prefault(1500)
    .describe(
      'timeout of a store request other than a long poll, in milliseconds',
    ),
});

const bounds = z.strictObject({
  departure_ms: unlessEmpty(durationMs.prefault(2000)).describe(
    'time within which a leaving endpoint gets no more requests, in milliseconds',
  ),
  configuration_ms: unlessEmpty(durationMs.prefault(2000)).describe(
    'time within which a new configuration is in force, in milliseconds',
  ),
  cold_overage: unlessEmpty(positive.optional()).describe(
    `requests a second at a cold endpoint, as a multiple of the rate of its service, beyond which it may crash; ${DEFAULT_COLD_OVERAGE} is assumed unless set`,
  ),
  cold_slack: unlessEmpty(nonNegative.prefault(5)).describe(
    'requests a second that are tolerated beyond that multiple',
  ),
});

const stop = z.strictObject({
  grace_seconds: required(durationSeconds).describe(
    'time from SIGTERM to SIGKILL, in seconds',
  ),
});

const retries = z.strictObject({
  ratio: required(nonNegative).describe(
    'retries allowed per request, fleet-wide',
  ),
  window_seconds: required(durationSeconds).describe(
    'length of the sliding window of the retry budget, in seconds',
  ),
  slack: required(nonNegative).describe(
    'retries allowed per window regardless of traffic',
  ),
});

const admission = z.strictObject({
  enabled: z
    .union([z.boolean(), z.stringbool()])
    .optional()
    .describe(
      'whether requests wait or are refused while all slots of a service are taken; unless set, whether `cold_overage` in section `bounds` is set',
    ),
  max_wait_ms: durationMs
    .prefault(1000)
    .describe(
      'longest wait for a slot, in milliseconds; also limited to half of the latency goal',
    ),
  max_waiting: z.coerce
    .number()
    .int()
    .min(0)
    .default(256)
    .describe('requests that may wait at this router for one service'),
});

const count = z.coerce.number().int().positive();

/** Bounds of what clients may cost; the reasons of the defaults are in docs/design/caller-limits.md. */
export const callerLimitsSchema = z.strictObject({
  connections: count
    .default(768)
    .describe(
      'connections of callers; one more closes one on which no request runs',
    ),
  connections_per_address: count
    .optional()
    .describe(
      'connections from one address; as many as `connections` unless set',
    ),
  ready_connections: count
    .default(128)
    .describe('connections at the address of the readiness check'),
  metrics_connections: count
    .default(32)
    .describe('connections at the address of the metrics'),
  pipelined_requests: count
    .default(32)
    .describe(
      'requests of one connection that are served at once; later ones are read when a response has been sent',
    ),
  pipelined_total: count
    .default(128)
    .describe(
      'requests of all connections that are served beside an earlier one of their connection',
    ),
  unread_bytes: count
    .default(65_536)
    .describe(
      'response bytes not sent yet above which a connection gets no further request served, in bytes',
    ),
  incomplete_body_bytes: count
    .default(16_777_216)
    .describe(
      'memory of all request bodies that are not complete, in bytes; beyond that those that have not grown for longest are refused',
    ),
  body_ms: durationMs
    .prefault(30_000)
    .describe('time within which a request body must arrive, in milliseconds'),
});

const log = z.strictObject({
  level: z.enum(['error', 'warn', 'info']).default('info'),
});

export const gatewaySettingsSchema = z
  .strictObject({
    router,
    peers: peers.prefault({}),
    store,
    bounds: bounds.prefault({}),
    stop,
    retries,
    admission: admission.prefault({}),
    caller_limits: callerLimitsSchema.prefault({}),
    log: log.prefault({}),
  })
  .transform(settings => ({
    ...settings,
    bounds: {
      ...settings.bounds,
      cold_overage: settings.bounds.cold_overage ?? DEFAULT_COLD_OVERAGE,
    },
    // Endpoints that are cold after a start leave too few slots for all requests at times.
    admission: {
      ...settings.admission,
      enabled:
        settings.admission.enabled ??
        settings.bounds.cold_overage !== undefined,
    },
  }));

export type GatewaySettings = z.output<typeof gatewaySettingsSchema>;
