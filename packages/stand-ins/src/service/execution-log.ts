/** Log of every call that a plain service executed. */

/** One executed call. */
export interface ServiceExecution {
  readonly idempotencyKey?: string;
  readonly requestId?: string;
  readonly method: string;
  readonly path: string;
  /** SHA-256 of the body, in hexadecimal. */
  readonly bodyHash: string;
  /** Milliseconds since the Unix epoch. */
  readonly at: number;
}

/** Executed calls, and how many there were for each idempotency key and request id. */
export interface ExecutionReport {
  readonly total: number;
  readonly byKey: Readonly<Record<string, number>>;
  readonly byRequest: Readonly<Record<string, number>>;
  readonly executions: readonly ServiceExecution[];
}

function increment(
  counts: Map<string, number>,
  name: string | undefined,
): number {
  if (name === undefined) {
    return 0;
  }
  const value = (counts.get(name) ?? 0) + 1;
  counts.set(name, value);
  return value;
}

export class ExecutionLog {
  readonly #executions: ServiceExecution[] = [];
  readonly #byKey = new Map<string, number>();
  readonly #byRequest = new Map<string, number>();

  /** Records a call and returns the number of calls executed so far. */
  add(execution: ServiceExecution): number {
    this.#executions.push(execution);
    increment(this.#byKey, execution.idempotencyKey);
    increment(this.#byRequest, execution.requestId);
    return this.#executions.length;
  }

  report(): ExecutionReport {
    return {
      total: this.#executions.length,
      byKey: Object.fromEntries(this.#byKey),
      byRequest: Object.fromEntries(this.#byRequest),
      executions: this.#executions,
    };
  }
}
