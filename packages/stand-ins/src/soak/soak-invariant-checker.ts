/** What callers and endpoints saw in a soak, and which promises that breaks. */

/** How an endpoint was addressed when it ran a request. */
export interface SoakRun {
  readonly request: string;
  readonly endpoint: string;
  /** Milliseconds since the start of the soak. */
  readonly at: number;
}

export interface SoakResponse {
  readonly request: string;
  readonly status: number;
  /** The whole body; undefined when the answer broke off. */
  readonly body: string | undefined;
}

export interface SoakViolation {
  readonly promise: 'at-most-once' | 'not-run' | 'own-answer' | 'leaving';
  readonly request: string;
  readonly detail: string;
}

/** Time after which an endpoint that is known to leave gets nothing more. */
const LEAVING_BOUND_MS = 2000;
const STATUS_OK = 200;
/** Statuses by which a router promises that nothing ran. */
const NOT_RUN: ReadonlySet<number> = new Set([408, 421, 429, 503]);

export class SoakInvariantChecker {
  readonly #once = new Set<string>();
  readonly #runs = new Map<string, SoakRun[]>();
  readonly #answers: SoakResponse[] = [];
  readonly #leaving = new Map<string, number>();

  /** Notes a request before it is sent; `once` when it may not be repeated. */
  recordRequest(request: string, once: boolean): void {
    if (once) {
      this.#once.add(request);
    }
  }

  recordRun(run: SoakRun): void {
    const runs = this.#runs.get(run.request) ?? [];
    runs.push(run);
    this.#runs.set(run.request, runs);
  }

  recordResponse(answer: SoakResponse): void {
    this.#answers.push(answer);
  }

  /** Notes that the store acknowledged an endpoint's leaving while it could be read. */
  recordLeaving(endpoint: string, at: number): void {
    this.#leaving.set(endpoint, at);
  }

  /** The body with which an endpoint answers a request, so that each is told apart. */
  static responseBody(request: string): string {
    return `answer to ${request}`;
  }

  get served(): number {
    return this.#answers.filter(
      ({ status, body }) => status === STATUS_OK && body !== undefined,
    ).length;
  }

  violations(): SoakViolation[] {
    return [
      ...this.#repeated(),
      ...this.#answers.flatMap(answer => this.#untrue(answer)),
      ...this.#late(),
    ];
  }

  #repeated(): SoakViolation[] {
    return [...this.#once]
      .map(request => this.#runs.get(request) ?? [])
      .filter(runs => runs.length > 1)
      .map(runs => ({
        promise: 'at-most-once',
        request: runs[0]?.request ?? '',
        detail: runs.map(({ endpoint, at }) => `${endpoint}@${at}`).join(' '),
      }));
  }

  #untrue({ request, status, body }: SoakResponse): SoakViolation[] {
    const runs = this.#runs.get(request)?.length ?? 0;
    if (NOT_RUN.has(status) && runs > 0 && this.#once.has(request)) {
      const detail = `status ${status} after ${runs} runs`;
      return [{ promise: 'not-run', request, detail }];
    }
    const isOwn =
      body === undefined || body === SoakInvariantChecker.responseBody(request);
    return status === STATUS_OK && !isOwn
      ? [{ promise: 'own-answer', request, detail: body }]
      : [];
  }

  #late(): SoakViolation[] {
    return [...this.#runs.values()].flat().flatMap(run => {
      const left = this.#leaving.get(run.endpoint);
      return left !== undefined && run.at > left + LEAVING_BOUND_MS
        ? [
            {
              promise: 'leaving' as const,
              request: run.request,
              detail: `${run.endpoint} left at ${left}, ran at ${run.at}`,
            },
          ]
        : [];
    });
  }
}
