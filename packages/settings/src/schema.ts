/** Schema of a router's settings file; docs/SETTINGS.md is generated from it. */
import { z } from 'zod';

const MAX_PORT = 65_535;
const MAX_TIME_MS = 86_400_000;

const text = z.string().trim().min(1);
const port = z.coerce.number().int().min(0).max(MAX_PORT);
const timeMs = z.coerce.number().int().min(1).max(MAX_TIME_MS);
const name = z
  .string()
  .regex(
    /^[a-z0-9][a-z0-9-]{0,62}$/u,
    'expected 1 to 63 lower-case letters, digits or dashes, the first one no dash',
  );
const flag = z.union([z.boolean(), z.stringbool()]);

/** A comma-separated list of names. */
const nameList = z
  .string()
  .transform(value => value.split(',').map(part => part.trim()))
  .pipe(z.array(text).min(1));

/** A comma-separated list of HTTP error statuses. */
const statusList = z
  .string()
  .transform(value => value.split(',').map(part => part.trim()))
  .pipe(z.array(z.coerce.number<string>().int().min(400).max(599)));

const ipAddress = z.union([z.ipv4(), z.ipv6()]);

const router = z.strictObject({
  id: name.describe('name of this router, unique in the fleet'),
  zone: name.describe('availability zone of the VM'),
  host: ipAddress
    .default('127.0.0.1')
    .describe('IP address for callers and peers'),
  caller_port: port
    .default(8080)
    .describe('port for callers; 0 lets the system choose one'),
  peer_port: port.default(8081).describe('port for other routers'),
  operator_host: ipAddress
    .default('127.0.0.1')
    .describe('IP address of the operator interface'),
  operator_port: port.default(8082).describe('port of the operator interface'),
});

const secrets = z.strictObject({
  peer_secret_env: text
    .optional()
    .describe('environment variable with the secret shared by all routers'),
  peer_secret_file: text
    .optional()
    .describe('file with the secret shared by all routers'),
  operator_token_env: text
    .optional()
    .describe('environment variable with the operator token'),
  operator_token_file: text.optional().describe('file with the operator token'),
});

const platform = z.strictObject({
  url: z.url({ protocol: /^https?$/u }).describe('base URL of the platform'),
  timeout_ms: timeMs
    .default(2000)
    .describe('timeout of a platform request, in milliseconds'),
  list_poll_ms: timeMs
    .default(1000)
    .describe('interval between reads of the VM list, in milliseconds'),
});

const limits = z.strictObject({
  body_bytes: z.coerce
    .number()
    .int()
    .min(1024)
    .max(64 * 1024 * 1024)
    .default(4 * 1024 * 1024)
    .describe('maximum size of a request body, in bytes'),
  answer_bytes: z.coerce
    .number()
    .int()
    .min(1024)
    .max(256 * 1024 * 1024)
    .default(16 * 1024 * 1024)
    .describe('maximum size of a response that is not streamed, in bytes'),
  header_bytes: z.coerce
    .number()
    .int()
    .min(1024)
    .max(1024 * 1024)
    .default(16 * 1024)
    .describe('maximum size of the request headers, in bytes'),
  body_timeout_ms: timeMs
    .default(30_000)
    .describe('timeout for receiving a complete request, in milliseconds'),
  request_timeout_ms: timeMs
    .default(600_000)
    .describe('deadline of a request that sets none, in milliseconds'),
  connect_timeout_ms: timeMs
    .default(1000)
    .describe('timeout for connecting to an endpoint, in milliseconds'),
  first_byte_timeout_ms: timeMs
    .default(60_000)
    .describe('timeout for the first byte of a response, in milliseconds'),
  stall_timeout_ms: timeMs
    .default(30_000)
    .describe('longest gap between two parts of a response, in milliseconds'),
  caller_stall_ms: timeMs
    .default(60_000)
    .describe(
      'longest time that a caller may leave its stream unread, in milliseconds',
    ),
  resume_grace_ms: z.coerce
    .number()
    .int()
    .min(0)
    .max(MAX_TIME_MS)
    .default(2000)
    .describe(
      'time for which a stream stays resumable after its caller disconnects, in milliseconds',
    ),
  drain_notice_ms: z.coerce
    .number()
    .int()
    .min(0)
    .max(MAX_TIME_MS)
    .default(3000)
    .describe(
      'time at a planned stop for which the router still accepts connections until the load balancer sees that it is not ready, in milliseconds',
    ),
  stop_wait_ms: z.coerce
    .number()
    .int()
    .min(0)
    .default(0)
    .describe(
      'longest wait for requests in flight at a planned stop, in milliseconds; 0 is unlimited',
    ),
});

