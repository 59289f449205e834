/**
 * Keeps events of another process than the chosen endpoint's out of one resumable stream:
 * that process may run another software version.
 */
import type { EndpointEntry } from '@sesamegrade/core/endpoints/endpoint-entry';
import type { BackgroundTasks } from '@sesamegrade/core/tasks/background-tasks';
import type { RequestId } from '@sesamegrade/core/types/ids';
import type { Instant } from '@sesamegrade/core/types/units';
import type {
  ProcessVerdict,
  ProcessVerification,
} from '../endpoints/process-verification';
import type { DecisionLog } from '../logs/decision-log';

export interface StreamProcessCheckOptions {
  readonly processVerification: ProcessVerification;
  readonly backgroundTasks: BackgroundTasks;
  readonly log: DecisionLog;
}

/** The connection of an attempt, as its events arrive or after its end. */
export interface AttemptConnection {
  readonly entry: EndpointEntry;
  readonly establishedAt: Instant | undefined;
}

export class StreamProcessCheck {
  readonly #options: StreamProcessCheckOptions;
  readonly #request: RequestId;
  /** Resolves once it is known who sent the events that were passed on. */
  #earlierEvents: Promise<void> | undefined;

  constructor(options: StreamProcessCheckOptions, request: RequestId) {
    this.#options = options;
    this.#request = request;
  }

  /**
   * Whether events that begin a stream may be passed on. While the table of endpoints is
   * confirmed that is not asked for: a restart shows there before the stream is over.
   */
  mayBegin(connection: AttemptConnection): true | Promise<boolean> {
    const { processVerification } = this.#options;
    return (
      processVerification.isInTouch ||
      this.#isConfirmed(connection) ||
      this.#isNoOther('begin', connection)
    );
  }

  /** Whether the process of the entry has provably sent the events. */
  async isSame(connection: AttemptConnection): Promise<boolean> {
    return (await this.#verdict('begin', connection)) === 'same';
  }

  /** Whether events that continue a stream may be passed on. */
  mayContinue(connection: AttemptConnection): true | Promise<boolean> {
    const earlier = this.#earlierEvents;
    if (!earlier && this.#isConfirmed(connection)) {
      return true;
    }
    const verdict = this.#isNoOther('continue', connection);
    return earlier
      ? Promise.all([verdict, earlier]).then(([isNoOther]) => isNoOther)
      : verdict;
  }

  /**
   * Checks after an attempt who sent the events that were passed on, as the stream may be
   * continued. Calls `onOther` if another process may have.
   */
  afterAttempt(connection: AttemptConnection, onOther: () => void): void {
    if (this.#isConfirmed(connection)) {
      return;
    }
    const earlier = this.#earlierEvents;
    this.#earlierEvents = this.#verdict('end', connection).then(
      async verdict => {
        if (verdict === 'other') {
          onOther();
        }
        await earlier;
      },
    );
    const { backgroundTasks } = this.#options;
    const checked = this.#earlierEvents;
    backgroundTasks.run('stream-process', () => checked);
  }

  #isConfirmed({ entry, establishedAt }: AttemptConnection): boolean {
    return this.#options.processVerification.isConfirmed(entry, establishedAt);
  }

  async #isNoOther(
    step: string,
    connection: AttemptConnection,
  ): Promise<boolean> {
    return (await this.#verdict(step, connection)) !== 'other';
  }

  async #verdict(
    step: string,
    { entry, establishedAt }: AttemptConnection,
  ): Promise<ProcessVerdict> {
    const { processVerification, log } = this.#options;
    const verdict = await processVerification.verify(entry, establishedAt);
    if (verdict !== 'same') {
      log.write('stream-process', {
        request: this.#request,
        endpoint: entry.id,
        step,
        verdict,
      });
    }
    return verdict;
  }
}
