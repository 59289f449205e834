/**
 * Finds out whether an attempt was broken off because its endpoint crashed, or only its
 * connection broke. An endpoint that is not leaving has crashed if it refuses connections
 * after a break, if another instance answers at its address, or if its entry lapses.
 */
import type {
  DirectoryEvent,
  EndpointDirectory,
} from '@sesamegrade/core/endpoints/endpoint-directory';
import type { EndpointEntry } from '@sesamegrade/core/endpoints/endpoint-entry';
import { BrokenAttempts } from '@sesamegrade/core/poison/broken-attempts';
import type { RelayedSuspects } from '@sesamegrade/core/poison/relayed-suspects';
import { crashIdOf } from '@sesamegrade/core/poison/suspect';
import type { TimerService } from '@sesamegrade/core/time/timer-service';
import { incarnation } from '@sesamegrade/core/types/ids';
import type { EndpointId, Fingerprint } from '@sesamegrade/core/types/ids';
import { milliseconds } from '@sesamegrade/core/types/units';
import type { Milliseconds } from '@sesamegrade/core/types/units';
import type { DecisionLog } from '../logs/decision-log';
import type { ConnectionPool } from './connection-pool';
import type { EndpointDialer } from './endpoint-dialer';
import { probeEndpoint } from './endpoint-probe';

/** Time from a break to the probe, as a process that ends closes its connections in any order. */
const PROBE_DELAY: Milliseconds = milliseconds(20);
const PROBE_TIMEOUT: Milliseconds = milliseconds(200);

export interface CrashDetectorOptions {
  readonly suspects: RelayedSuspects;
  readonly endpointDirectory: EndpointDirectory;
  readonly connectionPool: ConnectionPool;
  readonly endpointDialer: EndpointDialer;
  readonly timers: TimerService;
  readonly log: DecisionLog;
}

export class CrashDetector {
  readonly #options: CrashDetectorOptions;
  readonly #brokenAttempts = new BrokenAttempts();
  readonly #probes = new Map<EndpointId, Promise<void>>();
  #crashCount = 0;

  constructor(options: CrashDetectorOptions) {
    this.#options = options;
  }

  /** Number of crashes that this router observed. */
  get crashCount(): number {
    return this.#crashCount;
  }

  /**
   * Records that an attempt was broken off after a number of events. Resolves once the endpoint has answered a
   * probe, or the time for that is over.
   */
  async onBroken(
    entry: EndpointEntry,
    ids: readonly Fingerprint[],
    events = 0,
  ): Promise<void> {
    const { id, startedAt } = entry;
    if (this.#isLeaving(entry)) {
      return;
    }
    const crash = crashIdOf(id, incarnation(startedAt ?? 0));
    const now = this.#options.timers.now();
    this.#brokenAttempts.add(id, crash, ids, now, events);
    const running = this.#probes.get(id);
    if (running) {
      await running;
      return;
    }
    const probe = this.#probe(entry);
    this.#probes.set(id, probe);
    try {
      await probe;
    } finally {
      this.#probes.delete(id);
    }
  }

  /** Records that another instance answers at the address of the endpoint. */
  onReplaced(endpoint: EndpointId): void {
    this.#recordCrash(endpoint, 'replaced');
  }

  onDirectoryEvents(events: readonly DirectoryEvent[]): void {
    for (const event of events) {
      switch (event.kind) {
        case 'leaving':
          this.#brokenAttempts.drop(event.id);
          break;
        case 'lapsed':
        case 'gone':
          this.#recordCrash(event.id, event.kind);
          break;
        case 'restarted':
          this.#recordCrash(event.entry.id, event.kind);
          break;
        case 'joined':
          break;
      }
    }
  }

  #isLeaving({ id, startedAt }: EndpointEntry): boolean {
    return this.#options.endpointDirectory.hasAnnouncedLeaving(id, startedAt);
  }

  async #probe(entry: EndpointEntry): Promise<void> {
    const { timers, connectionPool, endpointDialer } = this.#options;
    const { id, address } = entry;
    await new Promise<void>(resolve => {
      timers.after(PROBE_DELAY, () => {
        resolve();
      });
    });
    if (connectionPool.hasIdle(id) || this.#isLeaving(entry)) {
      this.#brokenAttempts.drop(id);
      return;
    }
    const result = await probeEndpoint(endpointDialer, address, PROBE_TIMEOUT);
    if (result === 'refused') {
      this.#recordCrash(id, result);
    } else if (result === 'listening') {
      this.#brokenAttempts.drop(id);
    }
  }

  #recordCrash(endpoint: EndpointId, evidence: string): void {
    const { suspects, timers, log } = this.#options;
    const now = timers.now();
    const crash = this.#brokenAttempts.take(endpoint, now);
    if (!crash) {
      return;
    }
    this.#crashCount += 1;
    for (const id of crash.ids) {
      suspects.recordCrash(id, crash.crash, now, crash.reaches.get(id));
    }
    log.write('endpoint-crash', {
      endpoint,
      evidence,
      crash: crash.crash,
      contents: crash.ids.map(id => [id, suspects.suspicion(id)]),
    });
  }
}
