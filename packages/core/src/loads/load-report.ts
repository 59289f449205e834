/** Validates load reports of endpoints and load owners before they are used. */
import { elapsed, milliseconds } from '../types/units';
import type { Instant } from '../types/units';

/** A load report as read from a header, a metric or a peer message; not trusted. */
export interface LoadReport {
  readonly running: number;
  readonly waiting: number;
  /** When the endpoint had this load, on this router's clock. */
  readonly observedAt: Instant;
}

export type ReportValidation =
  | { readonly kind: 'taken'; readonly load: number }
  | { readonly kind: 'not-a-count' }
  | { readonly kind: 'above-capacity' }
  | { readonly kind: 'from-the-future' }
  | { readonly kind: 'too-old' }
  /** The endpoint is not tracked. */
  | { readonly kind: 'unknown-endpoint' };

/** Reports older than this say nothing about the current load. */
export const MAX_REPORT_AGE = milliseconds(10_000);

/**
 * Maximum reported load as a multiple of the endpoint's capacity; above 1 as
 * requests queue there.
 */
export const MAX_CAPACITY_MULTIPLE = 4;

function isCount(value: number): boolean {
  return Number.isSafeInteger(value) && value >= 0;
}

/** Validates a report of an endpoint with the given capacity. */
export function validateReport(
  report: LoadReport,
  capacity: number,
  now: Instant,
): ReportValidation {
  const { running, waiting, observedAt } = report;
  if (!isCount(running) || !isCount(waiting)) {
    return { kind: 'not-a-count' };
  }
  const load = running + waiting;
  if (load > capacity * MAX_CAPACITY_MULTIPLE) {
    return { kind: 'above-capacity' };
  }
  const age = elapsed(observedAt, now);
  if (!(age >= 0)) {
    return { kind: 'from-the-future' };
  }
  if (age > MAX_REPORT_AGE) {
    return { kind: 'too-old' };
  }
  return { kind: 'taken', load };
}
