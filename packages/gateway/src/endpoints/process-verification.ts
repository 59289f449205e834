/**
 * Tells whether a connection leads to the process that the entry of its endpoint names.
 * A process may end and start again under its id at the same address, with another
 * software version, and its new entry may be late. A connection belongs to one process and
 * cannot outlive it: if the process of the entry still runs at a moment, every connection
 * that was established before that moment, for that entry, leads to it.
 */
import { LRUCache } from 'lru-cache';

import type { EndpointDirectory } from '@sesamegrade/core/endpoints/endpoint-directory';
import type { EndpointEntry } from '@sesamegrade/core/endpoints/endpoint-entry';
import type { EvacuatedZones } from '@sesamegrade/core/endpoints/evacuated-zones';
import type { FleetState } from '@sesamegrade/core/forwarding/fleet-state';
import type { FeedTable } from '@sesamegrade/core/peers/feed-updates';
import type { FeedCoverage } from '@sesamegrade/core/store/feed-coverage';
import type { TimerService } from '@sesamegrade/core/time/timer-service';
import type { EndpointId } from '@sesamegrade/core/types/ids';
import { elapsed, milliseconds } from '@sesamegrade/core/types/units';
import type { Instant, Milliseconds } from '@sesamegrade/core/types/units';
import type { GatewaySettings } from '@sesamegrade/settings/gateway-schema';
import type { DecisionLog } from '../logs/decision-log';
import { EndpointConnection } from './endpoint-connection';
import type { EndpointDialer } from './endpoint-dialer';
import type { EndpointProtocol, ResponseHead } from './endpoint-protocol';
import { queryEndpoint } from './endpoint-query';

/** Longest wait for the report of an endpoint. */
const REPORT_TIMEOUT: Milliseconds = milliseconds(300);
/** Largest report; it lists what runs at the endpoint. */
const MAX_REPORT_BYTES = 1_048_576;
/**
 * Share of the time within which a departure must be known up to whose end this router is
 * in touch with the store; a confirmation is due after 0.65 of it at the latest.
 */
const IN_TOUCH_SHARE = 0.75;
/** Time for which a process may serve before its entry is stored. */
const REGISTRATION_TIME: Milliseconds = milliseconds(500);
/** Endpoints that are remembered: several times those of the largest deployment. */
const MAX_ENDPOINTS = 4096;
const STATUS_OK = 200;
/** Lowest status that says nothing of later reports. */
const MIN_SERVER_ERROR_STATUS = 500;

/** What is known of the process at the end of a connection. */
export type ProcessVerdict =
  | 'same'
  /** Another process than the one of the entry may have accepted the connection. */
  | 'other'
  /** The endpoint does not tell. */
  | 'unknown';

interface Probe {
  readonly sentAt: Instant;
  readonly verdict: Promise<ProcessVerdict>;
}

/** What is known of the process that an entry names. */
interface KnownProcess {
  readonly startedAt: number;
  /** Connections that were established before lead to it. */
  runsAt: Instant | undefined;
  /** Whether its report names no start. */
  isNameless: boolean;
  /** Whether another process has taken its place. */
  isReplaced: boolean;
  /** The probe that is running. */
  probe: Probe | undefined;
}

export interface ProcessVerificationOptions {
  readonly settings: Pick<GatewaySettings, 'bounds'>;
  readonly endpointDirectory: EndpointDirectory;
  readonly evacuatedZones: Pick<EvacuatedZones, 'includes'>;
  readonly coverage: Readonly<
    Pick<Record<FeedTable, FeedCoverage>, 'endpoints'>
  >;
  readonly endpointDialer: EndpointDialer;
  readonly endpointProtocol: EndpointProtocol;
  readonly fleetState: Pick<FleetState, 'onStatement'>;
  readonly timers: TimerService;
  readonly log: DecisionLog;
}

