/** Times at which requests arrive at a server, and the most of them in any window. */
export class ArrivalLog {
  /** Milliseconds on the monotonic clock, in order. */
  readonly #times: number[] = [];

  get count(): number {
    return this.#times.length;
  }

  record(): void {
    this.#times.push(performance.now());
  }

  /** The most arrivals in any window of the length, of those that came after a time. */
  mostWithin(window: number, after = 0): number {
    const times = this.#times.filter(time => time >= after);
    let most = 0;
    let first = 0;
    times.forEach((time, index) => {
      while (time - (times[first] ?? time) >= window) {
        first += 1;
      }
      most = Math.max(most, index - first + 1);
    });
    return most;
  }
}
