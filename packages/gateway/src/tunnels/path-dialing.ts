/** One connection to an endpoint that is being established, directly and through other routers. */
import type {
  CutKind,
  PathMode,
} from '@sesamegrade/core/endpoint-paths/endpoint-paths';
import type { RouterIdentity } from '@sesamegrade/core/membership/router-table';
import type { TimerService } from '@sesamegrade/core/time/timer-service';
import { fail } from '@sesamegrade/core/types/result';
import type { Result } from '@sesamegrade/core/types/result';
import type { RouterId } from '@sesamegrade/core/types/ids';
import { milliseconds } from '@sesamegrade/core/types/units';
import type { Milliseconds } from '@sesamegrade/core/types/units';
import type {
  DialCallback,
  Dialing,
  DialRequest,
  EndpointDialer,
  EndpointSocket,
} from '../endpoints/endpoint-dialer';
import { TunnelRefusedError } from './tunnel-client';
import type { TunnelClient } from './tunnel-client';
import { TunnelStatus } from './tunnel-server';

/** Time for which a direct connection is waited for before another router is asked. */
const MAX_DIRECT_LEAD: Milliseconds = milliseconds(100);
/** The same as a share of the timeout of the connection. */
const DIRECT_LEAD_SHARE = 0.5;
/** Time after which the next router is asked although the last one has not answered. */
const PEER_STAGGER: Milliseconds = milliseconds(50);
/** Timeout of a connection through another router, which itself waits for the endpoint. */
const PEER_TIMEOUT: Milliseconds = milliseconds(250);

/** How the connection came about; `cut` is what became of the direct one, if it was tried. */
export type DialingEnd =
  | { readonly kind: 'direct' }
  | { readonly kind: 'peer'; readonly cut: CutKind | undefined }
  /** Another router did not reach the endpoint either. */
  | { readonly kind: 'unreachable' }
  | { readonly kind: 'failed' };

export interface PathDialingOptions {
  readonly request: DialRequest;
  readonly mode: PathMode;
  readonly directDialer: EndpointDialer;
  readonly tunnelClient: TunnelClient;
  readonly timers: TimerService;
  /** The routers to ask, in order. */
  readonly peers: () => readonly RouterIdentity[];
  readonly onPeerEnd: (peer: RouterId, isWorking: boolean) => void;
  readonly onEnd: (end: DialingEnd) => void;
  readonly callback: DialCallback;
}

export class PathDialing implements Dialing {
  readonly #options: PathDialingOptions;
  readonly #dialings = new Set<Dialing>();
  readonly #cancels = new Set<() => void>();
  #peers: readonly RouterIdentity[] | undefined;
  #nextPeer = 0;
  #pendingPeers = 0;
  #directState: 'idle' | 'pending' | 'failed' = 'idle';
  #directError: Error | undefined;
  #isConfirmedUnreachable = false;
  #isDone = false;

  constructor(options: PathDialingOptions) {
    this.#options = options;
  }

