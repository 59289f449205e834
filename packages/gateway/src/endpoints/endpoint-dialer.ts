/** Opens the TCP connections to endpoints. */
import type { Address } from '@sesamegrade/core/types/endpoint';
import type { RouterId } from '@sesamegrade/core/types/ids';
import { fail, succeed } from '@sesamegrade/core/types/result';
import type { Result } from '@sesamegrade/core/types/result';
import type { Milliseconds } from '@sesamegrade/core/types/units';
import { BoundedSocket } from '../http/bounded-socket';

/** Bytes that an endpoint may send without completing a head or adding to a body. */
export const MAX_OVERHEAD_BYTES = 262_144;

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

/** An established connection. */
export interface EndpointSocket {
  readonly socket: BoundedSocket;
  /** The router through which it leads; undefined for a direct one. */
  readonly via: RouterId | undefined;
}

/** Called exactly once. */
export type DialCallback = (result: Result<EndpointSocket, Error>) => void;

export abstract class EndpointDialer {
  abstract dial(request: DialRequest, callback: DialCallback): Dialing;

  /** Whether a new connection is better than one that leads through another router. */
  abstract isRetryDue(address: Address): boolean;
}

/** Connects to the address of the endpoint itself. */
export class DirectDialer extends EndpointDialer {
  override isRetryDue(): boolean {
    return false;
  }

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
      callback(fail(error));
    };
    socket.once('error', onError);
    socket.once('connect', () => {
      socket.off('error', onError);
      callback(succeed({ socket, via: undefined }));
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
