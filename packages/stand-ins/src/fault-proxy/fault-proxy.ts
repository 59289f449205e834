/** TCP proxy to one address, whose faults can be changed while it runs. */
import { connect, createServer } from 'node:net';
import type { AddressInfo, Server, Socket } from 'node:net';

import type { Address } from '@sesamegrade/core/types/endpoint';
import { LOOPBACK } from '../http/http-stand-in';
import type { ListenOptions } from '../http/http-stand-in';
import { NO_FAULT } from './proxy-fault';
import type { ProxyFault } from './proxy-fault';
import { ByteForwarder } from './byte-forwarder';

export interface FaultProxyOptions {
  readonly listen?: ListenOptions;
  readonly target: Address;
}

export class FaultProxy {
  readonly #options: FaultProxyOptions;
  readonly #sockets = new Set<Socket>();
  #server: Server | undefined;
  #fault = NO_FAULT;
  #accepted = 0;

  constructor(options: FaultProxyOptions) {
    this.#options = options;
  }

  get fault(): ProxyFault {
    return this.#fault;
  }

  /** Connections accepted since the start, including those that `refuse` reset. */
  get accepted(): number {
    return this.#accepted;
  }

  /** Replaces the current fault; without an argument, clears it. */
  setFault(fault: Partial<ProxyFault> = {}): void {
    this.#fault = { ...NO_FAULT, ...fault };
    if (this.#fault.reset) {
      this.#resetAll();
    }
  }

  async start(): Promise<Address> {
    const { host, port } = this.#options.listen ?? LOOPBACK;
    const server = createServer({ allowHalfOpen: true }, client => {
      this.#accept(client);
    });
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject);
      server.listen(port, host, resolve);
    });
    this.#server = server;
    return { host, port: (server.address() as AddressInfo).port };
  }

  async stop(): Promise<void> {
    const server = this.#server;
    if (!server) {
      return;
    }
    this.#server = undefined;
    const closed = new Promise<void>(resolve => {
      server.close(() => {
        resolve();
      });
    });
    this.#resetAll();
    await closed;
  }

  #accept(client: Socket): void {
    this.#accepted += 1;
    if (this.#fault.refuse) {
      client.on('error', () => undefined);
      client.resetAndDestroy();
      return;
    }
    const target = connect({ ...this.#options.target, allowHalfOpen: true });
    const fault = () => this.#fault;
    this.#track(client, target);
    this.#track(target, client);
    new ByteForwarder(client, target, 'to-target', fault).start();
    new ByteForwarder(target, client, 'to-client', fault).start();
  }

  #track(socket: Socket, counterpart: Socket): void {
    this.#sockets.add(socket);
    socket.setNoDelay(true);
    socket.on('error', () => {
      counterpart.resetAndDestroy();
    });
    socket.on('close', () => {
      this.#sockets.delete(socket);
      if (!socket.readableEnded) {
        counterpart.destroy();
      }
    });
  }

  #resetAll(): void {
    for (const socket of this.#sockets) {
      socket.resetAndDestroy();
    }
  }
}
