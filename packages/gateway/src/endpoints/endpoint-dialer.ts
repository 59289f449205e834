/** Opens the TCP connections to endpoints. */
import type { Address } from '@sesamegrade/core/types/endpoint';
import type { Milliseconds } from '@sesamegrade/core/types/units';
import { BoundedSocket } from '../http/bounded-socket';

/** Bytes that an endpoint may send without completing a head or adding to a body. */
const MAX_OVERHEAD_BYTES = 262_144;

export interface DialRequest {
  readonly address: Address;
  /** Timeout for establishing the connection. */
  readonly timeout: Milliseconds;
}

/** A connection that is being established. */
export interface Dialing {
  /** Gives up; the callback is called with an error unless it was called before. */
  cancel(): void;
}

/** Called exactly once, with an established connection or the reason why there is none. */
export type DialCallback = (
  ...result: [Error, null] | [null, BoundedSocket]
) => void;

export abstract class EndpointDialer {
  abstract dial(request: DialRequest, callback: DialCallback): Dialing;
}

/** Connects to the address of the endpoint itself. */
export class DirectDialer extends EndpointDialer {
  override dial(
    { address, timeout }: DialRequest,
    callback: DialCallback,
  ): Dialing {
    const socket = new BoundedSocket({
      address,
      connectTimeout: timeout,
      maxBytes: MAX_OVERHEAD_BYTES,
    });
    const onError = (error: Error) => {
      callback(error, null);
    };
    socket.once('error', onError);
    socket.once('connect', () => {
      socket.off('error', onError);
      callback(null, socket);
    });
    return {
      cancel: () => {
        if (socket.connecting) {
          socket.destroy(new DialCancelledError());
        }
      },
    };
  }
}

class DialCancelledError extends Error {
  readonly code = 'DIAL_CANCELLED';
}
