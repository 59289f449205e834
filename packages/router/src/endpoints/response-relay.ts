/** Interface of relays, which forward an endpoint's response to the caller. */
import type { AttemptId, EndpointId } from '@sesamegrade/core/types/ids';
import type { FailureReason } from '@sesamegrade/core/requests/types';
import type { Exchange } from '../dispatch/exchange';
import { errorCode } from './endpoint-client';
import type { EndpointResponse } from './endpoint-client';

/** Result of forwarding a response. */
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
  /** Called when a part of the response is written to the caller. */
  readonly onDelivered: () => void;
}

export abstract class ResponseRelay {
  abstract forward(task: RelayTask): Promise<RelayResult>;
}

/** Classifies an error that occurred while the response body was read. */
export function failureReasonOf(error: unknown): FailureReason {
  return errorCode(error) === 'UND_ERR_BODY_TIMEOUT' ? 'stall' : 'reset';
}
