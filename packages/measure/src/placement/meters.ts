/** Measures of one simulation run, and the meters that collect them. */
import type { SimulatedEngine } from './simulated-engine';

export interface Measures {
  /** Fraction of the returning chats' requests that found their context cached. */
  readonly reuse: number;
  readonly skewMean: number;
  /** 99th percentile over time of the ratio of the highest load to the mean load. */
  readonly skewP99: number;
  /** Seconds that engines spent above the bound, summed over all engines. */
  readonly engineSecondsAbove: number;
  readonly refused: number;
  readonly requests: number;
  /** Load checks per request. */
  readonly questionsPerRequest: number;
  /** Mean control bytes that a router sends per second: messages, headers and health checks. */
  readonly bytesPerRouterSecond: number;
  /** Control bytes per second of the router that sends most. */
  readonly bytesOfBusiestRouter: number;
  /** Root mean square error of routers' estimates of an engine's load, in requests. */
  readonly estimateError: number;
  readonly decisionMicroseconds: number;
}

/** Samples how evenly the load is distributed over the engines. */
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

  percentile(fraction: number): number {
    const sorted = [...this.#ratios].sort((left, right) => left - right);
    return sorted[Math.floor(fraction * (sorted.length - 1))] ?? 0;
  }
}

/** Counts the control bytes that each router sends. */
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

/** Collects the errors of load estimates. */
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
