/** Counters by name, in total and per second. */

const MS_PER_SECOND = 1000;

export class SecondCounts {
  readonly #totals = new Map<string, number>();
  readonly #seconds = new Map<string, Map<number, number>>();

  /** @param at milliseconds from the start of the run */
  add(name: string, at: number): void {
    this.#totals.set(name, this.total(name) + 1);
    const second = Math.floor(at / MS_PER_SECOND);
    const seconds = this.#seconds.get(name) ?? new Map<number, number>();
    seconds.set(second, (seconds.get(second) ?? 0) + 1);
    this.#seconds.set(name, seconds);
  }

  total(name: string): number {
    return this.#totals.get(name) ?? 0;
  }

  /** Names with a count, in alphabetical order. */
  names(): string[] {
    return [...this.#totals.keys()].sort();
  }

  /** Counts of the first `seconds` seconds; 0 for seconds without any. */
  bySecond(name: string, seconds: number): [second: number, count: number][] {
    const counts = this.#seconds.get(name);
    return Array.from({ length: seconds }, (_, second) => [
      second,
      counts?.get(second) ?? 0,
    ]);
  }
}
