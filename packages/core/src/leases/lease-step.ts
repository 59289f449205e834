/** Chooses the next exchange with the table service for one lease. */
import { fencingNumber } from '../types/ids';
import type { Condition, TableOperation } from '../types/platform';
import type { Instant } from '../types/units';
import type { Lease, LeaseView } from './lease';
import type { LeaseRow } from './lease-row';
import { LEASE_TABLE, encodeLeaseRow } from './lease-row';
import type { LeaseRules } from './lease-rules';

/** What a lease needs from the store now. */
export type LeaseStep =
  | { readonly kind: 'nothing' }
  /** Not wanted, and nothing is left to give up. */
  | { readonly kind: 'done' }
  | { readonly kind: 'read' }
  | { readonly kind: 'write'; readonly row: LeaseRow };

/** The process that keeps the lease, and the mark of its next write. */
export interface LeaseWriter {
  readonly holder: string;
  readonly stamp: string;
}

/** Returns what takes, renews or releases the lease, whichever is due. */
export function nextLeaseStep(
  lease: Lease,
  writer: LeaseWriter,
  rules: LeaseRules,
  now: Instant,
): LeaseStep {
  const { view } = lease;
  if (lease.mustRead || view.kind === 'unseen') {
    return lease.isWanted || lease.mustRead
      ? { kind: 'read' }
      : { kind: 'done' };
  }
  if (!lease.isWanted) {
    return releaseStep(view, writer);
  }
  const nextFence = lease.highestFence + 1;
  if (view.kind === 'absent' || view.row.released) {
    return write(writer, rules, nextFence);
  }
  const { row, since } = view;
  if (row.holder !== writer.holder) {
    return rules.canTake(since, row.duration, now)
      ? write(writer, rules, nextFence)
      : { kind: 'read' };
  }
  if (row.fence < lease.highestFence) {
    return write(writer, rules, nextFence);
  }
  const isDue =
    lease.hold === undefined || rules.isRenewalDue(lease.hold.renewedAt, now);
  return isDue ? write(writer, rules, row.fence) : { kind: 'nothing' };
}

function releaseStep(view: LeaseView, writer: LeaseWriter): LeaseStep {
  if (view.kind !== 'seen') {
    return { kind: 'done' };
  }
  const { row } = view;
  const isOwn = row.holder === writer.holder && !row.released;
  return isOwn
    ? { kind: 'write', row: { ...row, stamp: writer.stamp, released: true } }
    : { kind: 'done' };
}

function write(
  { holder, stamp }: LeaseWriter,
  { settings }: LeaseRules,
  fence: number,
): LeaseStep {
  const { duration } = settings;
  const row = { holder, stamp, fence: fencingNumber(fence), duration };
  return { kind: 'write', row: { ...row, released: false } };
}

/** Returns the write of a row over exactly what was seen. */
export function leaseWrite(lease: Lease, row: LeaseRow): TableOperation {
  return {
    table: LEASE_TABLE,
    key: lease.id,
    condition: writeCondition(lease.view),
    change: { kind: 'put', value: encodeLeaseRow(row) },
  };
}

function writeCondition(view: LeaseView): Condition {
  return view.kind === 'seen'
    ? { kind: 'version', version: view.version }
    : { kind: 'absent' };
}
