/**
 * Keeps one request from endpoints that its content may crash, and records what its
 * attempts show about that content.
 */
import type { EndpointEntry } from '@sesamegrade/core/endpoints/endpoint-entry';
import { attemptEvidence } from '@sesamegrade/core/poison/attempt-evidence';
import type { EndedRun } from '@sesamegrade/core/poison/attempt-evidence';
import type {
  ContentDecision,
  RelayedSuspects,
} from '@sesamegrade/core/poison/relayed-suspects';
import type { TimerService } from '@sesamegrade/core/time/timer-service';
import type { Fingerprint } from '@sesamegrade/core/types/ids';
import type { CrashDetector } from '../endpoints/crash-detector';
import { requestContents } from './request-contents';
import type { RequestContent } from './request-contents';

export interface CrashGuardOptions {
  readonly suspects: RelayedSuspects;
  readonly crashDetector: CrashDetector;
  readonly timers: TimerService;
}

export class CrashGuard {
  readonly #options: CrashGuardOptions;
  readonly #content: RequestContent;
  /** Determined when they are first needed. */
  #fingerprints: readonly Fingerprint[] | undefined;
  #breaks = 0;

  constructor(options: CrashGuardOptions, content: RequestContent) {
    this.#options = options;
    this.#content = content;
  }

  /** Decides whether the request is sent now; nothing is compared while no suspect is known. */
  decide(): ContentDecision {
    const { suspects, timers } = this.#options;
    return suspects.size === 0
      ? { kind: 'run' }
      : suspects.decideAll(this.#contents, timers.now());
  }

  /** Records that the request is sent as the trial that `decide` allowed. */
  recordTrial(): void {
    const { suspects, timers } = this.#options;
    suspects.onTrialSent(this.#contents, timers.now());
  }

  /** Records the number of events that an attempt has sent so far. */
  recordProgress(events: number): void {
    const { suspects, timers } = this.#options;
    if (suspects.size > 0) {
      suspects.recordProgress(this.#contents, events, timers.now());
    }
  }

  /**
   * Records the end of an attempt that sent a number of events. Resolves after a second break
   * only when the endpoint was probed, as the next attempt may crash another one.
   */
  async recordEnd(
    entry: EndpointEntry,
    run: EndedRun,
    events: number,
  ): Promise<void> {
    const { suspects, crashDetector, timers } = this.#options;
    const { result } = run;
    if (result.kind === 'declined' && result.decline === 'other-instance') {
      crashDetector.onReplaced(entry.id);
    }
    const evidence = attemptEvidence(run);
    if (evidence === 'sound' && suspects.size > 0) {
      suspects.clearAll(this.#contents, timers.now());
    }
    if (evidence !== 'broken-off') {
      return;
    }
    this.#breaks += 1;
    const isSuspect = this.#contents.some(
      id => suspects.suspicion(id) !== 'none',
    );
    const verdict = crashDetector.onBroken(entry, this.#contents, events);
    if (isSuspect || this.#breaks > 1) {
      await verdict;
    }
  }

  /** Determines the fingerprints, as the body will not be there later. */
  onBodyReleased(): void {
    this.#fingerprints ??= requestContents(this.#content);
  }

  get #contents(): readonly Fingerprint[] {
    this.#fingerprints ??= requestContents(this.#content);
    return this.#fingerprints;
  }
}
