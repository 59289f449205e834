/** TCP connection to an HTTP server that limits what the server may send without being read as a response. */
import { Socket } from 'node:net';

import type { buildConnector } from 'undici';

import type { Address } from '@sesamegrade/core/types/endpoint';
import type { Milliseconds } from '@sesamegrade/core/types/units';

/** Error code of a connection that was closed because the server sent too many bytes. */
export const TOO_MANY_BYTES = 'TOO_MANY_BYTES';

const NO_BYTES = Buffer.alloc(0);

export interface BoundedSocketOptions {
  readonly address: Address;
  readonly connectTimeout: Milliseconds;
  /** Bytes that may arrive after a write or a call of `resetCount`. */
  readonly maxBytes: number;
}

/**
 * Also reports a reset under a code of its own: undici takes ECONNRESET for the end
 * of an unframed response, and fails an assertion if that is paused.
 */
export class BoundedSocket extends Socket {
  readonly #maxBytes: number;
  #receivedBytes = 0;

  /** Connects at once; closes with an error if no connection is made in time. */
  constructor({ address, connectTimeout, maxBytes }: BoundedSocketOptions) {
    super({ allowHalfOpen: true });
    this.#maxBytes = maxBytes;
    const timer = setTimeout(() => {
      this.destroy(new ConnectTimeoutError());
    }, connectTimeout);
    const cancelTimer = () => {
      clearTimeout(timer);
    };
    this.once('connect', cancelTimer);
    this.once('close', cancelTimer);
    this.setNoDelay(true);
    this.connect(address);
  }

  /** Starts to count anew; to be called when a head or a part of a body was read. */
  resetCount(): void {
    this.#receivedBytes = 0;
  }

  /**
   * Whether the peer reset the connection, to be asked at its end. Node.js reports a
   * reset that arrives together with the last bytes as a regular end; only a write,
   * here one of no bytes, still fails. While an earlier write is in progress this one
   * waits, and the answer is false: `writableLength` tells, or `whenWritten`.
   */
  wasReset(): boolean {
    this.write(NO_BYTES);
    return this.errored !== null;
  }

  /** Calls back once all that was written so far was taken by the system, or has failed. */
  whenWritten(callback: (isWritten: boolean) => void): void {
    this.write(NO_BYTES, error => {
      callback(!error);
    });
  }

  override push(chunk: Buffer | null): boolean {
    this.#receivedBytes += chunk?.length ?? 0;
    if (this.#receivedBytes > this.#maxBytes) {
      this.destroy(new TooManyBytesError());
      return false;
    }
    return super.push(chunk);
  }

  override _write(...parameters: Parameters<Socket['_write']>): void {
    this.resetCount();
    super._write(...parameters);
  }

  override _writev(
    ...parameters: Parameters<NonNullable<Socket['_writev']>>
  ): void {
    this.resetCount();
    super._writev?.(...parameters);
  }

  override _destroy(
    error: Error | null,
    callback: (error?: Error | null) => void,
  ): void {
    const isPeerReset =
      error !== null && 'code' in error && error.code === 'ECONNRESET';
    super._destroy(isPeerReset ? new ConnectionResetError() : error, callback);
  }
}

/** Returns the function by which an undici agent opens bounded connections. */
export function boundedConnector(
  options: BoundedSocketOptions,
): buildConnector.connector {
  return (_options, callback) => {
    const socket = new BoundedSocket(options);
    const onError = (error: Error) => {
      callback(error, null);
    };
    socket.once('error', onError);
    socket.once('connect', () => {
      socket.off('error', onError);
      callback(null, socket);
    });
  };
}

class TooManyBytesError extends Error {
  readonly code = TOO_MANY_BYTES;
}

class ConnectTimeoutError extends Error {
  readonly code = 'CONNECT_TIMEOUT';
}

class ConnectionResetError extends Error {
  readonly code = 'CONNECTION_RESET';
}
