/**
 * Takes, renews and gives up leases. A holder acts only while `mayAct` allows
 * it, which ends before a successor may take the lease; a successor waits until
 * it has seen the row unchanged for the whole lease, by its own monotonic
 * clock. A paused holder that wakes up therefore finds its time over.
 *
 * Methods take messages and queue commands; `takeCommands` hands them out.
 */
import type { Random } from '../random/random';
import { Backoff } from '../retries/backoff';
import { System } from '../table/system';
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
  /** Unique to this process start, so that a restarted router is a new holder. */
  readonly holder: string;
  readonly random: Random;
  readonly recorder: EventRecorder;
  readonly rules: LeaseRules;
}

const RETRY = { base: milliseconds(100), cap: seconds(2) };
const UNREADABLE_PAUSE = seconds(10);

export class LeaseManager extends System {
  readonly #options: LeaseManagerOptions;
  readonly #backoff: Backoff;
  readonly #leases = new Table<LeaseId, Lease>();
  #commands: LeaseCommand[] = [];
  #lastTicket = 0;
  #unreadable = 0;

  constructor(options: LeaseManagerOptions) {
    super();
    this.#options = options;
    this.#backoff = new Backoff(options.random, RETRY);
  }

  /** Leases that this router wants, holds or is giving up. */
  get openCount(): number {
    return this.#leases.size;
  }

  /** Rows seen that are corrupted or of a newer format. */
  get unreadableRowCount(): number {
    return this.#unreadable;
  }

  /** Returns the commands given since the last call. */
  takeCommands(): readonly LeaseCommand[] {
    const commands = this.#commands;
    this.#commands = [];
    return commands;
  }

  /** Tries to hold a lease from now on. */
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
   * Gives a lease up. It is released in the store once everything sent under
   * it must have arrived.
   */
  release(id: LeaseId, now: Instant): void {
    const lease = this.#leases.get(id);
    if (!lease?.isWanted) {
      return;
    }
    const { maxSendDelay: longestSend } = this.#options.rules.settings;
    const resumeAt = lease.hold ? addTime(now, longestSend) : now;
    this.#leases.patch(id, { isWanted: false, hold: undefined, resumeAt });
    this.#tellLost(id);
    this.#advance(id, now);
  }

  /** Gives every lease up, for a graceful stop; it is over when `open` is 0. */
  releaseAll(now: Instant): void {
    for (const { id } of this.#leases.rows()) {
      this.release(id, now);
    }
  }

  /**
   * Returns the fencing number to send with, if the lease allows a send right
   * now. To be called immediately before each send.
   */
  activeFence(id: LeaseId, now: Instant): FencingNumber | undefined {
    const hold = this.#leases.get(id)?.hold;
    return hold && this.#options.rules.canSend(hold.renewedAt, now)
      ? hold.fence
      : undefined;
  }

