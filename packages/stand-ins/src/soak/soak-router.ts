/** Runs a router of the soak: the built program in its own process. */
import { spawn } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { appendFileSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';

import { freePort } from '../http/free-port';

const PROGRAM = join('target', 'router.cjs');
const SECRET = 'soak';
/** Configured time from SIGTERM to SIGKILL. */
const GRACE_S = 4;

export interface SoakRouterOptions {
  readonly name: string;
  readonly folder: string;
  readonly store: string;
  /** Peer addresses of routers that started earlier. */
  readonly seeds: () => readonly string[];
}

export class SoakRouter {
  readonly #options: SoakRouterOptions;
  #ports: readonly number[] = [];
  #process: ChildProcess | undefined;
  #restarts: Promise<void> = Promise.resolve();

  constructor(options: SoakRouterOptions) {
    this.#options = options;
  }

  get callerAddress(): string {
    return `127.0.0.1:${this.#ports[0] ?? 0}`;
  }

  get peerAddress(): string {
    return `127.0.0.1:${this.#ports[2] ?? 0}`;
  }

  async open(): Promise<void> {
    this.#ports = await Promise.all([1, 2, 3, 4].map(() => freePort()));
    this.start();
  }

  start(): void {
    const { name, folder } = this.#options;
    const file = join(folder, `${name}.ini`);
    writeFileSync(file, this.#settings());
    const child = spawn(
      process.execPath,
      [PROGRAM, '--callers', this.callerAddress],
      {
        env: {
          ...process.env,
          SESAMEGRADE_CONFIG: file,
          SESAMEGRADE_PEER_SECRET: SECRET,
        },
        stdio: ['ignore', 'pipe', 'inherit'],
      },
    );
    child.stdout.on('data', (output: Buffer) => {
      appendFileSync(join(folder, `${name}.log`), output);
    });
    this.#process = child;
  }

  sendSignal(signal: NodeJS.Signals): void {
    this.#process?.kill(signal);
  }

  /** Ends the process with a signal and starts it again, after earlier restarts have finished. */
  restart(signal: 'SIGTERM' | 'SIGKILL'): Promise<void> {
    this.#restarts = this.#restarts.then(async () => {
      await this.#end(signal);
      this.start();
    });
    return this.#restarts;
  }

  async close(): Promise<void> {
    await this.#restarts;
    this.sendSignal('SIGCONT');
    await this.#end('SIGKILL');
  }

  async #end(signal: NodeJS.Signals): Promise<void> {
    const child = this.#process;
    if (child?.exitCode !== null || child.signalCode !== null) {
      return;
    }
    const exit = once(child, 'exit');
    child.kill(signal);
    await exit;
  }

  #settings(): string {
    const [callers, ready, peers, metrics] = this.#ports;
    const { name, store, seeds } = this.#options;
    return `[router]
id = ${name}
zone = zone-a
callers = 127.0.0.1:${callers}
ready = 127.0.0.1:${ready}
peers = 127.0.0.1:${peers}
metrics_port = ${metrics}
[peers]
seeds = ${seeds().join(',')}
[store]
address = ${store}
answer_ms = 500
feed_ms = 2000
[stop]
grace_seconds = ${GRACE_S}
[retries]
ratio = 0.2
window_seconds = 10
slack = 126
`;
  }
}
