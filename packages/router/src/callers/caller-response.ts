/** The HTTP response to one caller: it has one status, ordered parts and an explicit end. */
import type { ServerResponse } from 'node:http';

import type { TimerService } from '@sesamegrade/core/time/timer-service';
import type { Refusal } from '@sesamegrade/core/requests/types';
import type { Milliseconds } from '@sesamegrade/core/types/units';
import { problemOf } from './problem';

/** Whether the caller is still connected. */
export type Writability = 'open' | 'gone';

export interface CallerResponseOptions {
  readonly response: ServerResponse;
  readonly requestId: string;
  readonly timers: TimerService;
  /** Time without reading after which a slow caller is disconnected. */
  readonly stallTimeout: Milliseconds;
}

/** Writes to one caller and applies backpressure when the caller reads slowly. */
export class CallerResponse {
  readonly #response: ServerResponse;
  readonly #requestId: string;
  readonly #timers: TimerService;
  readonly #stallLimit: Milliseconds;

  constructor(options: CallerResponseOptions) {
    this.#response = options.response;
    this.#requestId = options.requestId;
    this.#timers = options.timers;
    this.#stallLimit = options.stallTimeout;
  }

  get hasBegun(): boolean {
    return this.#response.headersSent;
  }

  get isDisconnected(): boolean {
    return this.#response.destroyed;
  }

  /** Calls the listener once if the caller disconnects before the response was written completely. */
  onDisconnect(listener: () => void): void {
    this.#response.once('close', () => {
      if (!this.#response.writableFinished) {
        listener();
      }
    });
  }

  begin(
    status: number,
    headers: Readonly<Record<string, string | string[]>>,
  ): void {
    this.#response.writeHead(status, {
      ...headers,
      'x-request-id': this.#requestId,
    });
  }

  /** Writes a part; after `full`, wait for `waitForDrain` before the next one. */
  write(part: string): Writability | 'full' {
    if (this.isDisconnected) {
      return 'gone';
    }
    return this.#response.write(part) ? 'open' : 'full';
  }

  /** Resolves when more may be written, or when the caller disconnected or stalled too long. */
  waitForDrain(): Promise<Writability> {
    return new Promise(resolve => {
      const settle = (writability: Writability) => {
        cancel();
        this.#response.off('drain', drain);
        this.#response.off('close', close);
        resolve(writability);
      };
      const drain = () => {
        settle('open');
      };
      const close = () => {
        settle('gone');
      };
      const cancel = this.#timers.after(this.#stallLimit, () => {
        this.#response.destroy();
        settle('gone');
      });
      this.#response.once('drain', drain);
      this.#response.once('close', close);
    });
  }

  /** Ends the response normally, which tells the caller that it is complete. */
  end(part?: string | Uint8Array): void {
    if (part === undefined) {
      this.#response.end();
    } else {
      this.#response.end(part);
    }
  }

  /**
   * Reports that there is no complete response: with a problem document, or
   * with an error event when the response has begun already.
   */
  refuse(refusal: Refusal): void {
    if (this.isDisconnected || this.#response.writableEnded) {
      return;
    }
    const { document, headers } = problemOf(refusal, this.#requestId);
    const body = JSON.stringify(document);
    if (this.hasBegun) {
      this.#response.end(`event: error\ndata: ${body}\n\n`);
      return;
    }
    this.begin(document.status, headers);
    this.#response.end(body);
  }
}
