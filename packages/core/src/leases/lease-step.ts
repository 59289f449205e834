/** Chooses the next request to the table service for one lease. */
import { fencingNumber } from '../types/ids';
import type { Condition, TableOperation } from '../types/platform';
import type { Instant } from '../types/units';
import type { Lease, LeaseView } from './lease';
import type { LeaseRow } from './lease-row';
import { LEASE_TABLE, encodeLeaseRow } from './lease-row';
import type { LeaseRules } from './lease-rules';

/** Next action for a lease. */
export type LeaseStep =
  | { readonly kind: 'nothing' }
  /** The lease is not wanted, and no row of this process remains to be released. */
  | { readonly kind: 'done' }
  | { readonly kind: 'read' }
  | { readonly kind: 'write'; readonly row: LeaseRow };

/** Ids of the process that writes and of its next write. */
export interface LeaseWriter {
  readonly holder: string;
  readonly stamp: string;
}

/** Returns the action that takes, renews or releases the lease, or waits for it. */
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
    return writeStep(writer, rules, nextFence);
  }
  const { row, since } = view;
  if (row.holder !== writer.holder) {
    return rules.canTake(since, row.duration, now)
      ? writeStep(writer, rules, nextFence)
      : { kind: 'read' };
  }
  if (row.fence < lease.highestFence) {
    return writeStep(writer, rules, nextFence);
  }
  const shouldWrite =
    lease.hold === undefined || rules.isRenewalDue(lease.hold.renewedAt, now);
  return shouldWrite
    ? writeStep(writer, rules, row.fence)
    : { kind: 'nothing' };
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

function writeStep(
  { holder, stamp }: LeaseWriter,
  { settings }: LeaseRules,
  fence: number,
): LeaseStep {
  const { duration } = settings;
  const row = { holder, stamp, fence: fencingNumber(fence), duration };
  return { kind: 'write', row: { ...row, released: false } };
}

/**
 * Returns the write of a row on the condition that the stored row is the one
 * last seen.
 */
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
