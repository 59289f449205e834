/**
 * The platform's services as the shells call them. Every answer is a tagged
 * union; no method rejects for a failure of the platform or of the network.
 */
import type {
  ReadResponse,
  ScanResponse,
  TableOperation,
  VmEntry,
  WriteResponse,
} from '@sesamegrade/core/types/platform';

/** Which rows of a table to list, in order of key. */
export interface ScanRequest {
  readonly table: string;
  /** Only keys that begin with this. */
  readonly prefix?: string;
  /** Only keys after this one, as given by `next` of the page before. */
  readonly after?: string;
  /** Most rows in one answer. */
  readonly limit?: number;
}

/** The service asked for a pause; the call had no effect. */
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
  /** The same list as this client read last. */
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
  /** Sent, no answer: the object may have been stored. */
  | { readonly kind: 'unknown' };

export type WeightsResponse =
  | { readonly kind: 'loaded' }
  | RateLimitedResponse
  | UnavailableResponse
  /** Sent, no answer: a slot may have been taken for a while. */
  | { readonly kind: 'unknown' };

export abstract class PlatformClient {
  abstract read(table: string, key: string): Promise<ReadResponse>;

  /** Runs one transaction; it takes effect whole or not at all. */
  abstract write(operations: readonly TableOperation[]): Promise<WriteResponse>;

  abstract scan(request: ScanRequest): Promise<ScanResponse>;

  /** The list of VMs, which lags behind what is true. */
  abstract vms(): Promise<VmListResponse>;

  abstract readObject(key: string): Promise<ObjectReadResponse>;

  abstract writeObject(
    key: string,
    body: Uint8Array,
  ): Promise<ObjectWriteResponse>;

  /** Takes a slot of the weight store and resolves when the weights are loaded. */
  abstract loadWeights(name: string): Promise<WeightsResponse>;
}
