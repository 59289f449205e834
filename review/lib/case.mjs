/** Runs a case: the store, servers and routers of a small deployment, the record and the verdict. */
import { randomBytes } from 'node:crypto';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';

import { createRouters, pause } from './router.mjs';
import { StoreLink } from './store-link.mjs';
import { Store } from './store.mjs';

export const EXIT_HELD = 0;
export const EXIT_BROKEN = 1;
const EXIT_NOT_RUN = 2;
/** A case ends by itself before the limit of 120 s. */
const LIMIT_MS = 110_000;

export const HOST_NAME = 'review.example';
export const KEY = 'key-of-team-one';

export const hasTrouble = process.env.TROUBLE !== '0';

/** A manifest with an engine service, a plain one, and one route for each kind of request. */
export function manifest({ version = 1, slots = 64, ...fields } = {}) {
  const route = (name, kind, service, more) => ({
    name,
    host: HOST_NAME,
    prefix: `/${name}/`,
    service,
    kind,
    timeoutMs: 20_000,
    goalMs: 1000,
    maxAttempts: 2,
    priority: 1,
    ...more,
  });
  return {
    version,
    routes: [
      route('stream', 'streaming', 'redactor', {
        sticky: true,
        gapTargetMs: 600,
      }),
      route('write', 'non_idempotent', 'registro'),
      route('read', 'idempotent', 'registro'),
    ],
    services: [
      {
        name: 'redactor',
        healthPath: '/health',
        maxConns: 832,
        engine: { slots, kvCapacity: 545_002 },
      },
      { name: 'registro', healthPath: '/health', maxConns: 248 },
    ],
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 4_194_304,
      headerTimeoutMs: 5000,
      idleTimeoutMs: 30_000,
    },
    tenants: [{ name: 'team-one', apiKeys: [KEY] }],
    ...fields,
  };
}

export function newId() {
  return randomBytes(8).toString('hex');
}

/** Headers of a request as clients send them. */
export function requestHeaders(id, deadlineMs = 15_000) {
  return {
    'Sesamegrade-Request-Id': id,
    'Sesamegrade-Deadline-Ms': deadlineMs,
    Authorization: `Bearer ${KEY}`,
  };
}

/**
 * Runs `play(context)`, which returns a list of violations, and exits with the verdict. The context
 * has `store`, `routers`, their `links` to the store with `hasLinks`, `record` and `onStop(function)`.
 */
export async function runCase(
  moduleUrl,
  { routers: count, bootstrap, hasLinks = false },
  play,
) {
  const lines = [];
  const startedAt = Date.now();
  const record = text => {
    lines.push(`${String(Date.now() - startedAt).padStart(6)} ms  ${text}`);
  };
  const folder = mkdtempSync(join(tmpdir(), 'review-'));
  const stops = [];
  const context = { record, folder, onStop: stop => stops.push(stop) };
  const limit = setTimeout(() => {
    record('the case did not end in time');
    void finish(EXIT_NOT_RUN);
  }, LIMIT_MS);
  let hasFinished = false;
  const finish = async code => {
    if (hasFinished) {
      return;
    }
    hasFinished = true;
    globalThis.clearTimeout(limit);
    await Promise.all((context.routers ?? []).map(router => router.stop()));
    stops.forEach(stop => {
      stop();
    });
    context.store?.stop();
    rmSync(folder, { recursive: true, force: true });
    record(`exit code ${code}`);
    const file = join(dirname(fileURLToPath(moduleUrl)), 'record.txt');
    writeFileSync(file, `${lines.join('\n')}\n`);
    process.exit(code);
  };
  for (const event of ['SIGINT', 'SIGTERM', 'uncaughtException']) {
    process.on(event, cause => {
      record(`the case could not run: ${cause?.stack ?? cause}`);
      void finish(EXIT_NOT_RUN);
    });
  }
  try {
    record(hasTrouble ? 'with the disruption' : 'without the disruption');
    context.store = await new Store().start('127.0.0.1');
    const { address } = context.store;
    context.links = [];
    for (let index = 0; hasLinks && index < count; index += 1) {
      const link = await new StoreLink(address).start();
      context.links.push(link);
      stops.push(() => {
        link.stop();
      });
    }
    context.routers = await createRouters(count, {
      store: index => context.links[index]?.address ?? address,
      folder,
      record,
      bootstrap,
    });
    const violations = await play(context);
    violations.forEach(text => {
      record(`BROKEN: ${text}`);
      console.log(`BROKEN: ${text}`);
    });
    if (violations.length === 0) {
      record('the rule held');
      console.log('the rule held');
    }
    await finish(violations.length > 0 ? EXIT_BROKEN : EXIT_HELD);
  } catch (error) {
    record(`the case could not run: ${error?.stack ?? String(error)}`);
    console.log(`the case could not run: ${error?.stack ?? String(error)}`);
    await finish(EXIT_NOT_RUN);
  }
}

/** Starts all routers and waits until they are ready and connected to each other. */
export async function startRouters({ routers, record }) {
  routers.forEach(router => {
    router.start();
  });
  for (const router of routers) {
    if (!(await router.waitUntilReady())) {
      throw new Error(`router ${router.name} did not become ready`);
    }
    record(`router ${router.name}: ready`);
  }
  await pause(2500);
}
