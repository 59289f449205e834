/**
 * Request policies of simulated chats: unlimited admission, random placement,
 * limited retries.
 */
import {
  AdmissionStep,
  PlacementStep,
  RetryStep,
} from '@sesamegrade/core/requests/steps';
import type {
  AdmissionResult,
  AttemptInfo,
  FailedRequest,
  PlacementResult,
  QueuedAdmissionResult,
  RetryResult,
} from '@sesamegrade/core/requests/steps';
import type { Request } from '@sesamegrade/core/requests/types';
import type { Random } from '@sesamegrade/core/random/random';
import type { AttemptId, EndpointId } from '@sesamegrade/core/types/ids';
import { milliseconds } from '@sesamegrade/core/types/units';

const MAX_ATTEMPTS = 3;
const MAX_RESUMPTIONS = 3;
const RETRY_DELAY = milliseconds(20);
const RETRY_AFTER = milliseconds(500);

export class UnlimitedAdmissionStep extends AdmissionStep {
  override request(): AdmissionResult {
    return { kind: 'admitted' };
  }

  override release(): void {
    // Admission is unlimited, so there is nothing to release.
  }

  override tick(): readonly QueuedAdmissionResult[] {
    return [];
  }
}

/** Picks a random visible endpoint and records the attempts that have not ended. */
export class RandomPlacementStep extends PlacementStep {
  readonly openAttempts = new Set<AttemptId>();
  readonly #random: Random;
  readonly #visibleEndpoints: () => readonly EndpointId[];

  constructor(random: Random, visibleEndpoints: () => readonly EndpointId[]) {
    super();
    this.#random = random;
    this.#visibleEndpoints = visibleEndpoints;
  }

  override choose(
    _request: Request,
    avoided: readonly EndpointId[],
  ): PlacementResult {
    const candidates = this.#visibleEndpoints().filter(
      id => !avoided.includes(id),
    );
    if (candidates.length === 0) {
      const reason = { kind: 'no-endpoint', retryAfter: RETRY_AFTER } as const;
      return { kind: 'refused', reason };
    }
    return { kind: 'endpoint', endpoint: this.#random.pick(candidates) };
  }

  override onAttemptStarted({ attempt }: AttemptInfo): void {
    this.openAttempts.add(attempt);
  }

  override onAttemptProgress(): void {
    // Random placement does not depend on progress.
  }

  override onAttemptEnded({ attempt }: AttemptInfo): void {
    this.openAttempts.delete(attempt);
  }
}

export class LimitedRetryStep extends RetryStep {
  override onRequestArrived(): void {
    // Retries are limited per request; there is no shared budget.
  }

  override decideRetry({ attempts }: FailedRequest): RetryResult {
    return attempts < MAX_ATTEMPTS
      ? { kind: 'retry', after: RETRY_DELAY }
      : { kind: 'give-up' };
  }

  override decideResume(resumptions: number): RetryResult {
    return resumptions < MAX_RESUMPTIONS
      ? { kind: 'retry', after: RETRY_DELAY }
      : { kind: 'give-up' };
  }
}