const control = z.strictObject({
  bytes_per_second: z.coerce
    .number()
    .int()
    .min(512)
    .default(5000)
    .describe(
      'maximum rate of control traffic sent by this router, in bytes per second',
    ),
});

const metrics = z.strictObject({
  statsd_host: ipAddress
    .default('127.0.0.1')
    .describe('IP address of the statsd server'),
  statsd_port: port
    .default(0)
    .describe('UDP port of the statsd server; 0 sends no metrics'),
  prefix: text.default('sesamegrade.').describe('prefix of every metric name'),
});

const log = z.strictObject({
  level: z
    .enum(['error', 'warn', 'info', 'debug'])
    .default('info')
    .describe('minimum severity of the lines that are written'),
});

const placement = z.strictObject({
  weighing: z
    .enum(['skew', 'reuse'])
    .default('skew')
    .describe(
      'measure that placement prefers where both conflict: low load skew or cache reuse',
    ),
  bound: z.coerce
    .number()
    .min(1)
    .max(10)
    .default(1.25)
    .describe('maximum load of one engine, as a multiple of the mean'),
});

const team = z.strictObject({
  key_sha256: z
    .string()
    .regex(
      /^[0-9a-f]{64}$/u,
      'expected a SHA-256 as 64 lower-case hexadecimal digits',
    )
    .describe("SHA-256 of the team's key, as 64 lower-case hexadecimal digits"),
  weight: z.coerce
    .number()
    .min(0.001)
    .max(1000)
    .default(1)
    .describe("the team's weight in the sharing of capacity"),
  max_in_flight: z.coerce
    .number()
    .int()
    .min(1)
    .default(1000)
    .describe('maximum number of requests of the team in flight, fleet-wide'),
});

const service = z.strictObject({
  kind: z
    .enum(['engine', 'service'])
    .describe('whether the endpoints are model engines or a plain service'),
  models: nameList
    .optional()
    .describe('models served, separated by commas; required for engines'),
  repeatable: flag
    .default(true)
    .describe(
      'whether a call may be sent more than once, true by default; plain services only',
    ),
  not_run_statuses: statusList
    .default([])
    .describe(
      'HTTP statuses (400 to 599, separated by commas) by which an endpoint reports that it ran nothing',
    ),
  checks_fences: flag
    .default(true)
    .describe(
      'whether engines reject orders with an outdated fencing number, true by default',
    ),
  engines_wanted: z.coerce
    .number()
    .int()
    .min(0)
    .optional()
    .describe('number of engines that the planner assigns to each model'),
});

/** Every section of a settings file. `team` and `service` have one section per name. */
export const settingsSchema = z.strictObject({
  router,
  secrets: secrets.default({}),
  platform,
  limits: limits.prefault({}),
  control: control.prefault({}),
  metrics: metrics.prefault({}),
  log: log.prefault({}),
  placement: placement.prefault({}),
  team: z.record(name, team).default({}),
  service: z.record(name, service).default({}),
});

/** The validated settings of one router. */
export type Settings = z.infer<typeof settingsSchema>;

/** Settings of one service: a group of endpoints. */
export type ServiceSettings = Settings['service'][string];

/** Settings of one team. */
export type TeamSettings = Settings['team'][string];

/** The schema of each section, in the order of the reference. */
export const sectionSchemas = {
  router,
  secrets,
  platform,
  limits,
  control,
  metrics,
  log,
  placement,
  'team.NAME': team,
  'service.NAME': service,
} as const;
