/**
 * Requests to the platform's table service and its responses. The response to a
 * write may be lost after the write took effect; it is then reported as
 * `unknown` and the outcome is learned by a read.
 */

/** Version of one row, assigned by the table service at each write. */
export type RowVersion = number;

/** Precondition of a write, on the row as stored. */
export type Condition =
  | { readonly kind: 'absent' }
  | { readonly kind: 'version'; readonly version: RowVersion }
  | { readonly kind: 'none' };

/** Change of one row; a write of several operations takes effect atomically. */
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
  /** Refused, or unreachable before the write was sent: it had no effect. */
  | { readonly kind: 'unavailable' }
  /** Sent without a response: it may have taken effect. */
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
      /** Key to continue after; absent on the last page. */
      readonly next?: string;
    }
  | { readonly kind: 'rate-limited'; readonly retryAfterMs: number }
  | { readonly kind: 'unavailable' };

/** One entry of the platform's list of VMs, which lags behind the real state. */
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
