/** Small helpers for trials on loopback. */
import { once } from 'node:events';
import { createServer } from 'node:net';
import type { AddressInfo } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';

import { request } from 'undici';

const READY_POLL_MS = 100;
const READY_LIMIT_MS = 20_000;

/** Returns a port that was free a moment ago. */
export async function freePort(): Promise<number> {
  const server = createServer();
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const { port } = server.address() as AddressInfo;
  server.close();
  await once(server, 'close');
  return port;
}

/** Posts JSON; fails unless the answer is 200. */
export async function postJson(url: string, value: object): Promise<void> {
  const answer = await request(url, {
    method: 'POST',
    body: JSON.stringify(value),
  });
  const text = await answer.body.text();
  if (answer.statusCode !== 200) {
    throw new Error(`${url} answered ${answer.statusCode}: ${text}`);
  }
}

/** Resolves when `GET /readyz` answers 200. */
export async function waitUntilReady(url: string): Promise<void> {
  const limit = performance.now() + READY_LIMIT_MS;
  while (performance.now() < limit) {
    const answer = await request(`${url}/readyz`);
    await answer.body.dump();
    if (answer.statusCode === 200) {
      return;
    }
    await sleep(READY_POLL_MS);
  }
  throw new Error(`the router at ${url} does not become ready`);
}
