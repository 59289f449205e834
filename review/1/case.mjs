/** A router that starts while the manifest changes, with packets lost on its link to the store. */
import { answerHead, Server } from '../lib/server.mjs';
import { send } from '../lib/client.mjs';
import {
  hasTrouble,
  HOST_NAME,
  KEY,
  manifest,
  newId,
  requestHeaders,
  runCase,
  startRouters,
} from '../lib/case.mjs';
import { pause } from '../lib/router.mjs';

/** Time by which the answer of the store to one read comes late. */
const DELAY_MS = 600;
/** Time from the store's answer to that read to the next manifest. */
const CHANGE_AFTER_MS = 150;
/**
 * The router that is restarted, front-2. By the hash of their names front-4 and front-1 are the relays, and
 * front-4 reads the store for all.
 */
const ROUTER = 1;
/**
 * Requests are judged from then on after the acknowledgement: `configApplyMs` + `stretchMaxMs`, by when
 * `revokeMs` is over and the router is in touch, its start and late answer being over for `contactMs`.
 */
const JUDGED_FROM_MS = 7000;
const WATCH_MS = 15_000;
const REVOKED_KEY = 'key-that-is-taken-away';

await runCase(
  import.meta.url,
  { routers: 4, hasLinks: true },
  async context => {
    const { store, routers, links, record, onStop } = context;
    for (const [index, id] of ['a-1', 'a-2', 'a-3'].entries()) {
      const server = new Server({
        id,
        service: 'registro',
        zone: `zone-${'abc'[index]}`,
        slots: 6,
        record,
        answer: (_request, socket, run) => {
          socket.write(`${answerHead(run, ['Content-Length: 2'])}ok`);
        },
      });
      await server.start('127.0.0.1');
      onStop(() => {
        server.stop();
      });
      store.write('servers', id, server.entry());
    }
    const before = manifest({ version: 4 });
    before.tenants.push({ name: 'team-two', apiKeys: [REVOKED_KEY] });
    const after = manifest({ version: 7 });
    after.routes.push({ ...after.routes[1], name: 'added', prefix: '/added/' });
    store.write('op', 'config', before);
    await startRouters(context);

    const router = routers[ROUTER];
    const changed = new Promise(resolve => {
      links[ROUTER].holdAnswer(
        '/rows-get?table=op',
        hasTrouble ? DELAY_MS : 0,
        () => {
          record(
            `store: has answered the first read of the manifest by ${router.name}`,
          );
          setTimeout(() => {
            store.write('op', 'config', after);
            record('store: version 7 of the manifest is acknowledged');
            resolve(Date.now());
          }, CHANGE_AFTER_MS);
        },
      );
    });
    router.signal('SIGTERM');
    const changedAt = await changed;
    await pause(JUDGED_FROM_MS);

    const violations = [];
    while (Date.now() < changedAt + WATCH_MS) {
      const revoked = await ask(router, '/write/x', REVOKED_KEY);
      const added = await ask(router, '/added/x', KEY);
      record(
        `client at ${router.name}, ${Date.now() - changedAt} ms after version 7: with the key that version 7 takes away ${revoked}, on the route that it adds ${added}`,
      );
      if (revoked === 200) {
        violations.push(
          'a request ran with a key that the manifest has dropped',
        );
      }
      if (added === 404) {
        violations.push(
          'a request on a route of the manifest was answered 404',
        );
      }
      await pause(500);
    }
    return violations;
  },
);

async function ask(router, target, key) {
  const headers = {
    ...requestHeaders(newId(), 3000),
    Authorization: `Bearer ${key}`,
  };
  const { status } = await send(
    router.front,
    { target, hostName: HOST_NAME, headers },
    { limitMs: 4000 },
  );
  return status;
}
