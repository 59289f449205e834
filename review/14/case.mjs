/**
 * A request crashes each server that begins to run it, and comes again. It must not reach servers
 * again and again, also if these drop idle channels without notice.
 */
import { performance } from 'node:perf_hooks';
import { setTimeout as pause } from 'node:timers/promises';

import { Channel } from '../lib-3/channel.mjs';
import {
  BROKEN,
  HELD,
  isTroubled,
  NOT_RUN,
  runCase,
} from '../lib-3/record.mjs';
import { ROUTES, startSite } from '../lib-3/site.mjs';

const LENGTH_MS = 40_000;
/** Time between two tries of the client whose request crashes servers. */
const COMES_EVERY_MS = 2500;
/** Time from a crash to the next start of the server, and to the removal of its entry. */
const DOWN_MS = 3000;
const ENTRY_MS = 3600;
/** Time after which the servers drop an idle channel; 0 if they drop none. */
const DROP_AFTER_MS = Number(process.env.DROP_AFTER_MS ?? 700);
/** Sound writes that come at once at each router, and the time between two such groups. */
const WRITES = 6;
const WRITES_EVERY_MS = 1000;
const CONTACT_MS = 4000;
const MAX_CRASHES = 3;
const MAX_RETRIES = 3;

const write = (channel, id, script) =>
  channel.send({
    method: 'POST',
    path: id.startsWith('crashing') ? '/registra/crashing' : `/registra/${id}`,
    id,
    headers: { 'X-Script': script, 'Sesamegrade-Deadline-Ms': '1001' },
    body: 'a registration',
  });

/** Starts a server again each time that it has crashed. */
async function keepRunning(server, state) {
  server.link.dropIdleAfter(DROP_AFTER_MS > 0 ? DROP_AFTER_MS : LENGTH_MS * 2);
  for (;;) {
    await server.waitForEnd();
    if (state.isOver) {
      return;
    }
    server.link.refuse();
    const old = server.instance;
    state.record.write(`${old} has crashed`);
    await pause(DOWN_MS);
    await server.link.listen(server.address);
    await server.start();
    server.register();
    setTimeout(() => {
      state.store.remove('servers', old);
    }, ENTRY_MS - DOWN_MS);
  }
}

/** Sends groups of sound writes to a router on channels that are kept. */
async function writeOften(site, node, state) {
  const channels = [];
  for (let turn = 0; !state.isOver; turn += 1) {
    const answers = Array.from({ length: WRITES }, async (_, index) => {
      if (channels[index]?.isOpen !== true) {
        channels[index] = new Channel(site.deployment.front(node));
      }
      const id = `write-${node.name}-${turn}-${index}`;
      const answer = await write(channels[index], id, 'plain 1 60');
      state.statuses.set(id, answer?.status);
    });
    await Promise.all([...answers, pause(WRITES_EVERY_MS)]);
  }
  channels.forEach(channel => channel.close());
}

await runCase('14', async record => {
  const site = await startSite(record, {
    name: 'sellada-gw-grown',
    routes: [ROUTES.write],
    servers: [{ service: 'registro', count: 5 }],
    routers: 3,
  });
  const state = {
    record,
    store: site.store,
    isOver: false,
    statuses: new Map(),
    ran: new Set(),
  };
  const reached = [];
  for (const server of site.servers) {
    server.onLine(line => {
      const [what, id = ''] = line.split(' ');
      if (what === 'run' && id.startsWith('crashing')) {
        reached.push(performance.now());
      } else if (what === 'run') {
        state.ran.add(id);
      }
    });
  }
  for (const server of site.servers) {
    keepRunning(server, state).catch(error => record.write(`${error}`));
  }
  const writers = site.nodes.map(node => writeOften(site, node, state));
  await pause(4000);
  const end = performance.now() + LENGTH_MS;
  for (let turn = 0; performance.now() < end; turn += 1) {
    const node = site.nodes[turn % site.nodes.length];
    if (isTroubled) {
      const channel = new Channel(site.deployment.front(node));
      const answer = await write(channel, `crashing-${turn}`, 'crash');
      record.write(`crashing-${turn} at ${node.name}: ${answer?.status}`);
      channel.close();
    }
    await pause(COMES_EVERY_MS);
  }
  state.isOver = true;
  await Promise.all(writers);
  const third = reached[MAX_CRASHES - 1] ?? Infinity;
  const late = reached.filter(at => at > third + CONTACT_MS).length;
  const lost = [...state.statuses].filter(
    ([id, status]) => status !== 200 && state.ran.has(id),
  ).length;
  record.write(
    `the request reached servers ${reached.length} times, ${late} of them later than ` +
      `${CONTACT_MS} ms after the third crash (${MAX_RETRIES} may be); ` +
      `${state.statuses.size} sound writes, ${lost} ran and were not answered well`,
  );
  if (isTroubled && reached.length < MAX_CRASHES) {
    return NOT_RUN;
  }
  return late > MAX_RETRIES ? BROKEN : HELD;
});
