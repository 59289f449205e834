/** Carries a stream of server-sent events, each exactly once and in order. */
import { createParser } from 'eventsource-parser';
import type { EventSourceMessage } from 'eventsource-parser';

import { eventIdPrefix } from '@sesamegrade/core/streams/event-id';
import type { StreamOrder } from '@sesamegrade/core/streams/stream-order';
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
    const { shape } = task.exchange;
    if (shape.kind !== 'stream') {
      return { kind: 'broken', breakage: 'reset', resumable: false };
    }
    const writer = new EventWriter(this.#prefixOf(task), shape.order);
    const parser = createParser({
      onEvent: event => {
        writer.take(event);
      },
    });
    const decoder = new TextDecoder();
    try {
      for await (const chunk of task.response.body) {
        parser.feed(decoder.decode(chunk as Uint8Array, { stream: true }));
        if ((await this.#flush(task, writer)) === 'gone') {
          return { kind: 'caller-left' };
        }
        if (writer.gap) {
          return BROKEN;
        }
      }
    } catch (error) {
      return { ...BROKEN, breakage: breakageOf(error) };
    }
    if (!shape.order.ended) {
      return BROKEN;
    }
    task.exchange.answer.end();
    return { kind: 'finished' };
  }

  async #flush(task: RelayTask, writer: EventWriter) {
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
      task.onDelivered();
    }
    return answer.write(text);
  }

  #prefixOf({ exchange, endpoint, attempt }: RelayTask): string {
    const tag = this.#tags.tagOf(exchange.request.team, endpoint, attempt);
    return eventIdPrefix(endpoint, attempt, tag);
  }
}

/** Collects the text of events that are due for delivery. */
class EventWriter {
  readonly #prefix: string;
  readonly #order: StreamOrder;
  #text = '';
  #gap = false;

  constructor(prefix: string, order: StreamOrder) {
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
