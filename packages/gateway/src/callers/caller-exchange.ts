/** One request of a caller and the answer on its way back. */
import type { IncomingMessage, ServerResponse } from 'node:http';

import type { HeaderList, RefusalResponse } from './caller-protocol';

/** How reading a body ended. */
export type BodyResult =
  | { readonly kind: 'whole'; readonly body: Buffer }
  | { readonly kind: 'too-large' }
  /** The caller went away or broke off before the end. */
  | { readonly kind: 'cut' };

export class CallerExchange {
  readonly #request: IncomingMessage;
  readonly #response: ServerResponse;
  readonly #isClosing: () => boolean;
  readonly #leftListeners: (() => void)[] = [];
  #left = false;
  #begun = false;
  #finished = false;

  constructor(
    request: IncomingMessage,
    response: ServerResponse,
    isClosing: () => boolean,
  ) {
    this.#request = request;
    this.#response = response;
    this.#isClosing = isClosing;
    response.on('close', () => {
      if (!this.#finished) {
        this.#left = true;
        this.#leftListeners.forEach(listener => {
          listener();
        });
      }
    });
    response.on('error', () => {
      this.#left = true;
    });
  }

  get method(): string {
    return this.#request.method ?? 'GET';
  }

  get target(): string {
    return this.#request.url ?? '/';
  }

  get headers(): HeaderList {
    return this.#request.rawHeaders;
  }

  /** Whether the caller closed its connection before the answer's end. */
  get hasDisconnected(): boolean {
    return this.#left;
  }

  /** Whether part of an answer went out. */
  get hasResponseStarted(): boolean {
    return this.#begun;
  }

  onDisconnect(listener: () => void): void {
    if (this.#left) {
      listener();
    } else {
      this.#leftListeners.push(listener);
    }
  }

  /** Reads the whole body; `limit` in bytes. */
  readBody(limit: number): Promise<BodyResult> {
    const chunks: Buffer[] = [];
    let size = 0;
    return new Promise(resolve => {
      this.#request.on('data', (chunk: Buffer) => {
        size += chunk.length;
        if (size > limit) {
          this.#request.pause();
          resolve({ kind: 'too-large' });
          return;
        }
        chunks.push(chunk);
      });
      this.#request.on('end', () => {
        resolve({ kind: 'whole', body: Buffer.concat(chunks) });
      });
      this.#request.on('close', () => {
        resolve({ kind: 'cut' });
      });
      this.#request.on('error', () => {
        resolve({ kind: 'cut' });
      });
    });
  }

  /** Answers with the router's own refusal. */
  refuse({ status, headers, body }: RefusalResponse, closes = false): void {
    this.#answer(status, headers, Buffer.from(body), closes);
  }

  /** Answers with an endpoint's whole answer; `length` differs from the body's for HEAD. */
  respond(
    status: number,
    headers: HeaderList,
    body: Buffer,
    length: number = body.length,
  ): void {
    this.#answer(status, headers, body, false, length);
  }

  /**
   * Answers with a body that ended with its connection. It ends the same way
   * here, as a length would vouch for an end that nobody announced.
   */
  respondUnframed(status: number, headers: HeaderList, body: Buffer): void {
    if (this.#left || this.#begun) {
      return;
    }
    this.#begun = true;
    this.#finished = true;
    this.#response.removeHeader('transfer-encoding');
    this.#response.shouldKeepAlive = false;
    this.#response.writeHead(status, [...headers, 'connection', 'close']);
    this.#response.end(body);
  }

  /** Begins an answer whose length is not known. */
  startResponse(status: number, headers: HeaderList): void {
    if (this.#left || this.#begun) {
      return;
    }
    this.#begun = true;
    this.#response.writeHead(status, this.#withClose([...headers], false));
    this.#response.flushHeaders();
  }

  /** Returns false when the caller does not keep up; `onDrain` tells when it does. */
  write(chunk: Uint8Array): boolean {
    return this.#left || this.#response.write(chunk);
  }

  onDrain(listener: () => void): void {
    this.#response.once('drain', listener);
  }

  end(): void {
    if (!this.#left) {
      this.#finished = true;
      this.#response.end();
    }
  }

  /** Breaks the connection, so that a begun answer cannot look whole. */
  abort(): void {
    this.#finished = true;
    this.#response.destroy();
  }

  #answer(
    status: number,
    headers: HeaderList,
    body: Buffer,
    closes: boolean,
    length: number = body.length,
  ): void {
    if (this.#left || this.#begun) {
      return;
    }
    this.#begun = true;
    this.#finished = true;
    const framed = this.#withClose([...headers], closes);
    if (status !== 204 && status !== 304) {
      framed.push('content-length', String(length));
    }
    this.#response.writeHead(status, framed);
    this.#response.end(this.method === 'HEAD' ? undefined : body);
  }

  #withClose(headers: string[], closes: boolean): string[] {
    if (closes || this.#isClosing()) {
      headers.push('connection', 'close');
    }
    return headers;
  }
}
