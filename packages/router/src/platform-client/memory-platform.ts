/** In-memory implementation of the platform's services for tests, with injectable faults. */
import type {
  ReadResponse,
  ScanResponse,
  TableOperation,
  VmEntry,
  WriteResponse,
} from '@sesamegrade/core/types/platform';
import type { TimerService } from '@sesamegrade/core/time/timer-service';
import type { Milliseconds } from '@sesamegrade/core/types/units';
import { milliseconds } from '@sesamegrade/core/types/units';
import { MemoryTables } from './memory-tables';
import type {
  ObjectReadResponse,
  ObjectWriteResponse,
  RateLimitedResponse,
  ScanRequest,
  UnavailableResponse,
  VmListResponse,
  WeightsResponse,
} from './platform-client';
import { PlatformClient } from './platform-client';

/** Faults that are active now. */
export interface MemoryPlatformFaults {
  /** Every call is refused and has no effect. */
  outage: boolean;
  /** Added to each call, before it takes effect. */
  delay: Milliseconds;
  /** Writes take effect but their responses are lost, so their result is unknown. */
  loseWriteResponses: boolean;
  /** Every call is refused with this `retryAfterMs`; undefined when there is no limit. */
  rateLimit: Milliseconds | undefined;
}

export class MemoryPlatform extends PlatformClient {
  readonly faults: MemoryPlatformFaults = {
    outage: false,
    delay: milliseconds(0),
    loseWriteResponses: false,
    rateLimit: undefined,
  };
  readonly tables = new MemoryTables();
  readonly #objects = new Map<string, Uint8Array>();
  readonly #timers: TimerService;
  #vms: readonly VmEntry[] = [];

  constructor(timers: TimerService) {
    super();
    this.#timers = timers;
  }

  /** Replaces the list of VMs. */
  setVms(vms: readonly VmEntry[]): void {
    this.#vms = vms;
  }

  async read(table: string, key: string): Promise<ReadResponse> {
    return (await this.#refusal()) ?? this.tables.read(table, key);
  }

  async write(operations: readonly TableOperation[]): Promise<WriteResponse> {
    const refusal = await this.#refusal();
    if (refusal) {
      return refusal;
    }
    const result = this.tables.write(operations);
    return this.faults.loseWriteResponses ? { kind: 'unknown' } : result;
  }

  async scan(request: ScanRequest): Promise<ScanResponse> {
    return (await this.#refusal()) ?? this.tables.scan(request);
  }

  async vms(): Promise<VmListResponse> {
    return (await this.#refusal()) ?? { kind: 'vms', vms: this.#vms };
  }

  async readObject(key: string): Promise<ObjectReadResponse> {
    const refusal = await this.#refusal();
    if (refusal) {
      return refusal;
    }
    const body = this.#objects.get(key);
    return body
      ? { kind: 'found', body, tag: objectTag(body) }
      : { kind: 'absent' };
  }

  async writeObject(
    key: string,
    body: Uint8Array,
  ): Promise<ObjectWriteResponse> {
    const refusal = await this.#refusal();
    if (refusal) {
      return refusal;
    }
    this.#objects.set(key, body.slice());
    return this.faults.loseWriteResponses
      ? { kind: 'unknown' }
      : { kind: 'stored', tag: objectTag(body) };
  }

  async loadWeights(): Promise<WeightsResponse> {
    return (await this.#refusal()) ?? { kind: 'loaded' };
  }

  /** Waits for the configured delay; returns the response of an outage or rate limit, if one is active. */
  async #refusal(): Promise<
    RateLimitedResponse | UnavailableResponse | undefined
  > {
    const { delay } = this.faults;
    if (delay > 0) {
      await new Promise<void>(resolve => {
        this.#timers.after(delay, () => {
          resolve();
        });
      });
    }
    if (this.faults.outage) {
      return { kind: 'unavailable' };
    }
    const { rateLimit } = this.faults;
    return rateLimit === undefined
      ? undefined
      : { kind: 'rate-limited', retryAfterMs: rateLimit };
  }
}

function objectTag(body: Uint8Array): string {
  return `"${body.byteLength}"`;
}
