/** Carries an endpoint's answer to the caller. */
import type { AttemptId, EndpointId } from '@sesamegrade/core/types/ids';
import type { FailureReason } from '@sesamegrade/core/requests/types';
import type { Exchange } from '../dispatch/exchange';
import { errorCode } from './endpoint-client';
import type { EndpointResponse } from './endpoint-client';

/** How carrying an answer ended. */
export type RelayResult =
  | { readonly kind: 'finished' }
  | { readonly kind: 'caller-left' }
  | {
      readonly kind: 'broken';
      readonly breakage: FailureReason;
      readonly resumable: boolean;
    };

/** One attempt whose response has begun. */
export interface RelayTask {
  readonly exchange: Exchange;
  readonly attempt: AttemptId;
  readonly endpoint: EndpointId;
  readonly response: EndpointResponse;
  /** Called when a part of the answer goes to the caller. */
  readonly onDelivered: () => void;
}

export abstract class ResponseRelay {
  abstract forward(task: RelayTask): Promise<RelayResult>;
}

/** Sorts an error while reading an answer. */
export function failureReasonOf(error: unknown): FailureReason {
  return errorCode(error) === 'UND_ERR_BODY_TIMEOUT' ? 'stall' : 'reset';
}
