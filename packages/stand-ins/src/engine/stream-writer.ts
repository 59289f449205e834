/** Writes the events of a sequence to one connection, and waits while its buffer is full. */
import type { ServerResponse } from 'node:http';

import type { AttemptId } from '@sesamegrade/core/types/ids';
import { eventText, readyEvents } from './sequence';
import type { Sequence } from './sequence';

export class StreamWriter {
  readonly #sequence: Sequence;
  readonly #response: ServerResponse;
  #lastSentId: number;
  #isBufferFull = false;
  #isClosed = false;

  /** @param after id of the last event that the client has already received */
  constructor(sequence: Sequence, response: ServerResponse, after: number) {
    this.#sequence = sequence;
    this.#response = response;
    this.#lastSentId = after;
    response.on('close', () => {
      this.#isClosed = true;
    });
    response.on('drain', () => {
      this.#isBufferFull = false;
    });
  }

  /** Whether this is the stream of that attempt, on an open connection. */
  isOpenFor(id: AttemptId): boolean {
    return !this.#isClosed && this.#sequence.id === id;
  }

  /** Writes the events that are ready; returns false once the response has ended. */
  pump(): boolean {
    if (this.#isClosed) {
      return false;
    }
    const lastReadyId = readyEvents(this.#sequence);
    if (!this.#isBufferFull && lastReadyId > this.#lastSentId) {
      this.#send(lastReadyId);
    }
    if (this.#lastSentId < lastReadyId) {
      return true;
    }
    return this.#closeAfterEnd();
  }

  #send(lastReadyId: number): void {
    let text = '';
    for (let id = this.#lastSentId + 1; id <= lastReadyId; id += 1) {
      text += eventText(this.#sequence, id);
    }
    this.#lastSentId = lastReadyId;
    this.#isBufferFull = !this.#response.write(text);
  }

  /** Closes the response if its sequence has ended; returns whether it stays open. */
  #closeAfterEnd(): boolean {
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
