/** Events of a simulation in order of time. */

export interface TimedEvent {
  readonly at: number;
  readonly run: () => void;
}

/** A binary heap; events at the same time are taken in order of insertion. */
export class EventQueue {
  readonly #heap: (TimedEvent & { readonly sequence: number })[] = [];
  #nextSequence = 0;

  /** Time of the earliest event; undefined if there is none. */
  get nextAt(): number | undefined {
    return this.#heap[0]?.at;
  }

  add(at: number, run: () => void): void {
    const event = { at, run, sequence: this.#nextSequence };
    this.#nextSequence += 1;
    this.#heap.push(event);
    this.#siftUp(this.#heap.length - 1);
  }

  /** Removes and returns the earliest event. */
  take(): TimedEvent | undefined {
    const first = this.#heap[0];
    const last = this.#heap.pop();
    if (!first || !last || this.#heap.length === 0) {
      return first;
    }
    this.#heap[0] = last;
    this.#siftDown();
    return first;
  }

  #isBefore(left: number, right: number): boolean {
    const one = this.#heap[left];
    const other = this.#heap[right];
    if (!one || !other) {
      return one !== undefined;
    }
    return (
      one.at < other.at ||
      (one.at === other.at && one.sequence < other.sequence)
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

  #siftUp(start: number): void {
    let index = start;
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (!this.#isBefore(index, parent)) {
        return;
      }
      this.#swap(index, parent);
      index = parent;
    }
  }

  #siftDown(): void {
    let index = 0;
    for (;;) {
      const left = 2 * index + 1;
      const child = this.#isBefore(left + 1, left) ? left + 1 : left;
      if (!this.#isBefore(child, index)) {
        return;
      }
      this.#swap(index, child);
      index = child;
    }
  }
}
