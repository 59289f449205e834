/** Watches engines, services and routers during a run through their own reports. */
import { request } from 'undici';
import type { Agent } from 'undici';
import { z } from 'zod';

import { quantile } from './latencies';

const REPORT_TIMEOUT_MS = 2000;
const RECORD_TIMEOUT_MS = 15_000;

const vmsSchema = z.object({
  vms: z.array(
    z.looseObject({
      vm: z.string(),
      kind: z.enum(['router', 'engine', 'service']),
      host: z.string(),
      port: z.number(),
      state: z.enum(['live', 'leaving']),
    }),
  ),
});

const engineSchema = z.looseObject({
  sentLate: z.number(),
  running: z.number(),
  down: z.boolean(),
  leaving: z.boolean(),
});

const statusSchema = z.looseObject({
  controlBytesPerSecond: z.number().optional(),
});

const runsSchema = z.object({
  runs: z.array(
    z.looseObject({ attempt: z.string(), contentHash: z.string() }),
  ),
});

const executionsSchema = z.looseObject({
  sentLate: z.number(),
  byKey: z.record(z.string(), z.number()),
  executions: z.array(z.looseObject({ path: z.string() })),
});

/** Mean and spread of the most loaded engine's load against the mean. */
export interface Skew {
  readonly samples: number;
  readonly mean: number;
  readonly p99: number;
}

/** What the endpoints say ran. */
export interface FleetRecords {
  readonly contentHashes: ReadonlySet<string>;
  readonly executionsByKey: ReadonlyMap<string, number>;
  readonly executedPaths: ReadonlySet<string>;
  /** Requests sent to endpoints long after they began to leave. */
  readonly sentLate: number;
  /** VMs whose record could not be read. */
  readonly missing: readonly string[];
}

interface SeenVm {
  readonly kind: 'engine' | 'service';
  readonly url: string;
}

export interface FleetObserverOptions {
  /** Base URL of the stand-in platform; without it nothing is observed. */
  readonly platform?: string | undefined;
  /** Base URLs of the routers' operator interfaces. */
  readonly operators: readonly string[];
  readonly operatorToken?: string | undefined;
}

export class FleetObserver {
  readonly #options: FleetObserverOptions;
  readonly #agent: Agent;
  readonly #seen = new Map<string, SeenVm>();
  readonly #skews: [at: number, skew: number][] = [];
  readonly #controlBytes: number[] = [];

  constructor(options: FleetObserverOptions, agent: Agent) {
    this.#options = options;
    this.#agent = agent;
  }

  /** Takes one sample; whatever does not answer is left out. */
  async sample(at: number): Promise<void> {
    await Promise.all([this.#sampleEngines(at), this.#sampleRouters()]);
  }

  skew(): Skew {
    const values = this.#skews.map(([, skew]) => skew);
    const sum = values.reduce((total, value) => total + value, 0);
    return {
      samples: values.length,
      mean: values.length === 0 ? 0 : sum / values.length,
      p99: quantile(values, 0.99),
    };
  }

  /** Max over mean of running requests at each sample. */
  skewSamples(): readonly [at: number, skew: number][] {
    return this.#skews;
  }

  /** Mean over routers and samples; undefined when no router reports it. */
  controlBytesPerSecond(): number | undefined {
    const values = this.#controlBytes;
    return values.length === 0
      ? undefined
      : values.reduce((total, value) => total + value, 0) / values.length;
  }

  /** Reads the records of every endpoint that was ever listed. */
  async records(): Promise<FleetRecords> {
    await this.#refresh();
    const contentHashes = new Set<string>();
    const executionsByKey = new Map<string, number>();
    const executedPaths = new Set<string>();
    const missing: string[] = [];
    let sentLate = 0;
    for (const [vm, { kind, url }] of this.#seen) {
      const path = kind === 'engine' ? 'runs' : 'executions';
      const record = await this.#get(
        `${url}/control/${path}`,
        RECORD_TIMEOUT_MS,
      );
      const runs = runsSchema.safeParse(record);
      const executions = executionsSchema.safeParse(record);
      if (kind === 'engine' && runs.success) {
        const state = await this.#get(`${url}/control`, REPORT_TIMEOUT_MS);
        sentLate += engineSchema.safeParse(state).data?.sentLate ?? 0;
        runs.data.runs.forEach(run => contentHashes.add(run.contentHash));
      } else if (kind === 'service' && executions.success) {
        sentLate += executions.data.sentLate;
        for (const [key, count] of Object.entries(executions.data.byKey)) {
          const bare = key.replaceAll('"', '');
          executionsByKey.set(bare, (executionsByKey.get(bare) ?? 0) + count);
        }
        executions.data.executions.forEach(call =>
          executedPaths.add(call.path),
        );
      } else {
        missing.push(vm);
      }
    }
    return {
      contentHashes,
      executionsByKey,
      executedPaths,
      sentLate,
      missing,
    };
  }

  async #sampleEngines(at: number): Promise<void> {
    const engines = await this.#refresh();
    const reports = await Promise.all(
      engines.map(url => this.#get(`${url}/control`, REPORT_TIMEOUT_MS)),
    );
    const running = reports.flatMap(report => {
      const { data } = engineSchema.safeParse(report);
      return data && !data.down && !data.leaving ? [data.running] : [];
    });
    const mean =
      running.reduce((total, value) => total + value, 0) / running.length;
    if (mean > 0) {
      this.#skews.push([at, Math.max(...running) / mean]);
    }
  }

  async #sampleRouters(): Promise<void> {
    const { operators, operatorToken } = this.#options;
    const headers =
      operatorToken === undefined
        ? undefined
        : { authorization: `Bearer ${operatorToken}` };
    const reports = await Promise.all(
      operators.map(url =>
        this.#get(`${url}/status`, REPORT_TIMEOUT_MS, headers),
      ),
    );
    for (const report of reports) {
      const bytes = statusSchema.safeParse(report).data?.controlBytesPerSecond;
      if (bytes !== undefined) {
        this.#controlBytes.push(bytes);
      }
    }
  }

  /** Reads the list of VMs and returns the addresses of the listed engines. */
  async #refresh(): Promise<string[]> {
    const { platform } = this.#options;
    if (platform === undefined) {
      return [];
    }
    const list = await this.#get(`${platform}/control/vms`, REPORT_TIMEOUT_MS);
    const { data } = vmsSchema.safeParse(list);
    const engines: string[] = [];
    for (const { vm, kind, host, port } of data?.vms ?? []) {
      const url = `http://${host}:${port}`;
      if (kind !== 'router') {
        this.#seen.set(vm, { kind, url });
      }
      if (kind === 'engine') {
        engines.push(url);
      }
    }
    return engines;
  }

  /** Returns the JSON answer, or undefined when there is none. */
  async #get(
    url: string,
    timeoutMs: number,
    headers?: Record<string, string>,
  ): Promise<unknown> {
    try {
      const answer = await request(url, {
        dispatcher: this.#agent,
        signal: AbortSignal.timeout(timeoutMs),
        headers: headers ?? {},
      });
      return await answer.body.json();
    } catch {
      return undefined;
    }
  }
}
