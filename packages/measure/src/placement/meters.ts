/** What one run is measured by. */
import type { SimulatedEngine } from './simulated-engine';

export interface Measures {
  /** Part of the returning requests that found their context. */
  readonly reuse: number;
  readonly skewMean: number;
  /** 99th percentile over time of the highest load over the mean load. */
  readonly skewP99: number;
  /** Seconds that engines spent above the bound, summed over engines. */
  readonly engineSecondsAbove: number;
  readonly refused: number;
  readonly requests: number;
  /** Questions to keepers for each request. */
  readonly questionsPerRequest: number;
  /** Control bytes that a router sends in a second: messages, headers, probes. */
  readonly bytesPerRouterSecond: number;
  /** The highest of the routers. */
  readonly bytesOfBusiestRouter: number;
  /** Root mean square error of routers' estimates of an engine's load, in requests. */
  readonly estimateError: number;
  readonly decisionMicroseconds: number;
}

/** Samples how evenly load is spread. */
export class SkewMeter {
  readonly #bound: number;
  readonly #ratios: number[] = [];
  #engineSecondsAbove = 0;

  constructor(bound: number) {
    this.#bound = bound;
  }

  sample(engines: readonly SimulatedEngine[], periodSeconds: number): void {
    const loads = engines.map(engine => engine.running);
    const mean = loads.reduce((sum, load) => sum + load, 0) / loads.length;
    if (!(mean > 0)) {
      return;
    }
    this.#ratios.push(Math.max(...loads) / mean);
    const limit = Math.ceil(this.#bound * mean);
    const above = loads.filter(load => load > limit).length;
    this.#engineSecondsAbove += above * periodSeconds;
  }

  get engineSecondsAbove(): number {
    return this.#engineSecondsAbove;
  }

  get mean(): number {
    const sum = this.#ratios.reduce((total, ratio) => total + ratio, 0);
    return sum / Math.max(1, this.#ratios.length);
  }

  percentile(part: number): number {
    const sorted = [...this.#ratios].sort((left, right) => left - right);
    return sorted[Math.floor(part * (sorted.length - 1))] ?? 0;
  }
}

/** Bytes that each router sends for control. */
export class ByteMeter {
  readonly #sent: number[];

  constructor(routers: number) {
    this.#sent = new Array<number>(routers).fill(0);
  }

  add(router: number, size: number): void {
    this.#sent[router] = (this.#sent[router] ?? 0) + size;
  }

  clear(): void {
    this.#sent.fill(0);
  }

  meanPerSecond(seconds: number): number {
    const sum = this.#sent.reduce((total, sent) => total + sent, 0);
    return sum / this.#sent.length / seconds;
  }

  highestPerSecond(seconds: number): number {
    return Math.max(...this.#sent) / seconds;
  }
}

/** How far estimates of load are from the truth. */
export class ErrorMeter {
  #squares = 0;
  #samples = 0;

  add(error: number): void {
    this.#squares += error * error;
    this.#samples += 1;
  }

  get rootMeanSquare(): number {
    return Math.sqrt(this.#squares / Math.max(1, this.#samples));
  }
}
