/** Schema of a router's settings file; the reference in the docs is made from it. */
import { z } from 'zod';

const MAX_PORT = 65_535;
const MAX_TIME_MS = 86_400_000;

const text = z.string().trim().min(1);
const port = z.coerce.number().int().min(0).max(MAX_PORT);
const timeMs = z.coerce.number().int().min(1).max(MAX_TIME_MS);
const name = z
  .string()
  .regex(/^[a-z0-9][a-z0-9-]{0,62}$/u, 'lower-case letters, digits and dashes');
const flag = z.union([z.boolean(), z.stringbool()]);

/** A comma-separated list of names. */
const nameList = z
  .string()
  .transform(value => value.split(',').map(part => part.trim()))
  .pipe(z.array(text).min(1));

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
  caller_port: port.default(8080).describe('port for callers; 0 picks one'),
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
  url: z.url({ protocol: /^https?$/u }).describe('address of the platform'),
  timeout_ms: timeMs.default(2000).describe('longest wait for an answer'),
  list_poll_ms: timeMs.default(1000).describe('time between reads of VMs'),
});

const limits = z.strictObject({
  body_bytes: z.coerce
    .number()
    .int()
    .min(1024)
    .max(64 * 1024 * 1024)
    .default(4 * 1024 * 1024)
    .describe('largest request body, in bytes'),
  answer_bytes: z.coerce
    .number()
    .int()
    .min(1024)
    .max(256 * 1024 * 1024)
    .default(16 * 1024 * 1024)
    .describe('largest answer that is not streamed, in bytes'),
  header_bytes: z.coerce
    .number()
    .int()
    .min(1024)
    .max(1024 * 1024)
    .default(16 * 1024)
    .describe('largest request header, in bytes'),
  body_timeout_ms: timeMs
    .default(30_000)
    .describe('longest wait for a whole request'),
  request_timeout_ms: timeMs
    .default(600_000)
    .describe('deadline of a request that names none'),
  connect_timeout_ms: timeMs
    .default(1000)
    .describe('longest wait for a connection to an endpoint'),
  first_byte_timeout_ms: timeMs
    .default(60_000)
    .describe('longest wait for the start of an answer'),
  stall_timeout_ms: timeMs
    .default(30_000)
    .describe('longest silence within an answer'),
  caller_stall_ms: timeMs
    .default(60_000)
    .describe('longest time a caller may leave its stream unread'),
  resume_grace_ms: z.coerce
    .number()
    .int()
    .min(0)
    .max(MAX_TIME_MS)
    .default(2000)
    .describe('time a stream outlives its caller, so that it can be resumed'),
  drain_notice_ms: z.coerce
    .number()
    .int()
    .min(0)
    .max(MAX_TIME_MS)
    .default(3000)
    .describe(
      'time at a planned stop in which the router still takes connections while the balancer learns that it is not ready',
    ),
  stop_wait_ms: z.coerce
    .number()
    .int()
    .min(0)
    .default(0)
    .describe('longest wait for requests at a planned stop; 0 is unlimited'),
});

const control = z.strictObject({
  bytes_per_second: z.coerce
    .number()
    .int()
    .min(512)
    .default(5000)
    .describe('cap on control traffic sent by this router, in bytes a second'),
});

const metrics = z.strictObject({
  statsd_host: ipAddress.default('127.0.0.1').describe('address of statsd'),
  statsd_port: port
    .default(0)
    .describe('UDP port of statsd; 0 sends no metrics'),
  prefix: text.default('sesamegrade.').describe('prefix of every metric'),
});

const log = z.strictObject({
  level: z
    .enum(['error', 'warn', 'info', 'debug'])
    .default('info')
    .describe('least severe lines that are written'),
});

const placement = z.strictObject({
  weighing: z
    .enum(['skew', 'reuse'])
    .default('skew')
    .describe('which measure goes first when both cannot be had'),
  bound: z.coerce
    .number()
    .min(1)
    .max(10)
    .default(1.25)
    .describe('most load of one engine, as a multiple of the mean'),
});

const team = z.strictObject({
  key_sha256: z
    .string()
    .regex(/^[0-9a-f]{64}$/u, 'a SHA-256 in lower-case hexadecimal')
    .describe("SHA-256 of the team's key"),
  weight: z.coerce
    .number()
    .min(0.001)
    .max(1000)
    .default(1)
    .describe("the team's weight when capacity is shared"),
  max_in_flight: z.coerce
    .number()
    .int()
    .min(1)
    .default(1000)
    .describe('most requests of the team at once, fleet-wide'),
});

const service = z.strictObject({
  kind: z
    .enum(['engine', 'service'])
    .describe('model engines or a plain service'),
  models: nameList
    .optional()
    .describe('models served, comma-separated; engines only'),
  repeatable: flag
    .default(true)
    .describe(
      'whether a call may be sent twice, true unless set; plain services only',
    ),
  not_run_statuses: statusList
    .default([])
    .describe('statuses by which an endpoint says that it ran nothing'),
  checks_fences: flag
    .default(true)
    .describe(
      'whether engines refuse orders with an old fencing number, true unless set',
    ),
  engines_wanted: z.coerce
    .number()
    .int()
    .min(0)
    .optional()
    .describe('engines that the planner keeps for each model'),
});

/** Every section of a settings file. `team` and `service` hold one section a name. */
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

/** The checked settings of one router. */
export type Settings = z.infer<typeof settingsSchema>;

/** Settings of one group of endpoints. */
export type ServiceSettings = Settings['service'][string];

/** Settings of one team. */
export type TeamSettings = Settings['team'][string];

/** Sections in the order of the reference, with one schema for each. */
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
