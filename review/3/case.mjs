/** Streams without a length at the moment at which the process of their router is killed. */
import { setInterval, clearInterval } from 'node:timers';

import {
  answerHead,
  chunk,
  event,
  LAST_CHUNK,
  Server,
} from '../lib/server.mjs';
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

const EVENTS = 20;
const EVENT_PERIOD_MS = 200;
const STREAMS = 80;
/** One answer in so many has no length and ends with its channel: 0.05 in the site files. */
const UNFRAMED_EACH = 20;

await runCase(import.meta.url, { routers: 3 }, async context => {
  const { store, routers, record, onStop } = context;
  let started = 0;
  for (const [index, id] of ['i-1', 'i-2', 'i-3'].entries()) {
    const server = new Server({
      id,
      service: 'redactor',
      zone: `zone-${'abc'[index]}`,
      record,
      answer: (_request, socket, run) => {
        started += 1;
        run.isUnframed = started % UNFRAMED_EACH === 0;
        sendEvents(socket, run);
      },
    });
    await server.start('127.0.0.1');
    onStop(() => {
      server.stop();
    });
    store.write('servers', id, server.entry());
  }
  store.write('op', 'config', manifest());
  await startRouters(context);

  const [router] = routers;
  const pending = [];
  for (let number = 0; number < STREAMS; number += 1) {
    const id = newId();
    pending.push(
      send(router.front, {
        target: '/stream/x',
        hostName: HOST_NAME,
        headers: requestHeaders(id),
      }).then(answer => ({ id, ...answer })),
    );
    await pause(5);
  }
  await pause(1500);
  if (hasTrouble) {
    router.signal('SIGKILL');
  }
  const violations = [];
  for (const answer of await Promise.all(pending)) {
    const { id, status, framing, end, looksComplete } = answer;
    const count = eventIds(answer.body).length;
    record(
      `client: ${id}: ${status ?? 'no answer'}, ${framing ?? '-'}, ${count} of ${EVENTS} events, channel ${end}, ${looksComplete ? 'looks complete' : 'is seen to be cut'}`,
    );
    if (status === 200 && looksComplete && count < EVENTS) {
      violations.push(
        `stream ${id} ends as complete after ${count} of ${EVENTS} events`,
      );
    }
  }
  return violations;
});

/** Sends a stream with a pause before each event; its end is the last chunk, or that of the channel. */
function sendEvents(socket, run) {
  socket.write(
    answerHead(run, [
      'Content-Type: text/event-stream',
      run.isUnframed ? 'Connection: close' : 'Transfer-Encoding: chunked',
    ]),
  );
  const timer = setInterval(() => {
    run.sent += 1;
    const text = event(run.sent);
    socket.write(run.isUnframed ? text : chunk(text));
    if (run.sent < EVENTS) {
      return;
    }
    clearInterval(timer);
    if (run.isUnframed) {
      socket.end();
    } else {
      socket.write(LAST_CHUNK);
    }
  }, EVENT_PERIOD_MS);
  socket.once('close', () => {
    clearInterval(timer);
  });
}
