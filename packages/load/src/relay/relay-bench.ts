/** Compares the latency of streams through a router with that of streams directly from the engine. */
import { createParser } from 'eventsource-parser';
import { Agent, request } from 'undici';

import { histogram, percentiles } from '../measures/latencies';
import type { Percentiles } from '../measures/latencies';

/** One route to the engine: direct or through a router. */
export interface RelayRoute {
  readonly url: string;
  readonly headers: Readonly<Record<string, string>>;
}

export interface RelayBenchOptions {
  readonly direct: RelayRoute;
  readonly routed: RelayRoute;
  readonly model: string;
  /** Concurrent streams on each route. */
  readonly concurrency: number;
  readonly tokens: number;
  readonly seconds: number;
}

/** Latencies (in milliseconds) and throughput of one route. */
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
  #streamNumber = 0;

  constructor(options: RelayBenchOptions) {
    this.#options = options;
  }

  /** Measures both routes at the same time, so that both see the engine under the same load. */
  async compare(): Promise<{ direct: RouteResult; routed: RouteResult }> {
    const { direct, routed, concurrency } = this.#options;
    const [first, second] = await Promise.all([
      this.#run(direct, concurrency),
      this.#run(routed, concurrency),
    ]);
    return { direct: first, routed: second };
  }

  /** Measures the route through the router alone. */
  async saturate(): Promise<RouteResult> {
    return this.#run(this.#options.routed, this.#options.concurrency);
  }

  close(): Promise<void> {
    return this.#agent.close();
  }

  async #run(route: RelayRoute, concurrency: number): Promise<RouteResult> {
    const measurement = new RouteMeasurement();
    const startedAt = performance.now();
    const end = startedAt + this.#options.seconds * MS_PER_SECOND;
    const workers = Array.from({ length: concurrency }, async () => {
      while (performance.now() < end) {
        await this.#stream(route, measurement);
      }
    });
    await Promise.all(workers);
    return measurement.result((performance.now() - startedAt) / MS_PER_SECOND);
  }

  async #stream(
    route: RelayRoute,
    measurement: RouteMeasurement,
  ): Promise<void> {
    this.#streamNumber += 1;
    const { model, tokens } = this.#options;
    const content = `question ${this.#streamNumber}`;
    const startedAt = performance.now();
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
      measurement.refused += 1;
      return;
    }
    await measurement.readStream(body, startedAt);
  }
}

/** Collects the latencies of all streams of one route. */
class RouteMeasurement {
  readonly #firstToken = histogram();
  readonly #gap = histogram();
  #streams = 0;
  #events = 0;
  refused = 0;

  async readStream(
    body: AsyncIterable<Uint8Array>,
    startedAt: number,
  ): Promise<void> {
    let previousAt = startedAt;
    let events = 0;
    const parser = createParser({
      onEvent: () => {
        const now = performance.now();
        const latencies = events === 0 ? this.#firstToken : this.#gap;
        latencies.recordValue(
          Math.round((now - previousAt) * MICROSECONDS_PER_MS),
        );
        previousAt = now;
        events += 1;
      },
    });
    const decoder = new TextDecoder();
    for await (const chunk of body) {
      parser.feed(decoder.decode(chunk, { stream: true }));
    }
    this.#streams += 1;
    this.#events += events;
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
