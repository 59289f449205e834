/** Runs actions in order of their due time, on a clock of its own. */
import type { Instant, Milliseconds } from '@sesamegrade/core/types/units';
import { addTime, instant } from '@sesamegrade/core/types/units';

interface Entry {
  readonly due: Instant;
  readonly sequence: number;
  readonly action: () => void;
}

export class Schedule {
  readonly #heap: Entry[] = [];
  #now = instant(0);
  #sequence = 0;

  get now(): Instant {
    return this.#now;
  }

  /** Runs an action after a delay; equal due times keep the order of calls. */
  after(delay: Milliseconds, action: () => void): void {
    this.#sequence += 1;
    this.#push({
      due: addTime(this.#now, delay),
      sequence: this.#sequence,
      action,
    });
  }

  /** Runs everything that is due until the given time. */
  runUntil(end: Instant): void {
    for (
      let next = this.#heap[0];
      next !== undefined && next.due <= end;
      next = this.#heap[0]
    ) {
      this.#pop();
      this.#now = next.due;
      next.action();
    }
    this.#now = end;
  }

  #push(entry: Entry): void {
    const heap = this.#heap;
    let index = heap.length;
    heap.push(entry);
    while (index > 0) {
      const parent = (index - 1) >> 1;
      const above = heap[parent];
      if (above === undefined || !isBefore(entry, above)) {
        break;
      }
      heap[index] = above;
      index = parent;
    }
    heap[index] = entry;
  }

  #pop(): void {
    const heap = this.#heap;
    const last = heap.pop();
    if (last === undefined || heap.length === 0) {
      return;
    }
    let index = 0;
    for (;;) {
      const child = this.#earlierChild(index);
      const below = heap[child];
      if (below === undefined || !isBefore(below, last)) {
        break;
      }
      heap[index] = below;
      index = child;
    }
    heap[index] = last;
  }

  #earlierChild(index: number): number {
    const left = 2 * index + 1;
    const leftEntry = this.#heap[left];
    const rightEntry = this.#heap[left + 1];
    const rightIsEarlier =
      leftEntry !== undefined &&
      rightEntry !== undefined &&
      isBefore(rightEntry, leftEntry);
    return rightIsEarlier ? left + 1 : left;
  }
}

function isBefore(left: Entry, right: Entry): boolean {
  return (
    left.due < right.due ||
    (left.due === right.due && left.sequence < right.sequence)
  );
}
