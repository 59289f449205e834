/**
 * A server of the deployment whose process may end at any moment and is back after
 * a while at the same address, as another instance with a row of its own.
 */
import type { Socket } from 'node:net';

import { serverEntry } from './deployment-documents';
import type { RowStoreServer } from './row-store-server';
import { notExecutedResponse, ScriptedServer } from './scripted-server';
import type { ScriptedRequest } from './scripted-server';

/** Answers a request; `end` ends the process with every connection. */
export type InstanceScript = (
  request: ScriptedRequest,
  socket: Socket,
  end: () => void,
) => void;

export interface RestartingServerOptions {
  readonly name: string;
  readonly store: RowStoreServer;
  readonly script: InstanceScript;
  /** Milliseconds from the end of the process to its next start. */
  readonly downTime: number;
  /** Fields of its row that differ from the usual ones. */
  readonly fields?: Readonly<Record<string, unknown>>;
}

const STATUS_MISDIRECTED = 421;

export class RestartingServer {
  /** Requests that reached any instance, also those that it did not run. */
  readonly requests: ScriptedRequest[] = [];
  readonly #options: RestartingServerOptions;
  #server: ScriptedServer | undefined;
  #restarts: Promise<void> = Promise.resolve();
  #timer: NodeJS.Timeout | undefined;
  #port = 0;
  #startCount = 0;
  #endCount = 0;
  #misdirected = 0;
  #isStopped = false;

  constructor(options: RestartingServerOptions) {
    this.#options = options;
  }

  /** How often the process has ended. */
  get endCount(): number {
    return this.#endCount;
  }

  /** Number of requests that were meant for an earlier instance. */
  get misdirected(): number {
    return this.#misdirected;
  }

  get isRunning(): boolean {
    return this.#server !== undefined;
  }

  /** Id of the row of the running or last instance. */
  get instance(): string {
    return `${this.#options.name}-${this.#startCount}`;
  }

  async start(): Promise<this> {
    const { store, fields } = this.#options;
    const previous = this.instance;
    this.#startCount += 1;
    const { instance } = this;
    const server = new ScriptedServer((request, socket) => {
      this.#onRequest(request, socket, instance);
    });
    await server.start(this.#port);
    this.#port = Number(server.address.split(':').at(-1));
    this.#server = server;
    store.remove('servers', previous);
    store.write('servers', instance, serverEntry(server.address, fields));
    return this;
  }

  async stop(): Promise<void> {
    this.#isStopped = true;
    clearTimeout(this.#timer);
    await this.#restarts;
    await this.#server?.stop();
  }

  /** Ends the process now; its row stays until the next start. */
  end(): void {
    const server = this.#server;
    if (!server) {
      return;
    }
    this.#server = undefined;
    this.#endCount += 1;
    this.#restarts = server.stop();
    this.#timer = setTimeout(() => {
      this.#restarts = this.#restarts.then(async () => {
        if (!this.#isStopped) {
          await this.start();
        }
      });
    }, this.#options.downTime);
  }

  #onRequest(request: ScriptedRequest, socket: Socket, instance: string): void {
    this.requests.push(request);
    const expected = request.headers.get('sesamegrade-expect-instance');
    if (expected !== undefined && expected !== instance) {
      this.#misdirected += 1;
      socket.write(notExecutedResponse(request, STATUS_MISDIRECTED));
      return;
    }
    this.#options.script(request, socket, () => {
      this.end();
    });
  }
}
