/** In-memory table of rows of one type, keyed by id and iterated in insertion order. */
export class Table<Id extends string, Row extends { readonly id: Id }> {
  readonly #rows = new Map<Id, Row>();

  get size(): number {
    return this.#rows.size;
  }

  get(id: Id): Row | undefined {
    return this.#rows.get(id);
  }

  has(id: Id): boolean {
    return this.#rows.has(id);
  }

  put(row: Row): void {
    this.#rows.set(row.id, row);
  }

  /** Replaces some fields of a row; returns false if there is no such row. */
  patch(id: Id, fields: Partial<Omit<Row, 'id'>>): boolean {
    const row = this.#rows.get(id);
    if (!row) {
      return false;
    }
    this.#rows.set(id, { ...row, ...fields });
    return true;
  }

  delete(id: Id): boolean {
    return this.#rows.delete(id);
  }

  /** Iterates over the rows; the current row may be deleted meanwhile. */
  rows(): IterableIterator<Row> {
    return this.#rows.values();
  }

  ids(): IterableIterator<Id> {
    return this.#rows.keys();
  }
}
