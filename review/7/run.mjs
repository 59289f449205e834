/**
 * Rule BUDGET: a request that crashes the servers that run it reaches servers in at most three
 * retries, sent later than `contactMs` after it has crashed the third. Here it crashes them after
 * the third event of its stream.
 */
import http from 'node:http';
import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';

import { EXIT, HAS_TROUBLE, pause, runCase, Server } from '../lib-2/world.mjs';

const ROUTERS = 2;
const SERVERS = 6;
const RUN_MS = 40_000;
/** Time between two requests of all clients. */
const PERIOD_MS = 250;
/** Every tenth request is the one that comes again. */
const REPEAT_EVERY = 10;
const CRASH_AFTER_EVENTS = 3;
const SERVER_BACK_MS = 3000;
const CONTACT_MS = 3000;
const MAX_LATE_RETRIES = 3;
/** Time for which the servers work on sound requests that may run once at most. */
const ONCE_MS = 400;

await runCase(
  dirname(fileURLToPath(import.meta.url)),
  async (world, record) => {
    world.writeManifest({
      routes: [
        {
          name: 'r-1',
          host: 'h.example',
          prefix: '/stream/',
          kind: 'streaming',
          timeoutMs: 15_000,
          goalMs: 1000,
          priority: 0,
          service: 's',
          maxAttempts: 2,
          anonymous: true,
          sticky: true,
          resumable: true,
          gapTargetMs: 600,
        },
        {
          name: 'r-2',
          host: 'h.example',
          prefix: '/once/',
          kind: 'non_idempotent',
          timeoutMs: 1000,
          goalMs: 500,
          priority: 0,
          service: 's',
          maxAttempts: 1,
          anonymous: true,
        },
      ],
      services: [
        {
          name: 's',
          healthPath: '/health',
          maxConns: 832,
          protocol: 'h1',
          tls: false,
          engine: {
            slots: 64,
            kvCapacity: 545_002,
            kvTokenBytes: 18_432,
            linkMbps: 180_000,
            moves: true,
            backups: true,
            stride: 5,
            most: 2,
            pinMs: 4000,
            holdMs: 2000,
            handleS: 5,
            models: [{ name: 'm' }],
          },
        },
      ],
    });

    const crashes = [];
    const runs = [];
    /** Requests that may run once at most: those that ran, and when one that ran was not answered well. */
    const onceRun = new Set();
    const onceLost = [];
    let isOver = false;
    const launch = async server => {
      await server.start();
      server.onEnd(async () => {
        if (isOver) {
          return;
        }
        crashes.push(record.now);
        await pause(SERVER_BACK_MS);
        if (!isOver) {
          await launch(server);
        }
      });
    };
    for (let number = 1; number <= SERVERS; number += 1) {
      const server = new Server(world, {
        id: `i-${number}`,
        service: 's',
        slots: 64,
        crashAfter: CRASH_AFTER_EVENTS,
        workMs: ONCE_MS,
      });
      server.onReport(report => {
        const { kind, request } = report;
        if (kind === 'runs' && request.startsWith('again')) {
          runs.push(record.now);
        } else if (kind === 'runs' && request.startsWith('once')) {
          onceRun.add(request);
        }
      });
      await launch(server);
    }
    const routers = await world.routers(ROUTERS);
    routers.forEach(router => router.start());
    for (const router of routers) {
      if (!(await router.waitUntilReady())) {
        return EXIT.notRun;
      }
    }
    await pause(CONTACT_MS);

    const send = (router, path, id, part, body) =>
      new Promise(resolve => {
        const request = http.request({
          host: router.host,
          port: router.front,
          method: 'POST',
          path,
          agent: false,
          headers: {
            Host: 'h.example',
            'Sesamegrade-Request-Id': id,
            'Sesamegrade-Model': 'm',
            'Sesamegrade-Token-Usage': '800,200',
            'Sesamegrade-Prompt-Prefix': `${part}:800`,
            'Sesamegrade-Deadline-Ms': '15000',
          },
        });
        request.on('response', response => {
          let text = '';
          response.on('data', bytes => {
            text += bytes;
          });
          response.on('close', () => {
            const { statusCode: status, complete } = response;
            const events = text.split('\n\n').length - 1;
            record.write(`${id} is answered:`, { status, complete, events });
            if (onceRun.has(id) && status !== 200) {
              onceLost.push(record.now);
            }
            resolve();
          });
        });
        request.on('error', error => {
          record.write(`${id} is not answered:`, String(error.code));
          resolve();
        });
        record.write(`${id} is sent to ${router.name}`);
        request.end(body);
      });

    const begin = record.now;
    const sent = [];
    for (let number = 1; record.now - begin < RUN_MS; number += 1) {
      const router = routers[number % ROUTERS];
      sent.push(
        send(router, '/stream/x', `sound-${number}`, `aa${number}`, 'sound'),
        send(router, '/once/x', `once-${number}`, 'cc', 'sound'),
      );
      if (number % REPEAT_EVERY === 0) {
        const other = routers[(number / REPEAT_EVERY) % ROUTERS];
        const body = HAS_TROUBLE ? 'fatal' : 'again';
        sent.push(send(other, '/stream/x', `again-${number}`, 'bb', body));
      }
      await pause(PERIOD_MS);
    }
    await Promise.all(sent);
    isOver = true;

    const third = crashes[2];
    const isLate = at => at > third + CONTACT_MS;
    const late = runs.filter(isLate).length;
    record.write(
      `crashes: ${crashes.length}, the third at ${Math.round(third ?? -1)} ms;`,
      `runs of the request: ${runs.length}, ${late} of them later than ${CONTACT_MS} ms after it`,
    );
    record.write(
      `other requests that may run once, ran, and were not answered well later than that: ${onceLost.filter(isLate).length}`,
    );
    return late > MAX_LATE_RETRIES ? EXIT.broken : EXIT.held;
  },
);
