/** A channel that a client keeps for many requests, one after the other. */
import { Buffer } from 'node:buffer';
import { connect } from 'node:net';

import { HOST, KEY } from './client.mjs';

const HEAD_END = '\r\n\r\n';

export class Channel {
  #socket;
  #key;
  #received = Buffer.alloc(0);
  #waiting;
  answered = 0;
  isOpen = true;

  constructor(to, key = KEY) {
    this.#key = key;
    this.#socket = connect(to);
    this.#socket.on('data', bytes => this.#onData(bytes));
    for (const event of ['end', 'error', 'close']) {
      this.#socket.on(event, () => this.#onEnd());
    }
  }

  /** Resolves with the status of the answer and the length of its body; undefined if the channel ended without it. */
  send({ method, path, id, headers, body = '' }) {
    const lines = Object.entries({
      Host: HOST,
      'Sesamegrade-Request-Id': id,
      Authorization: `Bearer ${this.#key}`,
      ...(method === 'GET' ? {} : { 'Content-Length': body.length }),
      ...headers,
    }).map(([name, value]) => `${name}: ${value}`);
    return new Promise(resolve => {
      if (!this.isOpen) {
        resolve(undefined);
        return;
      }
      this.#waiting = { resolve, left: undefined, status: 0, length: 0 };
      this.#socket.write(
        [`${method} ${path} HTTP/1.1`, ...lines, '', body].join('\r\n'),
      );
    });
  }

  close() {
    this.isOpen = false;
    this.#socket.destroy();
  }

  #onData(bytes) {
    const waiting = this.#waiting;
    if (!waiting) {
      return;
    }
    if (waiting.left === undefined) {
      this.#received = Buffer.concat([this.#received, bytes]);
      const headEnd = this.#received.indexOf(HEAD_END);
      if (headEnd < 0) {
        return;
      }
      const head = this.#received.subarray(0, headEnd).toString('latin1');
      const length = /^content-length: *(\d+)/imu.exec(head)?.[1];
      waiting.status = Number(head.split(' ')[1]);
      waiting.length = Number(length);
      waiting.left =
        waiting.length - (this.#received.length - headEnd - HEAD_END.length);
      this.#received = Buffer.alloc(0);
    } else {
      waiting.left -= bytes.length;
    }
    if (waiting.left <= 0) {
      const { status, length } = waiting;
      this.#waiting = undefined;
      this.answered += 1;
      waiting.resolve({ status, length });
    }
  }

  #onEnd() {
    this.isOpen = false;
    this.#waiting?.resolve(undefined);
    this.#waiting = undefined;
  }
}
