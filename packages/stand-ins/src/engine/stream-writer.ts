/** Sends the events of a sequence to one connection, no faster than it reads. */
import type { ServerResponse } from 'node:http';

import type { AttemptId } from '@sesamegrade/core/types/ids';
import { eventText, readyEvents } from './sequence';
import type { Sequence } from './sequence';

export class StreamWriter {
  readonly #sequence: Sequence;
  readonly #response: ServerResponse;
  #sent: number;
  #blocked = false;
  #closed = false;

  /** @param after id of the last event that the reader already has */
  constructor(sequence: Sequence, response: ServerResponse, after: number) {
    this.#sequence = sequence;
    this.#response = response;
    this.#sent = after;
    response.on('close', () => {
      this.#closed = true;
    });
    response.on('drain', () => {
      this.#blocked = false;
    });
  }

  /** Whether an open connection reads the stream of this id. */
  isOpenFor(id: AttemptId): boolean {
    return !this.#closed && this.#sequence.id === id;
  }

  /** Sends what is ready; returns false when nothing more will follow. */
  pump(): boolean {
    if (this.#closed) {
      return false;
    }
    const ready = readyEvents(this.#sequence);
    if (!this.#blocked && ready > this.#sent) {
      this.#send(ready);
    }
    if (this.#sent < ready) {
      return true;
    }
    return this.#continues();
  }

  #send(ready: number): void {
    let text = '';
    for (let id = this.#sent + 1; id <= ready; id += 1) {
      text += eventText(this.#sequence, id);
    }
    this.#sent = ready;
    this.#blocked = !this.#response.write(text);
  }

  #continues(): boolean {
    const { phase } = this.#sequence;
    if (phase === 'finished') {
      this.#response.end();
      return false;
    }
    if (phase === 'cancelled') {
      this.#response.destroy();
      return false;
    }
    return true;
  }
}