  /**
   * A receiver knows a higher number than this router's: the row is read again,
   * and a later hold gets a number above it.
   */
  onHigherFence(id: LeaseId, known: FencingNumber, now: Instant): void {
    const lease = this.#leases.get(id);
    if (!lease || known <= lease.highestFence) {
      return;
    }
    this.#leases.patch(id, {
      hold: undefined,
      highestFence: known,
      mustRead: true,
      resumeAt: now,
    });
    this.#tellLost(id);
    this.#advance(id, now);
  }

  /** Takes the answer to a `write` command; only the first for a ticket counts. */
  onWriteResponse(ticket: number, answer: WriteResponse, now: Instant): void {
    const asked = this.#close(ticket);
    if (!asked) {
      return;
    }
    const { lease, exchange } = asked;
    const version =
      answer.kind === 'committed' ? answer.versions[0] : undefined;
    if (exchange.writes && version !== undefined) {
      this.#written(lease, exchange.writes, version, exchange.startedAt, now);
    } else if (
      answer.kind === 'unavailable' ||
      answer.kind === 'rate-limited'
    ) {
      this.#pause(lease, answer, now);
    } else if (answer.kind === 'conflict') {
      this.#leases.patch(lease.id, { mustRead: true });
    } else {
      this.#leases.patch(lease.id, { mustRead: true, unsettled: exchange });
      this.#pause(lease, answer, now);
    }
    this.#advance(lease.id, now);
  }

  /** Takes the answer to a `read` command. */
  onReadResponse(ticket: number, answer: ReadResponse, now: Instant): void {
    const asked = this.#close(ticket);
    if (!asked) {
      return;
    }
    const { lease } = asked;
    if (answer.kind === 'found') {
      this.#found(lease, answer.row, now);
    } else if (answer.kind === 'absent') {
      const fields = { view: { kind: 'absent' }, mustRead: false } as const;
      this.#leases.patch(lease.id, { ...fields, hold: undefined });
      this.#tellLost(lease.id);
    } else {
      this.#pause(lease, answer, now);
    }
    this.#advance(lease.id, now);
  }

  /** Ends what lapsed and starts what is due. */
  override tick(now: Instant): void {
    for (const { id } of this.#leases.rows()) {
      if (this.activeFence(id, now) === undefined) {
        this.#tellLost(id);
      }
      this.#advance(id, now);
    }
  }

  /** Closes the exchange of a ticket; undefined when it is not open any more. */
  #close(
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

  /** A write took effect. */
  #written(
    lease: Lease,
    row: LeaseRow,
    version: RowVersion,
    began: Instant,
    now: Instant,
  ): void {
    this.#leases.patch(lease.id, {
      view: { kind: 'seen', row, version, since: now },
      highestFence: row.fence,
      failures: 0,
    });
    if (lease.isWanted && !row.released) {
      this.#hold(lease.id, row.fence, began, now);
    }
  }

  #hold(
    id: LeaseId,
    fence: FencingNumber,
    renewedAt: Instant,
    now: Instant,
  ): void {
    this.#leases.patch(id, { hold: { fence, renewedAt } });
    if (
      !this.#leases.get(id)?.told &&
      this.activeFence(id, now) !== undefined
    ) {
      this.#leases.patch(id, { told: true });
      this.#commands.push({ kind: 'taken', lease: id, fence });
      this.#record('lease-taken', id);
    }
  }

  #tellLost(id: LeaseId): void {
    if (this.#leases.get(id)?.told) {
      this.#leases.patch(id, { told: false });
      this.#commands.push({ kind: 'lost', lease: id });
      this.#record('lease-lost', id);
    }
  }

  #found(lease: Lease, stored: TableRow, now: Instant): void {
    const parsed = parseLeaseRow(stored.value);
    if (!parsed.ok) {
      this.#unreadable += 1;
      const resumeAt = addTime(now, UNREADABLE_PAUSE);
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
      this.#foundOwn(lease, row, now);
    } else {
      this.#foundOther(lease, row, since, now);
    }
  }

  /** The row is this process's own: the write that made it is dated, if known. */
  #foundOwn(lease: Lease, row: LeaseRow, now: Instant): void {
    if (!lease.isWanted) {
      return;
    }
    const { unsettled, hold } = lease;
    if (unsettled?.writes?.stamp === row.stamp) {
      this.#hold(lease.id, row.fence, unsettled.startedAt, now);
    } else if (hold?.fence !== row.fence) {
      this.#hold(lease.id, row.fence, UNKNOWN_RENEWAL, now);
    }
  }

  #foundOther(lease: Lease, row: LeaseRow, since: Instant, now: Instant): void {
    this.#leases.patch(lease.id, { hold: undefined });
    this.#tellLost(lease.id);
    if (!row.released) {
      const { pollInterval: watchPeriod } = this.#options.rules.settings;
      const nextRead = addTime(now, watchPeriod);
      const end = addTime(since, row.duration);
      const resumeAt = end > now && end < nextRead ? end : nextRead;
      this.#leases.patch(lease.id, { resumeAt });
    }
  }

  #pause(
    lease: Lease,
    answer: WriteResponse | ReadResponse,
    now: Instant,
  ): void {
    const asked = answer.kind === 'rate-limited' ? answer.retryAfterMs : 0;
    const pause = milliseconds(asked + this.#backoff.delay(lease.failures));
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
        this.#open(id, undefined, now);
        this.#commands.push({
          kind: 'read',
          ticket,
          table: LEASE_TABLE,
          key: id,
        });
        return;
      case 'write':
        this.#open(id, step.row, now);
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

  #open(id: LeaseId, writes: LeaseRow | undefined, now: Instant): void {
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
    told: false,
    exchange: undefined,
    unsettled: undefined,
    resumeAt: now,
    failures: 0,
  };
}

/** When a version was first seen; undefined when it was not seen before. */
function seenSince(view: LeaseView, version: RowVersion): Instant | undefined {
  return view.kind === 'seen' && view.version === version
    ? view.since
    : undefined;
}

function later(left: Instant, right: Instant): Instant {
  return left > right ? left : right;
}
