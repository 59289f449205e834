/** Samples the engines and routers during a run, and reads the records of endpoints after it. */
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

/** Load of the most loaded engine divided by the mean load: mean and p99 over the samples. */
export interface Skew {
  readonly samples: number;
  readonly mean: number;
  readonly p99: number;
}

/** Requests that the endpoints recorded as run. */
export interface FleetRecords {
  readonly contentHashes: ReadonlySet<string>;
  readonly executionsByKey: ReadonlyMap<string, number>;
  readonly executedPaths: ReadonlySet<string>;
  /** Requests sent to endpoints long after they announced that they are leaving. */
  readonly sentLate: number;
  /** VMs whose records could not be read. */
  readonly missing: readonly string[];
}

/** An endpoint that was on the VM list at any time of the run. */
interface ObservedVm {
  readonly kind: 'engine' | 'service';
  readonly url: string;
}

export interface FleetObserverOptions {
  /** Base URL of the stand-in platform; without it no endpoint is observed. */
  readonly platform?: string | undefined;
  /** Base URLs of the routers' operator interfaces. */
  readonly operators: readonly string[];
  readonly operatorToken?: string | undefined;
}

export class FleetObserver {
  readonly #options: FleetObserverOptions;
  readonly #agent: Agent;
  readonly #observedVms = new Map<string, ObservedVm>();
  readonly #skews: [at: number, skew: number][] = [];
  readonly #controlBytes: number[] = [];

  constructor(options: FleetObserverOptions, agent: Agent) {
    this.#options = options;
    this.#agent = agent;
  }

  /** Takes one sample; engines and routers that do not respond are omitted. */
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

  /** Maximum over mean of the engines' running requests, at each sample. */
  skewSamples(): readonly [at: number, skew: number][] {
    return this.#skews;
  }

  /** Mean over all routers and samples; undefined when no router reports it. */
  controlBytesPerSecond(): number | undefined {
    const values = this.#controlBytes;
    return values.length === 0
      ? undefined
      : values.reduce((total, value) => total + value, 0) / values.length;
  }

  /** Reads the records of every endpoint that was on the VM list during the run. */
  async records(): Promise<FleetRecords> {
    await this.#refreshVms();
    const contentHashes = new Set<string>();
    const executionsByKey = new Map<string, number>();
    const executedPaths = new Set<string>();
    const missing: string[] = [];
    let sentLate = 0;
    for (const [vm, { kind, url }] of this.#observedVms) {
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
          const unquotedKey = key.replaceAll('"', '');
          executionsByKey.set(
            unquotedKey,
            (executionsByKey.get(unquotedKey) ?? 0) + count,
          );
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
    const engines = await this.#refreshVms();
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

  /** Reads the VM list, remembers its endpoints and returns the base URLs of its engines. */
  async #refreshVms(): Promise<string[]> {
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
        this.#observedVms.set(vm, { kind, url });
      }
      if (kind === 'engine') {
        engines.push(url);
      }
    }
    return engines;
  }

  /** Returns the JSON body of the response, or undefined when there is none. */
  async #get(
    url: string,
    timeoutMs: number,
    headers?: Record<string, string>,
  ): Promise<unknown> {
    try {
      const response = await request(url, {
        dispatcher: this.#agent,
        signal: AbortSignal.timeout(timeoutMs),
        headers: headers ?? {},
      });
      return await response.body.json();
    } catch {
      return undefined;
    }
  }
}
