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
      });
      server.onReport(report => {
        if (report.kind === 'runs' && report.request.startsWith('again')) {
          runs.push(record.now);
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

    const send = (router, id, part, body) =>
      new Promise(resolve => {
        const request = http.request({
          host: router.host,
          port: router.front,
          method: 'POST',
          path: '/stream/x',
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
      sent.push(send(router, `sound-${number}`, `aa${number}`, 'sound'));
      if (number % REPEAT_EVERY === 0) {
        const other = routers[(number / REPEAT_EVERY) % ROUTERS];
        const body = HAS_TROUBLE ? 'fatal' : 'again';
        sent.push(send(other, `again-${number}`, 'bb', body));
      }
      await pause(PERIOD_MS);
    }
    await Promise.all(sent);
    isOver = true;

    const third = crashes[2];
    const late = runs.filter(at => at > third + CONTACT_MS).length;
    record.write(
      `crashes: ${crashes.length}, the third at ${Math.round(third ?? -1)} ms;`,
      `runs of the request: ${runs.length}, ${late} of them later than ${CONTACT_MS} ms after it`,
    );
    return late > MAX_LATE_RETRIES ? EXIT.broken : EXIT.held;
  },
);
