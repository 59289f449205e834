/** Carries a stream of server-sent events, each exactly once and in order. */
import { createParser } from 'eventsource-parser';
import type { EventSourceMessage } from 'eventsource-parser';

import { eventIdPrefix } from '@sesamegrade/core/streams/event-id';
import type { StreamSequencer } from '@sesamegrade/core/streams/stream-sequencer';
import type { Writability } from '../callers/caller-answer';
import type { StreamTags } from './stream-tags';
import { breakageOf, Relay } from './relay';
import type { RelayEnd, RelayTask } from './relay';

const END_MARK = '[DONE]';

const STREAM_HEADERS = {
  'content-type': 'text/event-stream; charset=utf-8',
  'cache-control': 'no-store',
};

const BROKEN = {
  kind: 'broken',
  breakage: 'reset',
  resumable: true,
} as const;

const CALLER_LEFT = { kind: 'caller-left' } as const;

export interface StreamRelayOptions {
  readonly tags: StreamTags;
}

export class StreamRelay extends Relay {
  readonly #tags: StreamTags;

  constructor(options: StreamRelayOptions) {
    super();
    this.#tags = options.tags;
  }

  override async carry(task: RelayTask): Promise<RelayEnd> {
    const { shape, answer } = task.exchange;
    if (shape.kind !== 'stream') {
      return { kind: 'broken', breakage: 'reset', resumable: false };
    }
    const writer = new EventWriter(this.#prefixOf(task), shape.order);
    const end = await this.#pump(task, writer);
    if (end.kind !== 'finished') {
      return end;
    }
    if (!shape.order.hasEnded) {
      return BROKEN;
    }
    answer.end();
    return end;
  }

  /** Passes events on until the response ends, breaks or leaves out an event. */
  #pump(task: RelayTask, writer: EventWriter): Promise<RelayEnd> {
    const { body } = task.response;
    const { answer } = task.exchange;
    const parser = createParser({
      onEvent: event => {
        writer.take(event);
      },
    });
    const decoder = new TextDecoder();
    return new Promise(resolve => {
      body.on('data', (chunk: Uint8Array) => {
        parser.feed(decoder.decode(chunk, { stream: true }));
        const writability = this.#flush(task, writer);
        if (writability === 'gone') {
          resolve(CALLER_LEFT);
        } else if (writer.gap) {
          resolve(BROKEN);
        } else if (writability === 'full') {
          body.pause();
          void answer.drained().then(drained => {
            if (drained === 'gone') {
              resolve(CALLER_LEFT);
            }
            body.resume();
          });
        }
      });
      body.once('end', () => {
        resolve({ kind: 'finished' });
      });
      body.once('error', error => {
        resolve({ ...BROKEN, breakage: breakageOf(error) });
      });
      body.once('close', () => {
        resolve(BROKEN);
      });
    });
  }

  #flush(task: RelayTask, writer: EventWriter): Writability | 'full' {
    const text = writer.drain();
    if (text === '') {
      return 'open';
    }
    const { answer } = task.exchange;
    if (!answer.begun) {
      answer.begin(200, {
        ...STREAM_HEADERS,
        'x-chat-place': task.endpoint,
      });
    }
    task.onDelivered();
    return answer.offer(text);
  }

  #prefixOf({ exchange, endpoint, attempt }: RelayTask): string {
    const tag = this.#tags.tagOf(exchange.request.team, endpoint, attempt);
    return eventIdPrefix(endpoint, attempt, tag);
  }
}

/** Collects the text of events that are due for delivery. */
class EventWriter {
  readonly #prefix: string;
  readonly #order: StreamSequencer;
  #text = '';
  #gap = false;

  constructor(prefix: string, order: StreamSequencer) {
    this.#prefix = prefix;
    this.#order = order;
  }

  /** Whether an event is missing; nothing after it was taken. */
  get gap(): boolean {
    return this.#gap;
  }

  take(event: EventSourceMessage): void {
    if (this.#gap) {
      return;
    }
    const number = Number(event.id);
    const fate = this.#order.accept(number, event.data === END_MARK);
    if (fate === 'gap') {
      this.#gap = true;
    }
    if (fate === 'deliver') {
      this.#text += `id: ${this.#prefix}${number}\ndata: ${event.data}\n\n`;
    }
  }

  /** Returns the collected text and forgets it. */
  drain(): string {
    const text = this.#text;
    this.#text = '';
    return text;
  }
}
