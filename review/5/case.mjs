/** A server crashes while servers of two versions of their software serve side by side. */
import { send } from '../lib/client.mjs';
import {
  hasTrouble,
  HOST_NAME,
  manifest,
  newId,
  requestHeaders,
  runCase,
  startRouters,
} from '../lib/case.mjs';
import { pause } from '../lib/router.mjs';
import { ServerProcess } from '../lib/server-process.mjs';

const EVENTS = 15;
const STREAMS = 60;
/** Servers by the version of their software, in the middle of a release. */
const VERSIONS = ['v1.1', 'v1.1', 'v1', 'v1', 'v1', 'v1'];
/** Streams with events of two versions that the rule allows. */
const MAX_MIXED = 2;

await runCase(import.meta.url, { routers: 3 }, async context => {
  const { store, routers, record, onStop } = context;
  const servers = [];
  for (const [index, version] of VERSIONS.entries()) {
    const id = `i-${index + 1}`;
    const server = new ServerProcess(
      {
        id,
        service: 'redactor',
        zone: `zone-${'abc'[index % 3]}`,
        version,
        backlog: 511,
        events: EVENTS,
        periodMs: 200,
      },
      record,
    );
    await server.start();
    onStop(() => {
      server.stop();
    });
    store.write('servers', id, server.entry);
    servers.push(server);
  }
  const document = manifest();
  const streams = document.routes.find(({ name }) => name === 'stream');
  streams.resumable = true;
  store.write('op', 'config', document);
  await startRouters(context);

  const pending = [];
  for (let number = 0; number < STREAMS; number += 1) {
    const id = newId();
    const router = routers[number % routers.length];
    pending.push(
      send(router.front, {
        target: '/stream/chunks',
        hostName: HOST_NAME,
        headers: requestHeaders(id),
      }).then(answer => ({ id, ...answer })),
    );
    await pause(5);
  }
  await pause(1200);
  if (hasTrouble) {
    record('server i-1: crashes');
    servers[0].signal('SIGKILL');
  }
  const mixed = [];
  for (const { id, status, body, end } of await Promise.all(pending)) {
    const origins = [...String(body).matchAll(/^data: piece \d+ by (\S+)$/gmu)];
    const versions = [...new Set(origins.map(([, version]) => version))];
    record(
      `client: ${id}: ${status ?? 'no answer'}, ${origins.length} of ${EVENTS} events, of ${versions.join(' and then ')}, channel ${end}`,
    );
    if (status === 200 && versions.length > 1) {
      mixed.push(id);
    }
  }
  return mixed.length > MAX_MIXED
    ? [
        `${mixed.length} streams hold events of two versions of the servers' software`,
      ]
    : [];
});
