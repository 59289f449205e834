/** Forwards a stream of server-sent events, each exactly once and in order. */
import { createParser } from 'eventsource-parser';
import type { EventSourceMessage } from 'eventsource-parser';

import { eventIdPrefix } from '@sesamegrade/core/streams/event-id';
import type { StreamSequencer } from '@sesamegrade/core/streams/stream-sequencer';
import type { Writability } from '../callers/caller-response';
import type { StreamTags } from './stream-tags';
import { failureReasonOf, ResponseRelay } from './response-relay';
import type { RelayResult, RelayTask } from './response-relay';

/** Largest event of a stream. */
const MAX_EVENT_CHARACTERS = 1_048_576;
const END_OF_STREAM = '[DONE]';

const STREAM_HEADERS = {
  'content-type': 'text/event-stream; charset=utf-8',
  'cache-control': 'no-store',
};

const CONNECTION_LOST = {
  kind: 'broken',
  breakage: 'reset',
  resumable: true,
} as const;

const CALLER_LEFT = { kind: 'caller-left' } as const;

export interface StreamRelayOptions {
  readonly tags: StreamTags;
}

export class StreamRelay extends ResponseRelay {
  readonly #tags: StreamTags;

  constructor(options: StreamRelayOptions) {
    super();
    this.#tags = options.tags;
  }

  override async forward(task: RelayTask): Promise<RelayResult> {
    const { shape, callerResponse } = task.exchange;
    if (shape.kind !== 'stream') {
      return { kind: 'broken', breakage: 'reset', resumable: false };
    }
    const collector = new EventCollector(this.#prefixOf(task), shape.sequencer);
    const result = await this.#forwardEvents(task, collector);
    if (result.kind !== 'finished') {
      return result;
    }
    if (!shape.sequencer.hasEnded) {
      return CONNECTION_LOST;
    }
    callerResponse.end();
    return result;
  }

  /** Forwards events until the response ends, fails or skips an event, or the caller disconnects. */
  #forwardEvents(
    task: RelayTask,
    collector: EventCollector,
  ): Promise<RelayResult> {
    const { body } = task.response;
    const { callerResponse } = task.exchange;
    const decoder = new TextDecoder();
    return new Promise((resolve, reject) => {
      body.on('data', (chunk: Uint8Array) => {
        collector.feed(decoder.decode(chunk, { stream: true }));
        const writability = this.#deliver(task, collector);
        if (writability === 'gone') {
          resolve(CALLER_LEFT);
        } else if (collector.isBroken) {
          resolve(CONNECTION_LOST);
        } else if (writability === 'full') {
          body.pause();
          callerResponse.waitForDrain().then(drainResult => {
            if (drainResult === 'gone') {
              resolve(CALLER_LEFT);
            }
            body.resume();
          }, reject);
        }
      });
      body.once('end', () => {
        resolve({ kind: 'finished' });
      });
      body.once('error', error => {
        resolve({ ...CONNECTION_LOST, breakage: failureReasonOf(error) });
      });
      body.once('close', () => {
        resolve(CONNECTION_LOST);
      });
    });
  }

  #deliver(task: RelayTask, collector: EventCollector): Writability | 'full' {
    const text = collector.takeText();
    if (text === '') {
      return 'open';
    }
    const { callerResponse } = task.exchange;
    if (!callerResponse.hasBegun) {
      callerResponse.begin(200, {
        ...STREAM_HEADERS,
        'x-chat-place': task.endpoint,
      });
    }
    task.onDelivered();
    return callerResponse.write(text);
  }

  #prefixOf({ exchange, endpoint, attempt }: RelayTask): string {
    const tag = this.#tags.tagOf(exchange.request.team, endpoint, attempt);
    return eventIdPrefix(endpoint, attempt, tag);
  }
}

/** Parses events and collects the text of those that can be delivered in order. */
class EventCollector {
  readonly #parser = createParser({
    maxBufferSize: MAX_EVENT_CHARACTERS,
    onEvent: event => {
      this.#add(event);
    },
    onError: ({ type }) => {
      this.#isBroken ||= type === 'max-buffer-size-exceeded';
    },
  });
  readonly #prefix: string;
  readonly #sequencer: StreamSequencer;
  #text = '';
  #isBroken = false;

  constructor(prefix: string, sequencer: StreamSequencer) {
    this.#prefix = prefix;
    this.#sequencer = sequencer;
  }

  /** Whether an event is missing or too large; no event after it was collected. */
  get isBroken(): boolean {
    return this.#isBroken;
  }

  feed(text: string): void {
    if (!this.#isBroken) {
      this.#parser.feed(text);
    }
  }

  /** Returns the collected text and clears it. */
  takeText(): string {
    const text = this.#text;
    this.#text = '';
    return text;
  }

  #add(event: EventSourceMessage): void {
    if (this.#isBroken) {
      return;
    }
    const sequence = Number(event.id);
    const disposition = this.#sequencer.accept(
      sequence,
      event.data === END_OF_STREAM,
    );
    if (disposition === 'gap') {
      this.#isBroken = true;
    }
    if (disposition === 'deliver') {
      this.#text += `id: ${this.#prefix}${sequence}\ndata: ${event.data}\n\n`;
    }
  }
}
