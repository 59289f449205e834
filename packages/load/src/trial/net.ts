/** Network helpers of process trials on loopback. */
import { once } from 'node:events';
import { createServer } from 'node:net';
import type { AddressInfo } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';

import { request } from 'undici';

const READY_POLL_MS = 100;
const READY_TIMEOUT_MS = 20_000;

/** Returns a port that was free at the time of the call; another process may take it. */
export async function freePort(): Promise<number> {
  const server = createServer();
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const { port } = server.address() as AddressInfo;
  server.close();
  await once(server, 'close');
  return port;
}

/** Posts JSON; throws unless the status is 200. */
export async function postJson(url: string, value: object): Promise<void> {
  const response = await request(url, {
    method: 'POST',
    body: JSON.stringify(value),
  });
  const text = await response.body.text();
  if (response.statusCode !== 200) {
    throw new Error(
      `POST ${url} returned status ${response.statusCode}: ${text}`,
    );
  }
}

/** Resolves when `GET /readyz` returns 200; throws after `READY_TIMEOUT_MS`. */
export async function waitUntilReady(url: string): Promise<void> {
  const deadline = performance.now() + READY_TIMEOUT_MS;
  while (performance.now() < deadline) {
    const response = await request(`${url}/readyz`);
    await response.body.dump();
    if (response.statusCode === 200) {
      return;
    }
    await sleep(READY_POLL_MS);
  }
  throw new Error(
    `the router at ${url} was not ready within ${READY_TIMEOUT_MS} ms`,
  );
}
