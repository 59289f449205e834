/**
 * Client of the platform's services: tables, the list of VMs, objects and weights.
 * Every response is a tagged union; no method rejects because of a failure of the
 * platform or of the network.
 */
import type {
  ReadResponse,
  ScanResponse,
  TableOperation,
  VmEntry,
  WriteResponse,
} from '@sesamegrade/core/types/platform';

/** Selects rows of a table, which are listed in order of key. */
export interface ScanRequest {
  readonly table: string;
  /** Only keys with this prefix. */
  readonly prefix?: string;
  /** Only keys after this one, such as `next` of the previous page. */
  readonly after?: string;
  /** Maximum number of rows in one response. */
  readonly limit?: number;
}

/** The rate limit was exceeded; the call had no effect and may be retried after the given time. */
export interface RateLimitedResponse {
  readonly kind: 'rate-limited';
  readonly retryAfterMs: number;
}

/** The call was refused or never sent; it had no effect. */
export interface UnavailableResponse {
  readonly kind: 'unavailable';
}

export type VmListResponse =
  | { readonly kind: 'vms'; readonly vms: readonly VmEntry[] }
  /** The list has not changed since this client last read it. */
  | { readonly kind: 'unchanged' }
  | RateLimitedResponse
  | UnavailableResponse;

export type ObjectReadResponse =
  | { readonly kind: 'found'; readonly body: Uint8Array; readonly tag: string }
  | { readonly kind: 'absent' }
  | RateLimitedResponse
  | UnavailableResponse;

export type ObjectWriteResponse =
  | { readonly kind: 'stored'; readonly tag: string }
  | RateLimitedResponse
  | UnavailableResponse
  /** Sent, but without a usable response: the object may have been stored. */
  | { readonly kind: 'unknown' };

export type WeightsResponse =
  | { readonly kind: 'loaded' }
  | RateLimitedResponse
  | UnavailableResponse
  /** Sent, but without a usable response: a slot may be occupied for a while. */
  | { readonly kind: 'unknown' };

export abstract class PlatformClient {
  abstract read(table: string, key: string): Promise<ReadResponse>;

  /** Runs one atomic transaction: either all operations take effect or none. */
  abstract write(operations: readonly TableOperation[]): Promise<WriteResponse>;

  abstract scan(request: ScanRequest): Promise<ScanResponse>;

  /** Reads the list of VMs, which lags behind the actual state of the fleet. */
  abstract vms(): Promise<VmListResponse>;

  abstract readObject(key: string): Promise<ObjectReadResponse>;

  abstract writeObject(
    key: string,
    body: Uint8Array,
  ): Promise<ObjectWriteResponse>;

  /** Loads weights, which occupies a slot of the weight store; resolves when they are loaded. */
  abstract loadWeights(name: string): Promise<WeightsResponse>;
}
