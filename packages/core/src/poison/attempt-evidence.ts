/** What the end of an attempt shows about its content, before it is known whether the endpoint crashed. */
import type {
  AttemptFailure,
  AttemptResult,
} from '../forwarding/attempt-result';

export type AttemptEvidence =
  /** The content was run without harm. */
  | 'sound'
  /** The endpoint may have crashed while it ran the content. */
  | 'broken-off'
  | 'none';

const MIN_SERVER_ERROR_STATUS = 500;

const BROKEN_OFF: ReadonlySet<AttemptFailure> = new Set<AttemptFailure>([
  'reset',
  'unwritten-request',
  'process-end',
  'malformed',
  'partial-event',
  'no-event',
]);

export interface EndedRun {
  readonly result: AttemptResult;
  /** Whether the end of the response was marked other than by the end of its connection. */
  readonly isFramed: boolean;
}

export function attemptEvidence({
  result,
  isFramed,
}: EndedRun): AttemptEvidence {
  switch (result.kind) {
    case 'answered':
    case 'delivered':
      return isFramed && result.status < MIN_SERVER_ERROR_STATUS
        ? 'sound'
        : 'none';
    case 'broken':
      return BROKEN_OFF.has(result.breakage) ? 'broken-off' : 'none';
    default:
      return 'none';
  }
}
