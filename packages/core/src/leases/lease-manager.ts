/**
 * Acquires, renews and releases leases in the table service. A holder acts only
 * while `activeFence` returns a number, which ends before a successor may take
 * the lease. A successor waits until it has seen the row unchanged for the whole
 * lease duration on its own monotonic clock. A holder that resumes after a pause
 * therefore finds its lease expired.
 *
 * Methods handle events and queue commands, which `takeCommands` returns.
 */
import type { Random } from '../random/random';
import { Backoff } from '../retries/backoff';
import { PeriodicTask } from '../table/periodic-task';
import { Table } from '../table/table';
import type { EventRecorder } from '../timeline/event';
import type { FencingNumber, LeaseId, RouterId } from '../types/ids';
import { fencingNumber } from '../types/ids';
import type {
  ReadResponse,
  RowVersion,
  TableRow,
  WriteResponse,
} from '../types/platform';
import type { Instant } from '../types/units';
import { addTime, milliseconds, seconds } from '../types/units';
import type { Lease, LeaseCommand, LeaseExchange, LeaseView } from './lease';
import { UNKNOWN_RENEWAL } from './lease';
import type { LeaseRow } from './lease-row';
import { LEASE_TABLE, parseLeaseRow } from './lease-row';
import type { LeaseRules } from './lease-rules';
import { leaseWrite, nextLeaseStep } from './lease-step';

export interface LeaseManagerOptions {
  readonly router: RouterId;
  /** Unique to this process start, so that a restarted router counts as a new holder. */
  readonly holder: string;
  readonly random: Random;
  readonly recorder: EventRecorder;
  readonly rules: LeaseRules;
}

const RETRY_BACKOFF = { base: milliseconds(100), cap: seconds(2) };
const UNREADABLE_ROW_PAUSE = seconds(10);

export class LeaseManager extends PeriodicTask {
  readonly #options: LeaseManagerOptions;
  readonly #backoff: Backoff;
  readonly #leases = new Table<LeaseId, Lease>();
  #commands: LeaseCommand[] = [];
  #lastTicket = 0;
  #unreadableRowCount = 0;

  constructor(options: LeaseManagerOptions) {
    super();
    this.#options = options;
    this.#backoff = new Backoff(options.random, RETRY_BACKOFF);
  }

  /** Number of leases that this router is acquiring, holds or is releasing. */
  get openCount(): number {
    return this.#leases.size;
  }

  /** Number of reads that found a corrupt row or one of a newer format. */
  get unreadableRowCount(): number {
    return this.#unreadableRowCount;
  }

  /** Returns the commands queued since the last call. */
  takeCommands(): readonly LeaseCommand[] {
    const commands = this.#commands;
    this.#commands = [];
    return commands;
  }

  /** Acquires a lease and keeps renewing it until `release`. */
  acquire(id: LeaseId, now: Instant): void {
    const lease = this.#leases.get(id);
    if (lease?.isWanted) {
      return;
    }
    if (lease) {
      this.#leases.patch(id, { isWanted: true });
    } else {
      this.#leases.put(newLease(id, now));
    }
    this.#advance(id, now);
  }

  /**
   * Releases a lease. The router stops acting under it at once; the row is
   * released when everything sent under the lease must have arrived.
   */
  release(id: LeaseId, now: Instant): void {
    const lease = this.#leases.get(id);
    if (!lease?.isWanted) {
      return;
    }
    const { maxSendDelay } = this.#options.rules.settings;
    const resumeAt = lease.hold ? addTime(now, maxSendDelay) : now;
    this.#leases.patch(id, { isWanted: false, hold: undefined, resumeAt });
    this.#reportLost(id);
    this.#advance(id, now);
  }

  /** Releases all leases for a graceful stop, which is complete when `openCount` is 0. */
  releaseAll(now: Instant): void {
    for (const { id } of this.#leases.rows()) {
      this.release(id, now);
    }
  }

  /**
   * Returns the fencing number to send with, or undefined when the lease does
   * not allow a send now. Must be called immediately before each send.
   */
  activeFence(id: LeaseId, now: Instant): FencingNumber | undefined {
    const hold = this.#leases.get(id)?.hold;
    return hold && this.#options.rules.canSend(hold.renewedAt, now)
      ? hold.fence
      : undefined;
  }

