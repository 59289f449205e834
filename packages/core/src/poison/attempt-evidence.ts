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

/**
 * Complete events after which a stream has passed the point at which content that
 * crashes endpoints does so.
 */
export const MIN_SOUND_EVENTS = 2;
const MIN_SERVER_ERROR_STATUS = 500;

const BROKEN_OFF: ReadonlySet<AttemptFailure> = new Set<AttemptFailure>([
  'reset',
  'process-end',
  'malformed',
  'partial-event',
  'no-event',
]);

export interface EndedRun {
  readonly result: AttemptResult;
  /** Number of complete events that arrived in this attempt. */
  readonly events: number;
  /** Whether the end of the response was marked other than by the end of its connection. */
  readonly isFramed: boolean;
}

export function attemptEvidence({
  result,
  events,
  isFramed,
}: EndedRun): AttemptEvidence {
  if (events >= MIN_SOUND_EVENTS) {
    return 'sound';
  }
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
