/** The platform's services in memory, with faults that a test switches on. */
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

/** What goes wrong at present. */
export interface MemoryPlatformFaults {
  /** Every call is refused and has no effect. */
  outage: boolean;
  /** Added to each call, before it takes effect. */
  delay: Milliseconds;
  /** Writes take effect and their answers are lost. */
  loseWriteResponses: boolean;
  /** Every call is refused with this pause; undefined when not limited. */
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

  /** Sets what the list of VMs says from now on. */
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
    const answer = this.tables.write(operations);
    return this.faults.loseWriteResponses ? { kind: 'unknown' } : answer;
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

  /** Waits as long as the service is slow, then says whether it refuses. */
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
