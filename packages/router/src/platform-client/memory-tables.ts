/** In-memory table service with versioned rows and conditional transactions; does no I/O. */
import type {
  ReadResponse,
  RowVersion,
  TableOperation,
  TableRow,
} from '@sesamegrade/core/types/platform';
import type { ScanRequest } from './platform-client';

/** Result of a transaction. */
export type TransactionResult =
  | { readonly kind: 'committed'; readonly versions: readonly RowVersion[] }
  | { readonly kind: 'conflict'; readonly operation: number };

/** One page of a scan. */
export interface RowPage {
  readonly kind: 'rows';
  readonly rows: readonly TableRow[];
  readonly next?: string;
}

const DEFAULT_PAGE_ROWS = 1000;

export class MemoryTables {
  readonly #tables = new Map<string, Map<string, TableRow>>();
  #version: RowVersion = 0;
  #rowWrites = 0;

  /** Number of rows written or checked since the start; the platform's write limit counts these. */
  get rowWrites(): number {
    return this.#rowWrites;
  }

  read(
    table: string,
    key: string,
  ): Extract<ReadResponse, { kind: 'found' | 'absent' }> {
    const row = this.#tables.get(table)?.get(key);
    return row ? { kind: 'found', row } : { kind: 'absent' };
  }

  /** Applies all operations atomically, or none when a condition does not hold. */
  write(operations: readonly TableOperation[]): TransactionResult {
    const conflicting = operations.findIndex(
      operation => !this.#conditionHolds(operation),
    );
    if (conflicting >= 0) {
      return { kind: 'conflict', operation: conflicting };
    }
    this.#rowWrites += operations.length;
    const versions = operations.map(operation => this.#apply(operation));
    return { kind: 'committed', versions };
  }

  scan(request: ScanRequest): RowPage {
    const { prefix = '', after = '', limit = DEFAULT_PAGE_ROWS } = request;
    const rows = [...(this.#tables.get(request.table)?.values() ?? [])];
    const matching = rows.filter(
      row => row.key.startsWith(prefix) && row.key > after,
    );
    matching.sort((left, right) => (left.key < right.key ? -1 : 1));
    const page = matching.slice(0, limit);
    const last = page.at(-1);
    return matching.length > page.length && last
      ? { kind: 'rows', rows: page, next: last.key }
      : { kind: 'rows', rows: page };
  }

  #conditionHolds({ table, key, condition }: TableOperation): boolean {
    const row = this.#tables.get(table)?.get(key);
    switch (condition.kind) {
      case 'absent':
        return row === undefined;
      case 'version':
        return row?.version === condition.version;
      case 'none':
        return true;
    }
  }

  #apply({ table, key, change }: TableOperation): RowVersion {
    const rows = this.#tables.get(table) ?? new Map<string, TableRow>();
    this.#tables.set(table, rows);
    switch (change.kind) {
      case 'put':
        this.#version += 1;
        rows.set(key, {
          table,
          key,
          version: this.#version,
          value: structuredClone(change.value),
        });
        return this.#version;
      case 'delete':
        rows.delete(key);
        return this.#version;
      case 'check':
        return rows.get(key)?.version ?? 0;
    }
  }
}
