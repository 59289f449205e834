/**
 * Messages between the decisions and the platform's table service. The answer
 * to a write may be lost after it took effect: `unknown` says just that, and is
 * settled by a read.
 */

/** Version of one row, given by the table service at each write. */
export type RowVersion = number;

/** What must hold for a write to take effect. */
export type Condition =
  | { readonly kind: 'absent' }
  | { readonly kind: 'version'; readonly version: RowVersion }
  | { readonly kind: 'none' };

/** One row's change; several form a transaction that takes effect whole or not at all. */
export interface TableOperation {
  readonly table: string;
  readonly key: string;
  readonly condition: Condition;
  readonly change:
    | { readonly kind: 'put'; readonly value: unknown }
    | { readonly kind: 'delete' }
    | { readonly kind: 'check' };
}

/** A stored row. The value is untrusted until a schema has accepted it. */
export interface TableRow {
  readonly table: string;
  readonly key: string;
  readonly version: RowVersion;
  readonly value: unknown;
}

export type WriteResponse =
  | { readonly kind: 'committed'; readonly versions: readonly RowVersion[] }
  | { readonly kind: 'conflict'; readonly operation: number }
  | { readonly kind: 'rate-limited'; readonly retryAfterMs: number }
  /** Refused or unreachable before the write was sent: it had no effect. */
  | { readonly kind: 'unavailable' }
  /** Sent, no answer: it may have taken effect. */
  | { readonly kind: 'unknown' };

export type ReadResponse =
  | { readonly kind: 'found'; readonly row: TableRow }
  | { readonly kind: 'absent' }
  | { readonly kind: 'rate-limited'; readonly retryAfterMs: number }
  | { readonly kind: 'unavailable' };

export type ScanResponse =
  | {
      readonly kind: 'rows';
      readonly rows: readonly TableRow[];
      /** Key to continue after, when there is more. */
      readonly next?: string;
    }
  | { readonly kind: 'rate-limited'; readonly retryAfterMs: number }
  | { readonly kind: 'unavailable' };

/** One line of the platform's lagging list of VMs. */
export interface VmEntry {
  readonly vm: string;
  readonly kind: 'router' | 'engine' | 'service';
  /** Name of the plain service, for kind `service`. */
  readonly service?: string;
  /** Models that an engine reports, for kind `engine`. */
  readonly models?: readonly string[];
  readonly host: string;
  readonly port: number;
  readonly zone: string;
  readonly state: 'live' | 'leaving';
  readonly incarnation: number;
  readonly capacity: number;
}
