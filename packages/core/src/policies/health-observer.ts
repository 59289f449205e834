/**
 * Feeds the results of attempts, as callers see them, to outlier detection and
 * records ejections.
 */
import type { AttemptObservation } from '../outliers/attempt-observation';
import type {
  OutlierDetector,
  EjectionChange,
} from '../outliers/outlier-detector';
import { AttemptObserver } from '../requests/steps';
import type { AttemptReport, AttemptInfo } from '../requests/steps';
import type { EventRecorder } from '../timeline/event';
import type { AttemptId, EndpointId } from '../types/ids';
import { elapsed, milliseconds } from '../types/units';
import type { Instant } from '../types/units';

export interface HealthObserverOptions {
  readonly detector: OutlierDetector;
  readonly recorder: EventRecorder;
}

interface Progress {
  readonly endpoint: EndpointId;
  /** Whether progress can be observed before the response ends. */
  readonly streamed: boolean;
  readonly startedAt: Instant;
  readonly firstTokenAt: Instant | undefined;
}

export class HealthObserver extends AttemptObserver {
  readonly #detector: OutlierDetector;
  readonly #recorder: EventRecorder;
  readonly #attempts = new Map<AttemptId, Progress>();

  constructor(options: HealthObserverOptions) {
    super();
    this.#detector = options.detector;
    this.#recorder = options.recorder;
  }

  override onAttemptStarted(info: AttemptInfo, now: Instant): void {
    const { attempt, endpoint, request } = info;
    this.#attempts.set(attempt, {
      endpoint,
      streamed: request.streamed,
      startedAt: now,
      firstTokenAt: undefined,
    });
    this.#detector.onAttemptStarted(endpoint, attempt, now);
  }

  override onAttemptProgress(
    { attempt, endpoint }: AttemptInfo,
    now: Instant,
  ): void {
    const progress = this.#attempts.get(attempt);
    if (progress) {
      const firstTokenAt = progress.firstTokenAt ?? now;
      this.#attempts.set(attempt, { ...progress, firstTokenAt });
    }
    this.#detector.onAttemptProgress(endpoint, attempt, now);
  }

  override onAttemptEnded(
    info: AttemptInfo,
    report: AttemptReport,
    events: number,
    now: Instant,
  ): void {
    const { attempt, endpoint, request } = info;
    const progress = this.#attempts.get(attempt);
    this.#attempts.delete(attempt);
    const isChat = request.target.kind === 'chat';
    const observation = observationOf(report, isChat, progress, events, now);
    this.#recordChanges(
      this.#detector.onAttemptEnded(endpoint, attempt, observation, now),
    );
  }

  /** Lets the detector count overdue attempts and end ejections. */
  tick(now: Instant): void {
    for (const [attempt, { endpoint, streamed }] of this.#attempts) {
      if (!streamed) {
        // A response that is not streamed shows no progress until it ends and may take long.
        this.#detector.onAttemptProgress(endpoint, attempt, now);
      }
    }
    this.#recordChanges(this.#detector.tick(now));
  }

  #recordChanges(changes: readonly EjectionChange[]): void {
    for (const { kind, endpoint } of changes) {
      if (kind !== 'probation') {
        const event =
          kind === 'ejected' ? 'endpoint-ejected' : 'endpoint-restored';
        this.#recorder.record(event, { endpoint });
      }
    }
  }
}

function observationOf(
  report: AttemptReport,
  isChat: boolean,
  progress: Progress | undefined,
  events: number,
  now: Instant,
): AttemptObservation | undefined {
  switch (report) {
    case 'finished':
      return completedObservation(isChat, progress, events, now);
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

/** A response that is not streamed has no first token; it shows only that the endpoint works. */
function completedObservation(
  isChat: boolean,
  progress: Progress | undefined,
  events: number,
  now: Instant,
): AttemptObservation {
  const streamed = isChat && events > 0;
  if (!streamed || progress?.firstTokenAt === undefined) {
    return { kind: 'answered', firstToken: milliseconds(0) };
  }
  const firstToken = elapsed(progress.startedAt, progress.firstTokenAt);
  const gaps = Math.max(1, events - 1);
  const tokenGap = milliseconds(elapsed(progress.firstTokenAt, now) / gaps);
  return { kind: 'answered', firstToken, tokenGap };
}
