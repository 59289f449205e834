/** Judges endpoints by how their attempts went, as callers saw them. */
import type { Evidence } from '../outliers/evidence';
import type {
  OutlierDetector,
  StandingChange,
} from '../outliers/outlier-detector';
import { AttemptObserver } from '../requests/steps';
import type { AttemptReport, AttemptInfo } from '../requests/steps';
import type { EventRecorder } from '../timeline/event';
import type { AttemptId, EndpointId } from '../types/ids';
import { elapsed, milliseconds } from '../types/units';
import type { Instant } from '../types/units';

export interface HealthWatchOptions {
  readonly detector: OutlierDetector;
  readonly recorder: EventRecorder;
}

interface Progress {
  readonly endpoint: EndpointId;
  /** Whether the answer shows signs of life before its end. */
  readonly streamed: boolean;
  readonly startedAt: Instant;
  readonly firstAt: Instant | undefined;
}

export class HealthWatch extends AttemptObserver {
  readonly #detector: OutlierDetector;
  readonly #recorder: EventRecorder;
  readonly #attempts = new Map<AttemptId, Progress>();

  constructor(options: HealthWatchOptions) {
    super();
    this.#detector = options.detector;
    this.#recorder = options.recorder;
  }

  override onAttemptStarted(facts: AttemptInfo, now: Instant): void {
    const { attempt, endpoint, request } = facts;
    this.#attempts.set(attempt, {
      endpoint,
      streamed: request.streamed,
      startedAt: now,
      firstAt: undefined,
    });
    this.#detector.started(endpoint, attempt, now);
  }

  override onAttemptProgress(
    { attempt, endpoint }: AttemptInfo,
    now: Instant,
  ): void {
    const progress = this.#attempts.get(attempt);
    if (progress) {
      const firstAt = progress.firstAt ?? now;
      this.#attempts.set(attempt, { ...progress, firstAt });
    }
    this.#detector.progressed(endpoint, attempt, now);
  }

  override onAttemptEnded(
    facts: AttemptInfo,
    ending: AttemptReport,
    events: number,
    now: Instant,
  ): void {
    const { attempt, endpoint, request } = facts;
    const progress = this.#attempts.get(attempt);
    this.#attempts.delete(attempt);
    const isChat = request.target.kind === 'chat';
    const evidence = evidenceOf(ending, isChat, progress, events, now);
    this.#tell(this.#detector.ended(endpoint, attempt, evidence, now));
  }

  /** Ends ejections and counts attempts that are overdue. */
  tick(now: Instant): void {
    for (const [attempt, { endpoint, streamed }] of this.#attempts) {
      if (!streamed) {
        // An answer in one piece may take long; its silence says nothing.
        this.#detector.progressed(endpoint, attempt, now);
      }
    }
    this.#tell(this.#detector.tick(now));
  }

  #tell(changes: readonly StandingChange[]): void {
    for (const { kind, endpoint } of changes) {
      if (kind !== 'probation') {
        const event =
          kind === 'ejected' ? 'endpoint-ejected' : 'endpoint-restored';
        this.#recorder.record(event, { endpoint });
      }
    }
  }
}

function evidenceOf(
  ending: AttemptReport,
  isChat: boolean,
  progress: Progress | undefined,
  events: number,
  now: Instant,
): Evidence | undefined {
  switch (ending) {
    case 'finished':
      return answered(isChat, progress, events, now);
    case 'not-sent':
      return { kind: 'connection-refused' };
    case 'reset':
    case 'stall':
      return { kind: 'error' };
    case 'slow-start':
      return { kind: 'overdue' };
    default:
      return undefined;
  }
}

/** An answer in one piece shows no first token, only that the endpoint works. */
function answered(
  isChat: boolean,
  progress: Progress | undefined,
  events: number,
  now: Instant,
): Evidence {
  const streamed = isChat && events > 0;
  if (!streamed || progress?.firstAt === undefined) {
    return { kind: 'answered', firstToken: milliseconds(0) };
  }
  const firstToken = elapsed(progress.startedAt, progress.firstAt);
  const gaps = Math.max(1, events - 1);
  const tokenGap = milliseconds(elapsed(progress.firstAt, now) / gaps);
  return { kind: 'answered', firstToken, tokenGap };
}
