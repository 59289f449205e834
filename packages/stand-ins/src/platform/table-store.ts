/** Versioned rows with conditional writes, transactions and prefix scans. */
import type {
  Condition,
  RowVersion,
  TableOperation,
  TableRow,
} from '@sesamegrade/core/types/platform';
import { fail, succeed } from '@sesamegrade/core/types/result';
import type { Result } from '@sesamegrade/core/types/result';

interface StoredValue {
  readonly version: RowVersion;
  readonly value: unknown;
}

/** One page of a scan. */
export interface ScanPage {
  readonly rows: readonly TableRow[];
  /** Key after which the next page starts; absent on the last page. */
  readonly next?: string;
}

/** Index of the first operation whose condition was not met; no operation was applied. */
export interface ConditionFailure {
  readonly kind: 'condition-failed';
  readonly operation: number;
}

/** Rows of one table. Its keys are sorted again only after one was added or removed. */
class StoredTable {
  readonly rows = new Map<string, StoredValue>();
  #sortedKeyCache: string[] | undefined;

  put(key: string, stored: StoredValue): void {
    if (!this.rows.has(key)) {
      this.#sortedKeyCache = undefined;
    }
    this.rows.set(key, stored);
  }

  delete(key: string): void {
    if (this.rows.delete(key)) {
      this.#sortedKeyCache = undefined;
    }
  }

  sortedKeys(): readonly string[] {
    this.#sortedKeyCache ??= [...this.rows.keys()].sort();
    return this.#sortedKeyCache;
  }
}

export class TableStore {
  readonly #tables = new Map<string, StoredTable>();
  #version: RowVersion = 0;

  get(table: string, key: string): TableRow | undefined {
    const stored = this.#tables.get(table)?.rows.get(key);
    return stored && { table, key, ...stored };
  }

  /** Applies all operations, or none if the condition of one is not met. */
  transact(
    operations: readonly TableOperation[],
  ): Result<RowVersion[], ConditionFailure> {
    const failedIndex = operations.findIndex(
      operation => !this.#isConditionMet(operation),
    );
    if (failedIndex >= 0) {
      return fail({ kind: 'condition-failed', operation: failedIndex });
    }
    return succeed(operations.map(operation => this.#apply(operation)));
  }

  /**
   * Returns the rows whose key has the prefix, sorted by key.
   * @param after key after which the page starts; undefined for the first page
   */
  scan(
    table: string,
    prefix: string,
    after: string | undefined,
    limit: number,
  ): ScanPage {
    const stored = this.#tables.get(table);
    const keys = (stored?.sortedKeys() ?? []).filter(
      key => key.startsWith(prefix) && (after === undefined || key > after),
    );
    const rows = keys.slice(0, limit).flatMap(key => {
      const row = this.get(table, key);
      return row ? [row] : [];
    });
    const last = rows.at(-1);
    return keys.length > limit && last ? { rows, next: last.key } : { rows };
  }

  #isConditionMet({ table, key, condition }: TableOperation): boolean {
    const version = this.#tables.get(table)?.rows.get(key)?.version;
    return isConditionMet(condition, version);
  }

  #apply({ table, key, change }: TableOperation): RowVersion {
    const stored = this.#table(table);
    if (change.kind === 'check') {
      return stored.rows.get(key)?.version ?? 0;
    }
    this.#version += 1;
    if (change.kind === 'put') {
      stored.put(key, { version: this.#version, value: change.value });
    } else {
      stored.delete(key);
    }
    return this.#version;
  }

  #table(name: string): StoredTable {
    const known = this.#tables.get(name);
    if (known) {
      return known;
    }
    const created = new StoredTable();
    this.#tables.set(name, created);
    return created;
  }
}

function isConditionMet(
  condition: Condition,
  version: RowVersion | undefined,
): boolean {
  switch (condition.kind) {
    case 'absent':
      return version === undefined;
    case 'version':
      return version === condition.version;
    case 'none':
      return true;
  }
}
