/**
 * Rule LOST: of 12 or more streams that clients take up again at machines in touch, while two servers
 * of their software version serve, the share that goes on is under half of the share of new streams
 * that begin. The streams began in an outage of the store soon after a release, and all routers were
 * killed in it.
 */
import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';

import { EXIT, HAS_TROUBLE, pause, runCase, Server } from '../lib-2/world.mjs';
import { stream } from '../lib-2/stream.mjs';

const ROUTERS = 3;
const STREAMS = 24;
const EVENTS = 100;
const EVENT_MS = 125;
const DRAIN_MS = 2000;
const CONTACT_MS = 3000;
/** Time between a release and what follows it. */
const RELEASE_MS = 10_000;
const OUTAGE_MS = 4500;
const BEGIN_AFTER_MS = 500;
const KILL_AFTER_MS = 2500;
const DOWN_MS = 1500;
const DEADLINE_MS = 15_000;

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
          timeoutMs: DEADLINE_MS,
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
        },
      ],
    });
    let count = 0;
    const start = async version => {
      count += 1;
      const server = new Server(world, {
        id: `i-${count}`,
        service: 's',
        version,
        events: EVENTS,
        eventMs: EVENT_MS,
      });
      await server.start();
      return server;
    };
    const first = [];
    for (let at = 0; at < 4; at += 1) {
      first.push(await start('v1'));
    }
    const routers = await world.routers(ROUTERS);
    routers.forEach(router => router.start());
    for (const router of routers) {
      if (!(await router.waitUntilReady())) {
        return EXIT.notRun;
      }
    }
    await pause(CONTACT_MS);

    // Two releases, each of which replaces half of the servers.
    for (const leaving of [first.slice(0, 2), first.slice(2)]) {
      for (const server of leaving) {
        await start('v2');
        server.leave(DRAIN_MS);
        await pause(1000);
      }
      await pause(RELEASE_MS - 2000);
    }

    if (HAS_TROUBLE) {
      record.write('the store falls silent');
      world.store.isSilent = true;
    }
    const silentAt = record.now;
    await pause(BEGIN_AFTER_MS);
    const begun = [];
    for (let at = 0; at < STREAMS; at += 1) {
      const router = routers[at % ROUTERS];
      const id = `first-${at}`;
      const state = { id, sentAt: record.now, events: 0 };
      begun.push(state);
      record.write(`${id} is sent to ${router.name}`);
      state.end = stream(
        router,
        id,
        { 'Sesamegrade-Deadline-Ms': String(DEADLINE_MS) },
        events => {
          state.events = events;
        },
      );
      await pause(50);
    }
    await pause(Math.max(0, silentAt + KILL_AFTER_MS - record.now));
    // Without the disturbance the clients lose the same channels, by a kill of the routers alone.
    routers.forEach(router => router.kill('SIGKILL'));
    await Promise.all(begun.map(({ end }) => end));
    await pause(DOWN_MS);
    routers.forEach(router => router.start());
    await pause(Math.max(0, silentAt + OUTAGE_MS - record.now));
    if (HAS_TROUBLE) {
      world.store.isSilent = false;
      record.write('the store answers again');
    }
    for (const router of routers) {
      if (!(await router.waitUntilReady())) {
        return EXIT.notRun;
      }
    }
    await pause(CONTACT_MS + 200);

    // From here on all routers are in touch.
    const resumed = begun.filter(({ events }) => events > 0);
    const goOn = await Promise.all(
      resumed.map(async ({ id, sentAt, events }, at) => {
        const router = routers[(at + 1) % ROUTERS];
        const left = Math.round(DEADLINE_MS - (record.now - sentAt));
        const again = `again-${at}`;
        record.write(`${again} takes ${id} up at ${router.name} after`, events);
        const end = await stream(router, again, {
          'Sesamegrade-Deadline-Ms': String(left),
          'Last-Event-Id': String(events),
          Resumes: id,
        });
        record.write(`${again} ends:`, end);
        return end.status === 200 && end.events > 0;
      }),
    );
    const begins = await Promise.all(
      resumed.map(async (_state, at) => {
        const router = routers[at % ROUTERS];
        const end = await stream(router, `new-${at}`, {
          'Sesamegrade-Deadline-Ms': String(DEADLINE_MS),
        });
        record.write(`new-${at} ends:`, end);
        return end.status === 200 && end.events > 0;
      }),
    );
    const shareOf = results =>
      results.filter(Boolean).length / Math.max(1, results.length);
    record.write(
      `${resumed.length} streams are taken up, share that goes on: ${shareOf(goOn)};`,
      `share of new streams that begin: ${shareOf(begins)}`,
    );
    if (resumed.length < 12) {
      return EXIT.notRun;
    }
    return shareOf(goOn) < shareOf(begins) / 2 ? EXIT.broken : EXIT.held;
  },
);
