/** Schema of the settings file of a router on the platform. */
import { z } from 'zod';

import type { Address } from '@sesamegrade/core/types/endpoint';
import { milliseconds, seconds } from '@sesamegrade/core/types/units';

const MAX_PORT = 65_535;
const text = z.string().trim().min(1);
const positive = z.coerce.number().positive();
const count = z.coerce.number().min(0);

/** `IP:PORT`. */
const address = text.transform((value, context): Address => {
  const colon = value.lastIndexOf(':');
  const port = Number(value.slice(colon + 1));
  if (colon <= 0 || !Number.isInteger(port) || port < 0 || port > MAX_PORT) {
    context.addIssue({ code: 'custom', message: 'expected IP:PORT' });
    return z.NEVER;
  }
  return { host: value.slice(0, colon), port };
});

const addressList = z.string().transform((value, context): Address[] => {
  const parts = value.split(',').map(part => part.trim());
  return parts
    .filter(part => part !== '')
    .flatMap(part => {
      const parsed = address.safeParse(part);
      if (!parsed.success) {
        context.addIssue({ code: 'custom', message: 'expected IP:PORT,…' });
        return [];
      }
      return [parsed.data];
    });
});

const milliSeconds = positive.transform(milliseconds);
const wholeSeconds = positive.transform(seconds);

const router = z.strictObject({
  id: text.describe('name of this router, unique in the fleet'),
  zone: text.describe('availability zone of the VM'),
  callers: address.describe('address for callers'),
  ready: address.describe("address for the balancer's question"),
  ready_path: text
    .default('/readyz')
    .describe("path of the balancer's question"),
  peers: address.describe('address for other routers'),
  first_start: z
    .union([z.boolean(), z.stringbool()])
    .default(false)
    .describe('whether the whole fleet starts for the first time'),
  cpu_share: positive
    .default(1)
    .describe('share of its processor that the VM may use'),
  cpu_speed: positive
    .default(1)
    .describe('speed of that processor; 1 is that of the smallest VMs'),
  metrics_port: z.coerce.number().int().min(0).max(MAX_PORT).default(9464),
});

const peers = z.strictObject({
  seeds: addressList.default([]).describe('some routers to begin with'),
  secret_env: text
    .default('SESAMEGRADE_PEER_SECRET')
    .describe('environment variable with the secret shared by all routers'),
});

const store = z.strictObject({
  address: address.describe("address of the platform's store"),
  answer_ms: milliSeconds
    .prefault(1500)
    .describe('longest wait for an answer that is not held back'),
  feed_ms: milliSeconds
    .prefault(8000)
    .describe('time for which the store may hold a read of changes back'),
});

const stop = z.strictObject({
  grace_seconds: wholeSeconds.describe('time from SIGTERM to SIGKILL'),
});

const retries = z.strictObject({
  ratio: count.describe('repeats allowed per request, for the whole fleet'),
  window_seconds: wholeSeconds.describe('sliding window of the budget'),
  slack: count.describe('repeats allowed per window whatever the traffic'),
});

const log = z.strictObject({
  level: z.enum(['error', 'warn', 'info']).default('info'),
});

export const gatewaySettingsSchema = z.strictObject({
  router,
  peers: peers.prefault({}),
  store,
  stop,
  retries,
  log: log.prefault({}),
});

export type GatewaySettings = z.output<typeof gatewaySettingsSchema>;
