/** TCP connection to an HTTP server that limits what the server may send without being read as a response. */
import { Socket } from 'node:net';

import type { buildConnector } from 'undici';

import type { Address } from '@sesamegrade/core/types/endpoint';
import type { Milliseconds } from '@sesamegrade/core/types/units';

/** Error code of a connection that was closed because the server sent too many bytes. */
export const TOO_MANY_BYTES = 'TOO_MANY_BYTES';

/** Error code of a connection that was closed because the server sent no response of HTTP/1. */
export const NO_HTTP_RESPONSE = 'NO_HTTP_RESPONSE';

const RESPONSE_START = 'HTTP/1.';
const CR = 0x0d;
const LF = 0x0a;
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
  /** What the next bytes have to be. */
  #expectedStart = '';

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
   * Closes the connection unless the next bytes begin a response of HTTP/1; to be called before
   * a request is sent. The parser also takes responses of other versions and of RTSP.
   */
  expectResponse(): void {
    this.#expectedStart = RESPONSE_START;
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
    if (chunk && !this.#startsAsExpected(chunk)) {
      this.destroy(new NoHttpResponseError());
      return false;
    }
    return super.push(chunk);
  }

  /** The parser skips empty lines before a response. */
  #startsAsExpected(chunk: Buffer): boolean {
    const isBegun = this.#expectedStart.length < RESPONSE_START.length;
    const begin = isBegun
      ? 0
      : chunk.findIndex(byte => byte !== CR && byte !== LF);
    if (begin < 0) {
      return true;
    }
    const start = chunk.toString(
      'latin1',
      begin,
      begin + this.#expectedStart.length,
    );
    const isExpected = this.#expectedStart.startsWith(start);
    this.#expectedStart = this.#expectedStart.slice(start.length);
    return isExpected;
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

class NoHttpResponseError extends Error {
  readonly code = NO_HTTP_RESPONSE;
}

class ConnectTimeoutError extends Error {
  readonly code = 'CONNECT_TIMEOUT';
}

class ConnectionResetError extends Error {
  readonly code = 'CONNECTION_RESET';
}
