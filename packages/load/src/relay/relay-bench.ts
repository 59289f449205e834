/** Compares streams through a router with the same streams straight from the engine. */
import { createParser } from 'eventsource-parser';
import { Agent, request } from 'undici';

import { histogram, percentiles } from '../measures/latencies';
import type { Percentiles } from '../measures/latencies';

/** One way to the engine. */
export interface RelayRoute {
  readonly url: string;
  readonly headers: Readonly<Record<string, string>>;
}

export interface RelayBenchOptions {
  readonly direct: RelayRoute;
  readonly routed: RelayRoute;
  readonly model: string;
  /** Streams under way at once, on each way. */
  readonly concurrency: number;
  readonly tokens: number;
  readonly seconds: number;
}

/** Durations of one way, in milliseconds. */
export interface RouteResult {
  readonly streams: number;
  readonly events: number;
  readonly firstToken: Percentiles;
  readonly tokenGap: Percentiles;
  readonly eventsPerSecond: number;
}

const MICROSECONDS_PER_MS = 1000;
const MS_PER_SECOND = 1000;

export class RelayBench {
  readonly #options: RelayBenchOptions;
  readonly #agent = new Agent({ connections: 512 });
  #next = 0;

  constructor(options: RelayBenchOptions) {
    this.#options = options;
  }

  /** Runs both ways at the same time, so that both see the same engine. */
  async compare(): Promise<{ direct: RouteResult; routed: RouteResult }> {
    const { direct, routed, concurrency } = this.#options;
    const [first, second] = await Promise.all([
      this.#run(direct, concurrency),
      this.#run(routed, concurrency),
    ]);
    return { direct: first, routed: second };
  }

  /** Runs the router's way alone. */
  async saturate(): Promise<RouteResult> {
    return this.#run(this.#options.routed, this.#options.concurrency);
  }

  close(): Promise<void> {
    return this.#agent.close();
  }

  async #run(route: RelayRoute, concurrency: number): Promise<RouteResult> {
    const course = new Course();
    const began = performance.now();
    const end = began + this.#options.seconds * MS_PER_SECOND;
    const lanes = Array.from({ length: concurrency }, async () => {
      while (performance.now() < end) {
        await this.#stream(route, course);
      }
    });
    await Promise.all(lanes);
    return course.result((performance.now() - began) / MS_PER_SECOND);
  }

  async #stream(route: RelayRoute, course: Course): Promise<void> {
    this.#next += 1;
    const { model, tokens } = this.#options;
    const content = `question ${this.#next}`;
    const began = performance.now();
    const { statusCode, body } = await request(
      `${route.url}/v1/chat/completions`,
      {
        method: 'POST',
        dispatcher: this.#agent,
        headers: { 'content-type': 'application/json', ...route.headers },
        body: JSON.stringify({
          model,
          stream: true,
          max_tokens: tokens,
          messages: [{ role: 'user', content }],
        }),
      },
    );
    if (statusCode !== 200) {
      await body.dump();
      course.refused += 1;
      return;
    }
    await course.follow(body, began);
  }
}

/** Times of all streams of one way. */
class Course {
  readonly #firstToken = histogram();
  readonly #gap = histogram();
  #streams = 0;
  #events = 0;
  refused = 0;

  async follow(body: AsyncIterable<Uint8Array>, began: number): Promise<void> {
    let last = began;
    let seen = 0;
    const parser = createParser({
      onEvent: () => {
        const now = performance.now();
        const times = seen === 0 ? this.#firstToken : this.#gap;
        times.recordValue(Math.round((now - last) * MICROSECONDS_PER_MS));
        last = now;
        seen += 1;
      },
    });
    const decoder = new TextDecoder();
    for await (const chunk of body) {
      parser.feed(decoder.decode(chunk, { stream: true }));
    }
    this.#streams += 1;
    this.#events += seen;
  }

  result(seconds: number): RouteResult {
    return {
      streams: this.#streams,
      events: this.#events,
      firstToken: percentiles(this.#firstToken),
      tokenGap: percentiles(this.#gap),
      eventsPerSecond: this.#events / seconds,
    };
  }
}
