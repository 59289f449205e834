/**
 * Program of a model server in a process of its own. Its argument is JSON with id, service, zone, version, backlog,
 * `events` (how many a stream has), `periodMs` (between events), `pauseAfter` and `pauseMs` (a pause, as of a
 * request that is preempted). A request whose target ends in `unframed` is answered without a length.
 */
import { setTimeout as startTimer } from 'node:timers';

import { answerHead, chunk, event, LAST_CHUNK, Server } from './server.mjs';

const options = JSON.parse(process.argv[2]);
const { events, periodMs, pauseAfter, pauseMs, backlog } = options;

const server = new Server({
  ...options,
  record: text => process.send({ record: text }),
  answer: (request, socket, run) => {
    run.sent = Number(request.headers.get('last-event-id') ?? 0);
    const isUnframed = request.target.endsWith('unframed');
    socket.write(
      answerHead(run, [
        'Content-Type: text/event-stream',
        isUnframed ? 'Connection: close' : 'Transfer-Encoding: chunked',
      ]),
    );
    let hasClosed = false;
    socket.once('close', () => {
      hasClosed = true;
    });
    const next = () => {
      if (hasClosed) {
        process.send({
          record: `server ${options.id}: ${run.id}: the channel closed after ${run.sent} events`,
        });
        return;
      }
      run.sent += 1;
      const text = event(run.sent, options.version);
      socket.write(isUnframed ? text : chunk(text));
      if (run.sent < events) {
        startTimer(next, run.sent === pauseAfter ? pauseMs : periodMs);
        return;
      }
      process.send({ record: `server ${options.id}: ${run.id}: all sent` });
      if (isUnframed) {
        socket.end();
      } else {
        socket.write(LAST_CHUNK);
      }
    };
    startTimer(next, periodMs);
  },
});
await server.start('127.0.0.1', backlog);
process.send({ entry: server.entry() });
process.once('disconnect', () => process.exit(0));
