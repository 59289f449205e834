/** Events of a measurement in order of time. */

export interface TimedEvent {
  readonly at: number;
  readonly run: () => void;
}

/** A binary heap; events of the same time run in order of insertion. */
export class EventQueue {
  readonly #heap: (TimedEvent & { readonly order: number })[] = [];
  #inserted = 0;

  /** Time of the earliest event; undefined when there is none. */
  get nextAt(): number | undefined {
    return this.#heap[0]?.at;
  }

  add(at: number, run: () => void): void {
    const event = { at, run, order: this.#inserted };
    this.#inserted += 1;
    this.#heap.push(event);
    this.#rise(this.#heap.length - 1);
  }

  /** Removes and returns the earliest event. */
  take(): TimedEvent | undefined {
    const first = this.#heap[0];
    const last = this.#heap.pop();
    if (!first || !last || this.#heap.length === 0) {
      return first;
    }
    this.#heap[0] = last;
    this.#sink();
    return first;
  }

  #before(left: number, right: number): boolean {
    const one = this.#heap[left];
    const other = this.#heap[right];
    if (!one || !other) {
      return one !== undefined;
    }
    return (
      one.at < other.at || (one.at === other.at && one.order < other.order)
    );
  }

  #swap(left: number, right: number): void {
    const one = this.#heap[left];
    const other = this.#heap[right];
    if (one && other) {
      this.#heap[left] = other;
      this.#heap[right] = one;
    }
  }

  #rise(start: number): void {
    let index = start;
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (!this.#before(index, parent)) {
        return;
      }
      this.#swap(index, parent);
      index = parent;
    }
  }

  #sink(): void {
    let index = 0;
    for (;;) {
      const left = 2 * index + 1;
      const child = this.#before(left + 1, left) ? left + 1 : left;
      if (!this.#before(child, index)) {
        return;
      }
      this.#swap(index, child);
      index = child;
    }
  }
}
