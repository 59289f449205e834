/** Connects to an endpoint through another router, by HTTP CONNECT at the port for peers. */
import { request, validateHeaderName } from 'node:http';

import type { RouterIdentity } from '@sesamegrade/core/membership/router-table';
import { formatAddress } from '@sesamegrade/core/types/address';
import type { Address } from '@sesamegrade/core/types/endpoint';
import { fail, succeed } from '@sesamegrade/core/types/result';
import type { Result } from '@sesamegrade/core/types/result';
import type { Milliseconds } from '@sesamegrade/core/types/units';
import { newNonce } from '@sesamegrade/router/peers/peer-proof';
import type { PeerProof } from '@sesamegrade/router/peers/peer-proof';
import type {
  DialCallback,
  Dialing,
  EndpointSocket,
} from '../endpoints/endpoint-dialer';
import { MAX_OVERHEAD_BYTES } from '../endpoints/endpoint-dialer';
import { BoundedSocket } from '../http/bounded-socket';
import { credentialsOf } from './tunnel-credentials';

const STATUS_OK = 200;

export class TunnelClient {
  readonly #proof: PeerProof;

  constructor(proof: PeerProof) {
    this.#proof = proof;
  }

  /** Fails with a `TunnelRefusedError` if the peer answers that there is no connection. */
  dial(
    peer: RouterIdentity,
    address: Address,
    timeout: Milliseconds,
    callback: DialCallback,
  ): Dialing {
    const socket = new BoundedSocket({
      address: peer.address,
      connectTimeout: timeout,
      maxBytes: MAX_OVERHEAD_BYTES,
    });
    const target = formatAddress(address);
    const connect = request({
      method: 'CONNECT',
      path: target,
      headers: {
        host: target,
        'proxy-authorization': credentialsOf(
          this.#proof.connectionParameters(peer.id, newNonce()),
        ),
      },
      createConnection: () => socket,
    });
    let isDone = false;
    const finish = (result: Result<EndpointSocket, Error>) => {
      if (isDone) {
        return;
      }
      isDone = true;
      clearTimeout(timer);
      if (!result.ok) {
        socket.destroy();
      }
      callback(result);
    };
    const timer = setTimeout(() => {
      finish(fail(new TunnelTimeoutError()));
    }, timeout);
    connect.once('connect', (answer, _socket, head: Buffer) => {
      const { statusCode = 0, rawHeaders } = answer;
      if (!hasValidNames(rawHeaders)) {
        finish(fail(new MalformedAnswerError()));
        return;
      }
      if (statusCode !== STATUS_OK) {
        finish(fail(new TunnelRefusedError(statusCode)));
        return;
      }
      socket.resetCount();
      if (head.length > 0) {
        socket.unshift(head);
      }
      finish(succeed({ socket, via: peer.id }));
    });
    connect.on('error', error => {
      finish(fail(error));
    });
    connect.end();
    return {
      cancel: () => {
        finish(fail(new TunnelTimeoutError()));
      },
    };
  }
}

/** A peer answered that it makes no connection; the status says why. */
export class TunnelRefusedError extends Error {
  readonly code = 'TUNNEL_REFUSED';
  readonly status: number;

  constructor(status: number) {
    super(`the peer answered ${status}`);
    this.status = status;
  }
}

class MalformedAnswerError extends Error {
  readonly code = 'MALFORMED_ANSWER';
}

class TunnelTimeoutError extends Error {
  readonly code = 'TUNNEL_TIMEOUT';
}

/** Node.js refuses control bytes in a name, but reads one that is empty or has blanks. */
function hasValidNames(rawHeaders: readonly string[]): boolean {
  return rawHeaders.every((name, at) => at % 2 === 1 || isHeaderName(name));
}

function isHeaderName(name: string): boolean {
  try {
    validateHeaderName(name);
    return true;
  } catch {
    return false;
  }
}
