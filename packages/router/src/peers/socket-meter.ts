/** Counts the bytes that sockets with control traffic read and write. */
import type { Socket } from 'node:net';

export interface SocketBytes {
  readonly read: number;
  readonly written: number;
}

export class SocketMeter {
  readonly #open = new Set<Socket>();
  #read = 0;
  #written = 0;

  /** Number of open sockets. */
  get size(): number {
    return this.#open.size;
  }

  track(socket: Socket): void {
    this.#open.add(socket);
    socket.once('close', () => {
      if (!this.#open.delete(socket)) {
        return;
      }
      this.#read += socket.bytesRead;
      this.#written += socket.bytesWritten;
    });
  }

  /** Stops counting a socket, as it no longer carries messages between routers. */
  untrack(socket: Socket): void {
    this.#open.delete(socket);
  }

  /** Bytes since the start, without TCP and IP headers. */
  total(): SocketBytes {
    let read = this.#read;
    let written = this.#written;
    for (const socket of this.#open) {
      read += socket.bytesRead;
      written += socket.bytesWritten;
    }
    return { read, written };
  }
}
