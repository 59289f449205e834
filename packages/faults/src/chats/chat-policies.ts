/** Plain policies around a request flow, for histories of chats. */
import {
  AdmissionStep,
  PlacingStep,
  RetryStep,
} from '@sesamegrade/core/requests/steps';
import type {
  AdmissionAnswer,
  AttemptFacts,
  FailedRequest,
  PlacingAnswer,
  QueuedAnswer,
  RetryAnswer,
} from '@sesamegrade/core/requests/steps';
import type { Request } from '@sesamegrade/core/requests/types';
import type { Random } from '@sesamegrade/core/random/random';
import type { AttemptId, EndpointId } from '@sesamegrade/core/types/ids';
import { milliseconds } from '@sesamegrade/core/types/units';

const MAX_ATTEMPTS = 3;
const MAX_RESUMPTIONS = 3;
const RETRY_DELAY = milliseconds(20);
const RETRY_AFTER = milliseconds(500);

export class OpenAdmission extends AdmissionStep {
  override request(): AdmissionAnswer {
    return { kind: 'admitted' };
  }

  override released(): void {
    // Nothing is counted.
  }

  override tick(): readonly QueuedAnswer[] {
    return [];
  }
}

/** Places at random on what the router sees, and notes attempts that never end. */
export class RandomPlacing extends PlacingStep {
  readonly open = new Set<AttemptId>();
  readonly #random: Random;
  readonly #visible: () => readonly EndpointId[];

  constructor(random: Random, visible: () => readonly EndpointId[]) {
    super();
    this.#random = random;
    this.#visible = visible;
  }

  override choose(
    _request: Request,
    avoided: readonly EndpointId[],
  ): PlacingAnswer {
    const free = this.#visible().filter(id => !avoided.includes(id));
    if (free.length === 0) {
      const reason = { kind: 'no-endpoint', retryAfter: RETRY_AFTER } as const;
      return { kind: 'refused', reason };
    }
    return { kind: 'endpoint', endpoint: this.#random.pick(free) };
  }

  override started({ attempt }: AttemptFacts): void {
    this.open.add(attempt);
  }

  override progressed(): void {
    // Nothing is learned.
  }

  override ended({ attempt }: AttemptFacts): void {
    this.open.delete(attempt);
  }
}

export class BoundedRetries extends RetryStep {
  override requestArrived(): void {
    // There is no budget.
  }

  override mayRetry({ attempts }: FailedRequest): RetryAnswer {
    return attempts < MAX_ATTEMPTS
      ? { kind: 'retry', after: RETRY_DELAY }
      : { kind: 'give-up' };
  }

  override mayResume(resumptions: number): RetryAnswer {
    return resumptions < MAX_RESUMPTIONS
      ? { kind: 'retry', after: RETRY_DELAY }
      : { kind: 'give-up' };
  }
}
