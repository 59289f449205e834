/** An entry of another writer, whose address is no IP:PORT, and a router that starts. */
import { answerHead, Server } from '../lib/server.mjs';
import { eventIds, send } from '../lib/client.mjs';
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

const WATCH_MS = 20_000;
/** An end within a second of a disturbance, here the start of the process, is excused. */
const EXCUSED_MS = 1000;
/** Ends of processes by themselves on one machine that count as a fault. */
const MAX_OWN_ENDS = 2;
const FAULTY_MACHINES = 2;

await runCase(
  import.meta.url,
  { routers: 3, bootstrap: false },
  async context => {
    const { store, routers, record, onStop } = context;
    for (const id of ['i-1', 'i-2', 'i-3']) {
      const server = new Server({
        id,
        service: 'redactor',
        zone: 'zone-a',
        record,
        answer: (request, socket, run) => {
          const body = 'id: 1\ndata: piece 1\n\n';
          socket.write(
            answerHead(run, [
              'Content-Type: text/event-stream',
              `Content-Length: ${body.length}`,
            ]) + body,
          );
        },
      });
      await server.start('127.0.0.1');
      onStop(() => {
        server.stop();
      });
      store.write('servers', id, server.entry());
    }
    store.write('op', 'config', manifest());
    if (hasTrouble) {
      // The entry of another writer: its address is a URL.
      store.write('servers', 'i-other', {
        id: 'i-other',
        service: 'redactor',
        address: 'http://127.0.0.1:8080',
        zone: 'zone-a',
        version: '1',
        slots: 64,
        state: 'ready',
        warmupMs: 0,
        seq: 1,
        born: Date.now(),
      });
      record(
        'store: the entry servers/i-other has the address http://127.0.0.1:8080',
      );
    }
    await startRouters(context);
    const endsAt = Date.now() + WATCH_MS;
    while (Date.now() < endsAt) {
      for (const router of routers) {
        const id = newId();
        const answer = await send(
          router.front,
          {
            target: '/stream/x',
            hostName: HOST_NAME,
            headers: requestHeaders(id, 3000),
          },
          { limitMs: 4000 },
        );
        record(
          `client: ${id} at ${router.name}: ${answer.status ?? 'no answer'}, ${eventIds(answer.body).length} events, ${answer.end}`,
        );
      }
      await pause(500);
    }
    const counts = routers.map(({ name, ownEnds }) => {
      const counted = ownEnds.filter(({ afterMs }) => afterMs > EXCUSED_MS);
      record(
        `router ${name}: ended by itself ${ownEnds.length} times, ${counted.length} of them over 1 s after its start`,
      );
      return counted.length;
    });
    const faulty = counts.filter(count => count > MAX_OWN_ENDS);
    return faulty.length >= FAULTY_MACHINES
      ? [
          `on ${faulty.length} of ${routers.length} machines the process ended by itself three times or more`,
        ]
      : [];
  },
);
