/** Parses the load and refusal headers of engines' responses. */
import type { RejectionReason } from '@sesamegrade/core/requests/types';

/** Load that an engine reports in its response headers; not trusted. */
export interface HeaderLoad {
  readonly running: number;
  readonly waiting: number;
}

type Headers = Readonly<Record<string, string | string[] | undefined>>;

const COUNT_PATTERN = /^\d{1,9}$/u;

/** Returns the load in the response headers; undefined when a header is missing or invalid. */
export function loadOf(headers: Headers): HeaderLoad | undefined {
  const running = countOf(headers['x-engine-running']);
  const waiting = countOf(headers['x-engine-waiting']);
  if (running === undefined || waiting === undefined) {
    return undefined;
  }
  return { running, waiting };
}

/** Returns why the endpoint rejected the request without running it; undefined when it may have run. */
export function rejectionOf(
  status: number,
  headers: Headers,
  notRunStatuses: readonly number[],
): RejectionReason | undefined {
  const refused = headers['x-engine-refused'];
  if (refused === 'full') {
    return 'full';
  }
  if (refused === 'leaving') {
    return 'leaving';
  }
  if (refused === 'model') {
    return 'unsuited';
  }
  return notRunStatuses.includes(status) ? 'full' : undefined;
}

function countOf(value: string | string[] | undefined): number | undefined {
  return typeof value === 'string' && COUNT_PATTERN.test(value)
    ? Number(value)
    : undefined;
}
