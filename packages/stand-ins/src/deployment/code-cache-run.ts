/**
 * Runs the built program on stand-ins of the platform until the code of usual
 * requests, faults and peers has been compiled, and lets it write V8's code cache.
 * A router that starts with that cache serves its first requests without
 * compiling.
 */
import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as pause } from 'node:timers/promises';

import { Agent, request } from 'undici';

import {
  manifest,
  serverEntry,
  TEST_HOST,
  TEST_KEY,
} from './deployment-documents';
import { RouterProcess } from './router-process';
import { RowStoreServer } from './row-store-server';
import {
  chunk,
  completeResponse,
  event,
  LAST_CHUNK,
  notExecutedResponse,
  ScriptedServer,
  streamHead,
} from './scripted-server';
import type { Script } from './scripted-server';

/** Time in which the routers start and connect to each other. */
const START_MS = 1500;
const ROUNDS = 40;
const ROUND_INTERVAL_MS = 50;
/** Round after which the store fails for a while, endpoints leave and the configuration changes. */
const CHANGE_ROUND = 15;
const STORE_FAULT_MS = 600;

const PLAIN_PATHS = ['/lookup/1', '/order/1', '/nowhere/1'];
const STREAM_PATHS = ['/draft/1', '/summary/1'];
const LOAD_HEADER = 'Sesamegrade-Server-Load: 1,0,8';

/** Responds in the way that the request's number and path ask for. */
const endpoint: Script = (received, socket) => {
  const number = Number(
    received.headers.get('sesamegrade-request-id')?.split('-')[1] ?? 0,
  );
  if (received.target === '/kv-list') {
    const held = [['', 'abc1', 100, 'm']];
    const body = JSON.stringify({ epoch: 1, next: 1, held });
    socket.write(completeResponse(received, body));
  } else if (STREAM_PATHS.includes(received.target)) {
    socket.write(streamHead(received, [LOAD_HEADER]));
    const first = Number(received.headers.get('last-event-id') ?? 0) + 1;
    socket.write(chunk(event(first)));
    if (number % 9 === 4 && first === 1) {
      socket.destroy();
      return;
    }
    socket.write(chunk(event(first + 1)) + LAST_CHUNK);
  } else if (number % 11 === 5) {
    socket.write(notExecutedResponse(received, 503, ['Retry-After: 0.2']));
  } else if (number % 13 === 6) {
    socket.write(completeResponse(received, 'failed', 500));
  } else {
    socket.write(completeResponse(received, 'whole', 200, [LOAD_HEADER]));
  }
};

export class CodeCacheRun {
  readonly #flags: readonly string[];
  readonly #folder = mkdtempSync(join(tmpdir(), 'code-cache-'));
  readonly #store = new RowStoreServer();
  readonly #servers: ScriptedServer[] = [];
  readonly #routers: RouterProcess[] = [];
  readonly #agent = new Agent({ pipelining: 1 });
  #requestCount = 0;

  /** The flags must be those with which the cache is used. */
  constructor(flags: readonly string[]) {
    this.#flags = flags;
  }

  async run(): Promise<void> {
    await this.#open();
    await pause(START_MS);
    for (let round = 0; round < ROUNDS; round += 1) {
      if (round === CHANGE_ROUND) {
        this.#changeState();
      }
      await this.#sendRound();
      await pause(ROUND_INTERVAL_MS);
    }
    // The second relay runs the code of relays and of other routers.
    const writer = this.#routers[1];
    writer?.sendSignal('SIGUSR2');
    await writer?.waitForExit();
    await this.#close();
  }

  async #open(): Promise<void> {
    await this.#store.start();
    this.#store.write('op', 'config', manifest(1));
    for (const service of ['registry', 'registry', 'registry', 'drafting']) {
      const server = await new ScriptedServer(endpoint).start();
      this.#servers.push(server);
      this.#writeServer(this.#servers.length - 1, { service });
    }
    for (const [at, cpuShare] of [3, 2, 1].entries()) {
      const router = new RouterProcess({
        name: `r${at}`,
        folder: this.#folder,
        store: this.#store.address,
        seeds: () => this.#routers.map(({ peerAddress }) => peerAddress),
        flags: this.#flags,
        programArguments: at === 1 ? ['--write-cache'] : [],
        cpuShare,
      });
      await router.open();
      this.#routers.push(router);
    }
  }

  #writeServer(at: number, fields: Readonly<Record<string, unknown>>): void {
    const address = this.#servers[at]?.address ?? '';
    this.#store.write(
      'servers',
      `s-${at}`,
      serverEntry(address, { born: 1, ...fields }),
    );
  }

  /** Makes the routers run the code of changes and of an outage of the store. */
  #changeState(): void {
    this.#store.write('op', 'config', manifest(2));
    this.#writeServer(0, { state: 'draining' });
    this.#store.remove('servers', 's-1');
    setTimeout(() => {
      this.#store.fault = 'busy';
      this.#store.dropFeedConnections();
    }, STORE_FAULT_MS / 2);
    setTimeout(() => {
      this.#store.fault = 'none';
    }, STORE_FAULT_MS * 1.5);
  }

  async #sendRound(): Promise<void> {
    const calls = this.#routers.flatMap(router =>
      [...PLAIN_PATHS, ...STREAM_PATHS].map(path => this.#send(router, path)),
    );
    await Promise.all(calls);
  }

  async #send(router: RouterProcess, path: string): Promise<void> {
    this.#requestCount += 1;
    const prompt = STREAM_PATHS.includes(path)
      ? {
          'sesamegrade-model': 'm',
          'sesamegrade-token-usage': '300,20',
          'sesamegrade-prompt-prefix': `abc1:100,d${this.#requestCount}:200`,
        }
      : {};
    try {
      const { body } = await request(`http://${router.callerAddress}${path}`, {
        dispatcher: this.#agent,
        method: 'POST',
        headers: {
          host: TEST_HOST,
          authorization: `Bearer ${TEST_KEY}`,
          'sesamegrade-request-id': `c-${this.#requestCount}`,
          'sesamegrade-deadline-ms': '1500',
          ...prompt,
        },
        body: 'body',
      });
      await body.dump();
    } catch {
      // A request may fail: the faults are part of the run.
    }
  }

  async #close(): Promise<void> {
    await Promise.all(this.#routers.map(router => router.close()));
    await Promise.all(this.#servers.map(server => server.stop()));
    await this.#store.stop();
    await this.#agent.destroy();
    rmSync(this.#folder, { recursive: true });
  }
}
