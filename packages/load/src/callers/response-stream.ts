/** Assembles one streamed response from the events of one or more connections. */
import { createParser } from 'eventsource-parser';
import type { EventSourceMessage } from 'eventsource-parser';
import { z } from 'zod';

import { parseProblem } from './problem';
import type { ProblemDocument } from './problem';

const chunkSchema = z.looseObject({
  choices: z.array(
    z.looseObject({
      delta: z.looseObject({ content: z.string().optional() }).optional(),
    }),
  ),
  usage: z
    .looseObject({
      prompt_tokens: z.number(),
      prompt_tokens_details: z
        .looseObject({ cached_tokens: z.number().optional() })
        .optional(),
    })
    .nullish(),
});

/** Prompt tokens of a request, and those of them found in the engine's prefix cache. */
export interface PromptUsage {
  readonly promptTokens: number;
  readonly cachedTokens: number;
}

export class ResponseStream {
  readonly #now: () => number;
  readonly #tokens: string[] = [];
  readonly #arrivalTimes: number[] = [];
  #lastEventId: string | undefined;
  #lastEventNumber = 0;
  #done = false;
  #problem: ProblemDocument | undefined;
  #usage: PromptUsage | undefined;
  #sequenceError: string | undefined;

  constructor(now: () => number) {
    this.#now = now;
  }

  get tokens(): readonly string[] {
    return this.#tokens;
  }

  /** Arrival time of each token, by the clock given to the constructor. */
  get arrivalTimes(): readonly number[] {
    return this.#arrivalTimes;
  }

  /** Id of the last event, sent as Last-Event-ID on a reconnect. */
  get lastEventId(): string | undefined {
    return this.#lastEventId;
  }

  /** Whether the end marker `[DONE]` arrived. */
  get done(): boolean {
    return this.#done;
  }

  /** A refusal that arrived as an event of the stream. */
  get problem(): ProblemDocument | undefined {
    return this.#problem;
  }

  get usage(): PromptUsage | undefined {
    return this.#usage;
  }

  /** The first error in the sequence or form of the events. */
  get sequenceError(): string | undefined {
    return this.#sequenceError;
  }

  /** Reads one connection to its end; rejects when the connection is lost. */
  async read(body: AsyncIterable<Uint8Array>): Promise<void> {
    const decoder = new TextDecoder();
    const parser = createParser({
      onEvent: event => {
        this.#accept(event);
      },
    });
    for await (const chunk of body) {
      parser.feed(decoder.decode(chunk, { stream: true }));
    }
  }

  #accept({ event, id, data }: EventSourceMessage): void {
    if (event === 'error') {
      this.#problem = parseProblem(data);
      return;
    }
    this.#checkEventId(id);
    if (data === '[DONE]') {
      this.#done = true;
      return;
    }
    this.#acceptChunk(data);
  }

  /** Checks that the number at the end of each event id is one more than the last. */
  #checkEventId(id: string | undefined): void {
    const number = Number(/(\d+)$/.exec(id ?? '')?.[1]);
    if (this.#done) {
      this.#sequenceError ??= 'an event after the end marker';
    } else if (number !== this.#lastEventNumber + 1) {
      this.#sequenceError ??= `event ${id ?? '(none)'} after ${this.#lastEventNumber}`;
    }
    this.#lastEventId = id ?? this.#lastEventId;
    this.#lastEventNumber = Number.isNaN(number)
      ? this.#lastEventNumber
      : number;
  }

  #acceptChunk(data: string): void {
    const chunk = parseChunk(data);
    if (!chunk) {
      this.#sequenceError ??= 'an event that is not a completion chunk';
      return;
    }
    const content = chunk.choices[0]?.delta?.content;
    if (content !== undefined) {
      this.#tokens.push(content);
      this.#arrivalTimes.push(this.#now());
    }
    if (chunk.usage) {
      this.#usage = {
        promptTokens: chunk.usage.prompt_tokens,
        cachedTokens: chunk.usage.prompt_tokens_details?.cached_tokens ?? 0,
      };
    }
  }
}

function parseChunk(data: string): z.infer<typeof chunkSchema> | undefined {
  try {
    return chunkSchema.safeParse(JSON.parse(data)).data;
  } catch {
    return undefined;
  }
}
