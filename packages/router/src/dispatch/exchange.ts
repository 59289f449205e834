/** What the shell keeps for one request while the flow decides on it. */
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

/** How the answer reaches the caller. */
export type ResponseShape =
  /** Event by event, as the endpoint sends them. */
  | { readonly kind: 'stream'; readonly sequencer: StreamSequencer }
  /** In one piece, once all of it is here. */
  | { readonly kind: 'whole' };

export interface Exchange {
  readonly request: Request;
  readonly call: OutgoingCall;
  readonly shape: ResponseShape;
  readonly callerResponse: CallerResponse;
}
