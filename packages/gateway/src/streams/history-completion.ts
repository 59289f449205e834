/**
 * Completes the history of software versions of a router that was not told of all versions
 * before its first list of the endpoints, or that has missed changes since: a relay that
 * saw them tells its versions. After a start the row with the versions counts as well; once
 * changes were missed, only if all relays have missed some too, as the store has dropped
 * its history.
 */
import { applyVersionReport } from '@sesamegrade/core/software-versions/version-report';
import type { VersionHistory } from '@sesamegrade/core/software-versions/version-history';
import type { BackgroundTasks } from '@sesamegrade/core/tasks/background-tasks';
import type { TimerService } from '@sesamegrade/core/time/timer-service';
import { withTimeout } from '@sesamegrade/core/time/with-timeout';
import { routerId } from '@sesamegrade/core/types/ids';
import type { RouterId } from '@sesamegrade/core/types/ids';
import {
  addTime,
  elapsed,
  milliseconds,
  seconds,
} from '@sesamegrade/core/types/units';
import type { Instant, Milliseconds } from '@sesamegrade/core/types/units';
import type { GatewaySettings } from '@sesamegrade/settings/gateway-schema';
import type { PeerMesh } from '../peers/peer-mesh';
import type { StoredVersions } from './stored-versions';

/** Time for the answer of a relay. */
const ANSWER_TIMEOUT: Milliseconds = milliseconds(500);
/** Time between the first two attempts; it doubles with each one. */
const FIRST_PAUSE: Milliseconds = seconds(1);
const MAX_PAUSE: Milliseconds = seconds(16);

interface RouterSettings {
  readonly router: Pick<GatewaySettings['router'], 'id'>;
}

export interface HistoryCompletionOptions {
  readonly settings: RouterSettings;
  readonly versionHistory: VersionHistory;
  readonly storedVersions: Pick<StoredVersions, 'readAfterGap'>;
  readonly peerMesh: Pick<PeerMesh, 'relays' | 'requestVersions'>;
  readonly timers: TimerService;
  readonly backgroundTasks: BackgroundTasks;
}

export class HistoryCompletion {
  readonly #options: HistoryCompletionOptions;
  #nextAt: Instant | undefined;
  #pause = FIRST_PAUSE;

  constructor(options: HistoryCompletionOptions) {
    this.#options = options;
  }

  tick(now: Instant): void {
    const { versionHistory, backgroundTasks } = this.#options;
    if (!versionHistory.isBehind(now)) {
      this.#nextAt = undefined;
      this.#pause = FIRST_PAUSE;
      return;
    }
    if (this.#nextAt && elapsed(this.#nextAt, now) < 0) {
      return;
    }
    this.#nextAt = addTime(now, this.#pause);
    this.#pause = milliseconds(Math.min(MAX_PAUSE, 2 * this.#pause));
    backgroundTasks.run('history-completion', () => this.#complete());
  }

  async #complete(): Promise<void> {
    const { versionHistory, storedVersions, timers } = this.#options;
    const answers = await Promise.all(
      this.#relays().map(relay => this.#ask(relay)),
    );
    const haveAllMissed = answers.every(isComplete => isComplete === false);
    const counts = haveAllMissed || !versionHistory.hasMissed;
    if (versionHistory.isBehind(timers.now()) && counts) {
      await storedVersions.readAfterGap();
    }
  }

  #relays(): RouterId[] {
    const { peerMesh, settings } = this.#options;
    const self = routerId(settings.router.id);
    return peerMesh.relays.filter(relay => relay !== self);
  }

  /** Returns whether the relay has seen every version; undefined if it does not answer. */
  async #ask(relay: RouterId): Promise<boolean | undefined> {
    const { peerMesh, versionHistory, timers } = this.#options;
    const answer = await withTimeout(
      peerMesh.requestVersions(relay),
      timers,
      ANSWER_TIMEOUT,
    );
    return applyVersionReport(answer, versionHistory, timers.now())?.isComplete;
  }
}