export class ProcessVerification {
  readonly #options: ProcessVerificationOptions;
  readonly #processes = new LRUCache<EndpointId, KnownProcess>({
    max: MAX_ENDPOINTS,
  });
  #probeCount = 0;

  constructor(options: ProcessVerificationOptions) {
    this.#options = options;
  }

  /** Number of reports that were requested. */
  get probeCount(): number {
    return this.#probeCount;
  }

  /** Whether the table of endpoints was confirmed lately, so that a restart soon shows there. */
  get isInTouch(): boolean {
    const { coverage, settings, timers } = this.#options;
    const age = coverage.endpoints.age(timers.now());
    const maxAge = settings.bounds.departure_ms * IN_TOUCH_SHARE;
    return age !== undefined && age <= maxAge;
  }

  /** Whether it is known already that a connection leads to the process of the entry. */
  isConfirmed(
    entry: EndpointEntry,
    establishedAt: Instant | undefined,
  ): boolean {
    const process = this.#processOf(entry);
    if (!process || establishedAt === undefined) {
      return false;
    }
    if (process.runsAt !== undefined && process.runsAt >= establishedAt) {
      return true;
    }
    const { coverage, endpointDirectory } = this.#options;
    const confirmedAt = coverage.endpoints.latest?.confirmedAt;
    const isListed =
      confirmedAt !== undefined &&
      elapsed(establishedAt, confirmedAt) >= REGISTRATION_TIME &&
      endpointDirectory.get(entry.id)?.startedAt === process.startedAt;
    return isListed && !process.isReplaced;
  }

  /**
   * Records that a response arrived to a request sent at a time; if its connection is
   * known to lead to the process, that process still ran then.
   */
  onResponse(
    entry: EndpointEntry,
    establishedAt: Instant | undefined,
    sentAt: Instant,
  ): void {
    const process = this.#processOf(entry);
    if (process && this.isConfirmed(entry, establishedAt)) {
      recordRun(process, sentAt);
    }
  }

  /** Finds out whether an established connection leads to the process of the entry. */
  async verify(
    entry: EndpointEntry,
    establishedAt: Instant | undefined,
  ): Promise<ProcessVerdict> {
    const process = this.#processOf(entry);
    if (this.isConfirmed(entry, establishedAt)) {
      return 'same';
    }
    if (!process || process.isNameless || establishedAt === undefined) {
      return 'unknown';
    }
    if (process.isReplaced) {
      return 'other';
    }
    if (this.#options.evacuatedZones.includes(entry.zone)) {
      // The request for a report would reach an endpoint that gets no requests.
      return 'unknown';
    }
    const running = process.probe;
    if (running) {
      const verdict = await running.verdict;
      if (verdict !== 'same' || running.sentAt >= establishedAt) {
        return verdict;
      }
      return this.verify(entry, establishedAt);
    }
    return this.#startProbe(entry, process).verdict;
  }

  /** Returns undefined for an entry that names no start. */
  #processOf({ id, startedAt }: EndpointEntry): KnownProcess | undefined {
    if (startedAt === undefined) {
      return undefined;
    }
    const known = this.#processes.get(id);
    if (known?.startedAt === startedAt) {
      return known;
    }
    const process: KnownProcess = {
      startedAt,
      runsAt: undefined,
      isNameless: false,
      isReplaced: false,
      probe: undefined,
    };
    if (known === undefined || known.startedAt < startedAt) {
      this.#processes.set(id, process);
    }
    return process;
  }

  #startProbe(entry: EndpointEntry, process: KnownProcess): Probe {
    const sentAt = this.#options.timers.now();
    const probe: Probe = {
      sentAt,
      verdict: this.#probe(entry, process, sentAt).finally(() => {
        process.probe = undefined;
      }),
    };
    process.probe = probe;
    return probe;
  }

  async #probe(
    entry: EndpointEntry,
    process: KnownProcess,
    sentAt: Instant,
  ): Promise<ProcessVerdict> {
    const { endpointProtocol, endpointDialer, timers, fleetState, log } =
      this.#options;
    this.#probeCount += 1;
    let head: ResponseHead | undefined;
    const response = await queryEndpoint({
      // A new connection: an idle one may lead to a process whose end was not heard.
      connection: new EndpointConnection(
        entry.address,
        REPORT_TIMEOUT,
        endpointDialer,
        () => undefined,
      ),
      target: endpointProtocol.reportTarget,
      timers,
      timeout: REPORT_TIMEOUT,
      maxBytes: MAX_REPORT_BYTES,
      onHead: (status, headers) => {
        head = endpointProtocol.readResponse(status, headers);
      },
    });
    const report =
      response?.status === STATUS_OK
        ? endpointProtocol.readReport(response.body)
        : undefined;
    const reported = report?.ok ? report.value.startedAt : undefined;
    const verdict = verdictOf(process.startedAt, reported);
    log.write('process', {
      endpoint: entry.id,
      startedAt: process.startedAt,
      reported,
      status: response?.status,
      verdict,
      took: Math.round(elapsed(sentAt, timers.now())),
    });
    if (verdict === 'same') {
      recordRun(process, sentAt);
      if (head) {
        fleetState.onStatement(entry, head, undefined);
      }
    } else if (verdict === 'other') {
      this.#onReplaced(entry, process);
    } else if (response && response.status < MIN_SERVER_ERROR_STATUS) {
      process.isNameless = true;
    }
    return verdict;
  }

  /** The endpoint gets nothing more until the entry of the new process is there. */
  #onReplaced({ id, startedAt }: EndpointEntry, process: KnownProcess): void {
    const { endpointDirectory, log } = this.#options;
    process.isReplaced = true;
    // Peers may have the new entry, which the departure of the id would take out of use.
    const isListed = endpointDirectory.get(id)?.startedAt === startedAt;
    if (isListed && endpointDirectory.applyDeparture(id)) {
      log.write('endpoint', { kind: 'replaced', id, origin: 'report' });
    }
  }
}

function recordRun(process: KnownProcess, at: Instant): void {
  if (process.runsAt === undefined || process.runsAt < at) {
    process.runsAt = at;
  }
}

function verdictOf(
  startedAt: number,
  reported: number | undefined,
): ProcessVerdict {
  if (reported === undefined) {
    return 'unknown';
  }
  return reported === startedAt ? 'same' : 'other';
}
