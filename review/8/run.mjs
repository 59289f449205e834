/**
 * Rule LOST: a machine closes kept channels without an answer, though it has passed their requests
 * on to sound servers. One process of two is killed; the other one gets its clients, whose requests
 * have bodies within the manifest's limit, and uses more memory than the platform allows.
 */
import { Buffer } from 'node:buffer';
import http from 'node:http';
import { dirname } from 'node:path';
import { clearInterval, setInterval } from 'node:timers';
import { fileURLToPath } from 'node:url';

import {
  EXIT,
  HAS_TROUBLE,
  MEMORY_MB,
  pause,
  runCase,
  Server,
} from '../lib-2/world.mjs';

const CLIENTS = 44;
/** `maxBodyBytes` of the manifest. */
const BODY_BYTES = 4_194_304;
/** Time between the starts of clients; one body takes 70 ms at 490 Mbit/s. */
const START_PERIOD_MS = 150;
const MEMORY_PERIOD_MS = 50;
const CALM_MS = 14_000;
const AFTER_KILL_MS = 14_000;
const RESTART_MS = 3000;
const CLIENT_RETRY_MS = 300;
/** A client abandons a stream after a gap of eight times its longest pause, 600 ms. */
const FIRST_EVENT_MS = 4000;
const EVENTS = 10;
const EVENT_MS = 500;
const MAX_LOST = 3;

/** Sends a request; resolves with what the client got of its answer. */
function send(agent, router, { id, path, body }) {
  return new Promise(resolve => {
    const request = http.request({
      agent,
      host: router.host,
      port: router.front,
      method: 'POST',
      path,
      headers: {
        Host: 'h.example',
        'Sesamegrade-Request-Id': id,
        'Sesamegrade-Deadline-Ms': '15000',
        'Content-Length': body.length,
      },
    });
    request.on('response', response => {
      response.resume();
      response.on('close', () => {
        const { statusCode, complete } = response;
        resolve(complete ? `status ${statusCode}` : 'an incomplete answer');
      });
    });
    request.on('error', () => resolve('no answer'));
    request.end(body);
  });
}

await runCase(
  dirname(fileURLToPath(import.meta.url)),
  async (world, record) => {
    const route = {
      host: 'h.example',
      priority: 0,
      service: 's',
      maxAttempts: 1,
      anonymous: true,
    };
    world.writeManifest({
      routes: [
        {
          ...route,
          name: 'r-1',
          prefix: '/stream/',
          kind: 'streaming',
          timeoutMs: 15_000,
          goalMs: 1000,
          resumable: false,
          gapTargetMs: 600,
        },
        {
          ...route,
          name: 'r-2',
          prefix: '/whole/',
          kind: 'idempotent',
          timeoutMs: 1000,
          goalMs: 200,
        },
      ],
      services: [
        {
          name: 's',
          healthPath: '/health',
          maxConns: 832,
          protocol: 'h1',
          tls: false,
        },
      ],
    });
    const running = new Set();
    for (const id of ['i-1', 'i-2', 'i-3']) {
      const server = new Server(world, {
        id,
        service: 's',
        slots: 64,
        events: EVENTS,
        eventMs: EVENT_MS,
        firstEventMs: FIRST_EVENT_MS,
      });
      server.onReport(({ kind, request }) => {
        if (kind === 'runs') {
          running.add(request);
        }
      });
      await server.start();
    }
    const routers = await world.routers(2);
    routers.forEach(router => router.start());
    for (const router of routers) {
      if (!(await router.waitUntilReady())) {
        return EXIT.notRun;
      }
    }

    /** The platform ends a process that exceeds its memory. */
    const overLimit = new Set();
    const peaks = new Map();
    const watch = setInterval(() => {
      for (const router of routers.filter(({ isRunning }) => isRunning)) {
        const { memory, name } = router;
        peaks.set(name, Math.max(peaks.get(name) ?? 0, Math.round(memory)));
        if (memory > MEMORY_MB && !overLimit.has(router)) {
          record.write(`${name} has ${Math.round(memory)} MB of ${MEMORY_MB}`);
          overLimit.add(router);
          router.kill('SIGKILL');
        }
      }
    }, MEMORY_PERIOD_MS);

    const [killed, survivor] = routers;
    const body = Buffer.alloc(BODY_BYTES, 'x');
    const lost = [];
    let isOver = false;
    let count = 0;
    const client = async first => {
      let router = first;
      let agent;
      while (!isOver) {
        if (!router.isRunning) {
          // The balancer sends new channels to a machine that is ready.
          router = routers.find(({ isRunning }) => isRunning) ?? router;
          agent = undefined;
        }
        if (!agent) {
          agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
          const lookup = { path: '/whole/x', body: Buffer.from('x') };
          count += 1;
          await send(agent, router, { ...lookup, id: `small-${count}` });
        }
        count += 1;
        const id = `large-${count}`;
        record.write(`${id} is sent to ${router.name}`);
        const result = await send(agent, router, {
          id,
          path: '/stream/x',
          body,
        });
        record.write(`${id} of ${router.name} got ${result}`);
        const isLost = router === survivor && result === 'no answer';
        if (!isOver && isLost && running.has(id)) {
          lost.push(id);
        }
        if (!result.startsWith('status 200')) {
          agent.destroy();
          agent = undefined;
          await pause(CLIENT_RETRY_MS);
        }
      }
      agent?.destroy();
    };
    for (let at = 0; at < CLIENTS; at += 1) {
      client(routers[at % 2]);
      await pause(START_PERIOD_MS);
    }
    await pause(CALM_MS);
    record.write('memory at most, in MB:', Object.fromEntries(peaks));
    if (HAS_TROUBLE) {
      killed.kill('SIGKILL');
      await pause(RESTART_MS);
      killed.start();
    }
    await pause(AFTER_KILL_MS);
    isOver = true;
    clearInterval(watch);
    record.write('memory at most, in MB:', Object.fromEntries(peaks));
    record.write(
      `requests that a server ran and whose kept channel at ${survivor.name} ended without an answer: ${lost.length}`,
    );
    return lost.length > MAX_LOST ? EXIT.broken : EXIT.held;
  },
);
