/** The I/O state of one request while the request flow decides on it. */
import type { Request } from '@sesamegrade/core/requests/types';
import type { StreamSequencer } from '@sesamegrade/core/streams/stream-sequencer';
import type { CallerResponse } from '../callers/caller-response';

/** The request as it is sent to an endpoint. */
export interface OutgoingCall {
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Buffer | undefined;
}

/** How the response is delivered to the caller. */
export type ResponseShape =
  /** Event by event, as the endpoint sends them. */
  | { readonly kind: 'stream'; readonly sequencer: StreamSequencer }
  /** In one piece, after it was received completely. */
  | { readonly kind: 'complete' };

/** One request, how it is sent to endpoints, and the caller's response. */
export interface Exchange {
  readonly request: Request;
  readonly call: OutgoingCall;
  readonly shape: ResponseShape;
  readonly callerResponse: CallerResponse;
}
