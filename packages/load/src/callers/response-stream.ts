/** Collects one streamed answer over as many connections as it takes. */
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

/** Prompt tokens of an answer, and those found in the engine's cache. */
export interface PromptUsage {
  readonly promptTokens: number;
  readonly cachedTokens: number;
}

export class ResponseStream {
  readonly #now: () => number;
  readonly #tokens: string[] = [];
  readonly #arrivals: number[] = [];
  #lastId: string | undefined;
  #lastNumber = 0;
  #done = false;
  #problem: ProblemDocument | undefined;
  #usage: PromptUsage | undefined;
  #disorder: string | undefined;

  constructor(now: () => number) {
    this.#now = now;
  }

  get tokens(): readonly string[] {
    return this.#tokens;
  }

  /** Times at which the tokens arrived. */
  get arrivalTimes(): readonly number[] {
    return this.#arrivals;
  }

  /** Id of the last event, to reconnect with. */
  get lastEventId(): string | undefined {
    return this.#lastId;
  }

  /** Whether the explicit end came. */
  get done(): boolean {
    return this.#done;
  }

  /** A refusal that came inside of the stream. */
  get problem(): ProblemDocument | undefined {
    return this.#problem;
  }

  get usage(): PromptUsage | undefined {
    return this.#usage;
  }

  /** What was wrong with the events themselves, if anything. */
  get sequenceError(): string | undefined {
    return this.#disorder;
  }

  /** Reads one connection to its end; fails when the connection breaks. */
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
    this.#follow(id);
    if (data === '[DONE]') {
      this.#done = true;
      return;
    }
    this.#acceptChunk(data);
  }

  /** Checks the number at the end of an id: each is one more than the last. */
  #follow(id: string | undefined): void {
    const number = Number(/(\d+)$/.exec(id ?? '')?.[1]);
    if (this.#done) {
      this.#disorder ??= 'an event after the end';
    } else if (number !== this.#lastNumber + 1) {
      this.#disorder ??= `event ${id ?? '(none)'} after ${this.#lastNumber}`;
    }
    this.#lastId = id ?? this.#lastId;
    this.#lastNumber = Number.isNaN(number) ? this.#lastNumber : number;
  }

  #acceptChunk(data: string): void {
    const chunk = parseChunk(data);
    if (!chunk) {
      this.#disorder ??= 'an event that is no chunk of an answer';
      return;
    }
    const content = chunk.choices[0]?.delta?.content;
    if (content !== undefined) {
      this.#tokens.push(content);
      this.#arrivals.push(this.#now());
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
