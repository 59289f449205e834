/** Requests at endpoints as each router sees them: its own exactly, the others' some time late. */

/** A running request, by the indexes of its router and endpoint. */
export interface Placed {
  readonly router: number;
  readonly endpoint: number;
}

export class LateView {
  readonly #endpoints: number;
  readonly #own: Int32Array;
  readonly #lateOwn: Int32Array;
  readonly #lateTotal: Int32Array;
  /** The true loads. */
  readonly loads: Int32Array;
  /** Requests at all endpoints. */
  total = 0;

  constructor(routers: number, endpoints: number) {
    this.#endpoints = endpoints;
    this.#own = new Int32Array(routers * endpoints);
    this.#lateOwn = new Int32Array(routers * endpoints);
    this.#lateTotal = new Int32Array(endpoints);
    this.loads = new Int32Array(endpoints);
  }

  /** Records that a request begins (1) or ends (-1). */
  change({ router, endpoint }: Placed, by: 1 | -1): void {
    add(this.#own, router * this.#endpoints + endpoint, by);
    add(this.loads, endpoint, by);
    this.total += by;
  }

  /** Shows a change to all routers, some time after it. */
  show({ router, endpoint }: Placed, by: 1 | -1): void {
    add(this.#lateOwn, router * this.#endpoints + endpoint, by);
    add(this.#lateTotal, endpoint, by);
  }

  own(router: number, endpoint: number): number {
    return this.#own[router * this.#endpoints + endpoint] ?? 0;
  }

  /** The requests of other routers, as a router sees them. */
  others(router: number, endpoint: number): number {
    const total = this.#lateTotal[endpoint] ?? 0;
    return total - (this.#lateOwn[router * this.#endpoints + endpoint] ?? 0);
  }
}

function add(counts: Int32Array, at: number, by: number): void {
  counts[at] = (counts[at] ?? 0) + by;
}