  start(): void {
    const { mode, request } = this.#options;
    if (mode === 'peer') {
      this.#startPeers();
      return;
    }
    const lead = Math.min(MAX_DIRECT_LEAD, request.timeout * DIRECT_LEAD_SHARE);
    this.#after(milliseconds(lead), () => {
      this.#startPeers();
    });
    this.#startDirect();
  }

  cancel(): void {
    this.#finish({ kind: 'failed' }, fail(new DialingFailedError('CANCELLED')));
  }

  #startDirect(): void {
    const { directDialer, request } = this.#options;
    this.#directState = 'pending';
    this.#track(
      directDialer.dial(request, result => {
        if (this.#isDone) {
          discard(result);
        } else if (!result.ok) {
          this.#directState = 'failed';
          this.#directError = result.failure;
          this.#startPeers();
          this.#failIfExhausted();
        } else {
          this.#finish({ kind: 'direct' }, result);
        }
      }),
    );
  }

  #startPeers(): void {
    if (this.#peers || this.#isDone) {
      return;
    }
    this.#peers = this.#options.peers();
    this.#askNextPeer();
  }

  #askNextPeer(): void {
    const peer = this.#peers?.[this.#nextPeer];
    if (!peer || this.#isDone || this.#isConfirmedUnreachable) {
      this.#startDirectAfterPeers();
      this.#failIfExhausted();
      return;
    }
    this.#nextPeer += 1;
    this.#pendingPeers += 1;
    const number = this.#nextPeer;
    this.#after(PEER_STAGGER, () => {
      if (this.#nextPeer === number) {
        this.#askNextPeer();
      }
    });
    const { tunnelClient, request } = this.#options;
    this.#track(
      tunnelClient.dial(peer, request.address, PEER_TIMEOUT, result => {
        this.#pendingPeers -= 1;
        if (this.#isDone) {
          discard(result);
        } else if (!result.ok) {
          this.#onPeerFailed(peer.id, result.failure, number);
        } else {
          this.#options.onPeerEnd(peer.id, true);
          const end = { kind: 'peer', cut: this.#cutKind() } as const;
          this.#finish(end, result);
        }
      }),
    );
  }

  #onPeerFailed(peer: RouterId, error: Error, number: number): void {
    const isRefused =
      error instanceof TunnelRefusedError &&
      error.status === TunnelStatus.endpointRefused;
    this.#isConfirmedUnreachable ||= isRefused;
    this.#options.onPeerEnd(peer, isRefused);
    if (this.#nextPeer === number) {
      this.#askNextPeer();
    }
    this.#failIfExhausted();
  }

  /** Tries the endpoint itself last if the path was thought to be cut. */
  #startDirectAfterPeers(): void {
    if (this.#directState === 'idle' && !this.#isDone) {
      this.#startDirect();
    }
  }

  #cutKind(): CutKind | undefined {
    if (this.#directState === 'idle') {
      return undefined;
    }
    return isRefusal(this.#directError) ? 'refused' : 'timeout';
  }

  #failIfExhausted(): void {
    const hasPeersLeft =
      this.#peers !== undefined &&
      !this.#isConfirmedUnreachable &&
      this.#nextPeer < this.#peers.length;
    if (
      this.#isDone ||
      this.#directState !== 'failed' ||
      this.#pendingPeers > 0 ||
      hasPeersLeft
    ) {
      return;
    }
    const hasAsked = (this.#peers?.length ?? 0) > 0;
    if (this.#isConfirmedUnreachable) {
      this.#finish({ kind: 'unreachable' }, fail(refusal()));
    } else if (hasAsked) {
      // Nobody says whether the endpoint or only the path to it has failed.
      this.#finish({ kind: 'failed' }, fail(new DialingFailedError('NO_PATH')));
    } else {
      this.#finish({ kind: 'failed' }, fail(this.#directError ?? refusal()));
    }
  }

  #finish(end: DialingEnd, result: Result<EndpointSocket, Error>): void {
    if (this.#isDone) {
      return;
    }
    this.#isDone = true;
    this.#cancels.forEach(cancel => {
      cancel();
    });
    this.#options.onEnd(end);
    this.#options.callback(result);
    this.#dialings.forEach(dialing => {
      dialing.cancel();
    });
  }

  #track(dialing: Dialing): void {
    this.#dialings.add(dialing);
  }

  #after(delay: Milliseconds, run: () => void): void {
    this.#cancels.add(this.#options.timers.after(delay, run));
  }
}

function discard(result: Result<EndpointSocket, Error>): void {
  if (result.ok) {
    result.value.socket.destroy();
  }
}

function isRefusal(error: Error | undefined): boolean {
  return (
    error !== undefined && 'code' in error && error.code === 'ECONNREFUSED'
  );
}

function refusal(): Error {
  return new DialingFailedError('ECONNREFUSED');
}

class DialingFailedError extends Error {
  readonly code: string;

  constructor(code: string) {
    super(`no connection to the endpoint: ${code}`);
    this.code = code;
  }
}