  /**
   * Handles a receiver's report of a higher fencing number than this router's:
   * the lease counts as lost, the row is read again, and the next fencing number
   * will be above the reported one.
   */
  onHigherFence(id: LeaseId, fence: FencingNumber, now: Instant): void {
    const lease = this.#leases.get(id);
    if (!lease || fence <= lease.highestFence) {
      return;
    }
    this.#leases.patch(id, {
      hold: undefined,
      highestFence: fence,
      mustRead: true,
      resumeAt: now,
    });
    this.#reportLost(id);
    this.#advance(id, now);
  }

  /**
   * Handles the response to a `write` command; only the first response for a
   * ticket counts.
   */
  onWriteResponse(ticket: number, response: WriteResponse, now: Instant): void {
    const completed = this.#completeExchange(ticket);
    if (!completed) {
      return;
    }
    const { lease, exchange } = completed;
    const version =
      response.kind === 'committed' ? response.versions[0] : undefined;
    if (exchange.writes && version !== undefined) {
      this.#onWritten(lease, exchange.writes, version, exchange.startedAt, now);
    } else if (
      response.kind === 'unavailable' ||
      response.kind === 'rate-limited'
    ) {
      this.#pause(lease, response, now);
    } else if (response.kind === 'conflict') {
      this.#leases.patch(lease.id, { mustRead: true });
    } else {
      this.#leases.patch(lease.id, { mustRead: true, unsettled: exchange });
      this.#pause(lease, response, now);
    }
    this.#advance(lease.id, now);
  }

  /**
   * Handles the response to a `read` command; only the first response for a
   * ticket counts.
   */
  onReadResponse(ticket: number, response: ReadResponse, now: Instant): void {
    const completed = this.#completeExchange(ticket);
    if (!completed) {
      return;
    }
    const { lease } = completed;
    if (response.kind === 'found') {
      this.#onRowFound(lease, response.row, now);
    } else if (response.kind === 'absent') {
      const fields = { view: { kind: 'absent' }, mustRead: false } as const;
      this.#leases.patch(lease.id, { ...fields, hold: undefined });
      this.#reportLost(lease.id);
    } else {
      this.#pause(lease, response, now);
    }
    this.#advance(lease.id, now);
  }

  /** Reports expired leases as lost and starts pending exchanges. */
  override tick(now: Instant): void {
    for (const { id } of this.#leases.rows()) {
      if (this.activeFence(id, now) === undefined) {
        this.#reportLost(id);
      }
      this.#advance(id, now);
    }
  }

  /** Ends and returns the exchange of a ticket; undefined when it has already ended. */
  #completeExchange(
    ticket: number,
  ): { lease: Lease; exchange: LeaseExchange } | undefined {
    for (const lease of this.#leases.rows()) {
      const { exchange } = lease;
      if (exchange?.ticket === ticket) {
        this.#leases.patch(lease.id, { exchange: undefined });
        return { lease, exchange };
      }
    }
    return undefined;
  }

  /** Handles a write that took effect. */
  #onWritten(
    lease: Lease,
    row: LeaseRow,
    version: RowVersion,
    startedAt: Instant,
    now: Instant,
  ): void {
    this.#leases.patch(lease.id, {
      view: { kind: 'seen', row, version, since: now },
      highestFence: row.fence,
      failures: 0,
    });
    if (lease.isWanted && !row.released) {
      this.#setHold(lease.id, row.fence, startedAt, now);
    }
  }

  #setHold(
    id: LeaseId,
    fence: FencingNumber,
    renewedAt: Instant,
    now: Instant,
  ): void {
    this.#leases.patch(id, { hold: { fence, renewedAt } });
    if (
      !this.#leases.get(id)?.isReportedTaken &&
      this.activeFence(id, now) !== undefined
    ) {
      this.#leases.patch(id, { isReportedTaken: true });
      this.#commands.push({ kind: 'taken', lease: id, fence });
      this.#record('lease-taken', id);
    }
  }

  #reportLost(id: LeaseId): void {
    if (this.#leases.get(id)?.isReportedTaken) {
      this.#leases.patch(id, { isReportedTaken: false });
      this.#commands.push({ kind: 'lost', lease: id });
      this.#record('lease-lost', id);
    }
  }

  #onRowFound(lease: Lease, stored: TableRow, now: Instant): void {
    const parsed = parseLeaseRow(stored.value);
    if (!parsed.ok) {
      this.#unreadableRowCount += 1;
      const resumeAt = addTime(now, UNREADABLE_ROW_PAUSE);
      const view: LeaseView = { kind: 'unseen' };
      this.#leases.patch(lease.id, { view, mustRead: false, resumeAt });
      return;
    }
    const row = parsed.value;
    const { version } = stored;
    const since = seenSince(lease.view, version) ?? now;
    this.#leases.patch(lease.id, {
      view: { kind: 'seen', row, version, since },
      highestFence: fencingNumber(Math.max(lease.highestFence, row.fence)),
      mustRead: false,
      failures: 0,
    });
    if (row.holder === this.#options.holder && !row.released) {
      this.#onOwnRow(lease, row, now);
    } else {
      this.#onOtherRow(lease, row, since, now);
    }
  }

  /**
   * Handles a row written by this process; the lease runs from the start of
   * that write, if it is known.
   */
  #onOwnRow(lease: Lease, row: LeaseRow, now: Instant): void {
    if (!lease.isWanted) {
      return;
    }
    const { unsettled, hold } = lease;
    if (unsettled?.writes?.stamp === row.stamp) {
      this.#setHold(lease.id, row.fence, unsettled.startedAt, now);
    } else if (hold?.fence !== row.fence) {
      this.#setHold(lease.id, row.fence, UNKNOWN_RENEWAL, now);
    }
  }

  #onOtherRow(lease: Lease, row: LeaseRow, since: Instant, now: Instant): void {
    this.#leases.patch(lease.id, { hold: undefined });
    this.#reportLost(lease.id);
    if (!row.released) {
      const { pollInterval } = this.#options.rules.settings;
      const nextRead = addTime(now, pollInterval);
      const end = addTime(since, row.duration);
      const resumeAt = end > now && end < nextRead ? end : nextRead;
      this.#leases.patch(lease.id, { resumeAt });
    }
  }

  #pause(
    lease: Lease,
    response: WriteResponse | ReadResponse,
    now: Instant,
  ): void {
    const requested =
      response.kind === 'rate-limited' ? response.retryAfterMs : 0;
    const pause = milliseconds(requested + this.#backoff.delay(lease.failures));
    this.#leases.patch(lease.id, {
      resumeAt: later(lease.resumeAt, addTime(now, pause)),
      failures: lease.failures + 1,
    });
  }

  #advance(id: LeaseId, now: Instant): void {
    const lease = this.#leases.get(id);
    if (!lease || lease.exchange || lease.resumeAt > now) {
      return;
    }
    const ticket = this.#lastTicket + 1;
    const { holder, rules } = this.#options;
    const writer = { holder, stamp: `${holder}.${ticket}` };
    const step = nextLeaseStep(lease, writer, rules, now);
    switch (step.kind) {
      case 'nothing':
        return;
      case 'done':
        this.#leases.delete(id);
        return;
      case 'read':
        this.#startExchange(id, undefined, now);
        this.#commands.push({
          kind: 'read',
          ticket,
          table: LEASE_TABLE,
          key: id,
        });
        return;
      case 'write':
        this.#startExchange(id, step.row, now);
        this.#commands.push({
          kind: 'write',
          ticket,
          operations: [leaseWrite(lease, step.row)],
        });
        if (step.row.released) {
          this.#record('lease-released', id);
        }
    }
  }

  #startExchange(
    id: LeaseId,
    writes: LeaseRow | undefined,
    now: Instant,
  ): void {
    this.#lastTicket += 1;
    const ticket = this.#lastTicket;
    this.#leases.patch(id, { exchange: { ticket, startedAt: now, writes } });
  }

  #record(
    kind: 'lease-taken' | 'lease-lost' | 'lease-released',
    lease: LeaseId,
  ): void {
    const { recorder, router } = this.#options;
    recorder.record(kind, { router, lease });
  }
}

function newLease(id: LeaseId, now: Instant): Lease {
  return {
    id,
    isWanted: true,
    view: { kind: 'unseen' },
    mustRead: false,
    highestFence: fencingNumber(0),
    hold: undefined,
    isReportedTaken: false,
    exchange: undefined,
    unsettled: undefined,
    resumeAt: now,
    failures: 0,
  };
}

/** Returns when a version was first seen; undefined if it was not seen before. */
function seenSince(view: LeaseView, version: RowVersion): Instant | undefined {
  return view.kind === 'seen' && view.version === version
    ? view.since
    : undefined;
}

function later(left: Instant, right: Instant): Instant {
  return left > right ? left : right;
}
