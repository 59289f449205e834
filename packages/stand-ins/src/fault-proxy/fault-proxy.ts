/** TCP proxy to one address, whose faults can be changed while it runs. */
import { connect, createServer } from 'node:net';
import type { AddressInfo, Server, Socket } from 'node:net';

import type { Address } from '@sesamegrade/core/types/endpoint';
import { LOOPBACK } from '../http/http-stand-in';
import type { ListenOptions } from '../http/http-stand-in';
import { isStalled, NO_FAULT } from './proxy-fault';
import type { Direction, ProxyFault } from './proxy-fault';
import { ByteForwarder } from './byte-forwarder';

export interface FaultProxyOptions {
  readonly listen?: ListenOptions;
  readonly target: Address;
}

export class FaultProxy {
  readonly #options: FaultProxyOptions;
  readonly #sockets = new Set<Socket>();
  readonly #resetting = new WeakSet<Socket>();
  #server: Server | undefined;
  #fault = NO_FAULT;
  /** Resets and closings that wait for the end of a stall. */
  #held: (() => void)[] = [];
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
    for (const pass of this.#held.splice(0)) {
      pass();
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
    this.#track(client, target, 'to-target');
    this.#track(target, client, 'to-client');
    new ByteForwarder(client, target, 'to-target', fault).start();
    new ByteForwarder(target, client, 'to-client', fault).start();
  }

  #track(socket: Socket, counterpart: Socket, direction: Direction): void {
    this.#sockets.add(socket);
    socket.setNoDelay(true);
    socket.on('error', () => undefined);
    socket.on('close', hadError => {
      this.#sockets.delete(socket);
      if (hadError) {
        this.#pass(direction, () => {
          this.#reset(counterpart);
        });
      } else if (!socket.readableEnded) {
        this.#pass(direction, () => {
          if (!this.#resetting.has(counterpart)) {
            counterpart.destroy();
          }
        });
      }
    });
  }

  /** Takes a step that the counterpart notices, after the stall of its direction. */
  #pass(direction: Direction, step: () => void): void {
    if (isStalled(this.#fault, direction)) {
      this.#held.push(() => {
        this.#pass(direction, step);
      });
    } else {
      step();
    }
  }

  #resetAll(): void {
    for (const socket of this.#sockets) {
      this.#reset(socket);
    }
  }

  /** Node.js never closes a socket that is reset or destroyed while its shutdown is under way. */
  #reset(socket: Socket): void {
    if (this.#resetting.has(socket)) {
      return;
    }
    if (socket.writableEnded && !socket.writableFinished) {
      socket.destroy();
      return;
    }
    this.#resetting.add(socket);
    socket.resetAndDestroy();
  }
}
