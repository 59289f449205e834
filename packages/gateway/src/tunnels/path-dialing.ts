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

/** Other routers that do not reach the endpoint in time, after which no more are asked. */
const MAX_TIMED_OUT_PEERS = 2;

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
  readonly directDialer: Pick<EndpointDialer, 'dial'>;
  readonly tunnelClient: Pick<TunnelClient, 'dial'>;
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
  /** Whether another router was refused a connection. */
  #isConfirmedEnded = false;
  #timedOutPeers = 0;
  /** Routers that no endpoint of the service accepts connections from. */
  #refusedPeers = 0;
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
    if (!peer || this.#isDone || this.#isUnreachable) {
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
    const isRefused = statusOf(error) === TunnelStatus.endpointRefused;
    this.#isConfirmedEnded ||= isRefused;
    const hasTimedOut = statusOf(error) === TunnelStatus.endpointTimeout;
    this.#timedOutPeers += hasTimedOut ? 1 : 0;
    const isServiceRefused = statusOf(error) === TunnelStatus.serviceRefused;
    this.#refusedPeers += isServiceRefused ? 1 : 0;
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

  /** Whether asking further routers is of no use. */
  get #isUnreachable(): boolean {
    return this.#isConfirmedEnded || this.#timedOutPeers >= MAX_TIMED_OUT_PEERS;
  }

  #failIfExhausted(): void {
    if (this.#isDone || this.#directState !== 'failed') {
      return;
    }
    if (this.#isUnreachable) {
      const failure = this.#isConfirmedEnded
        ? new DialingFailedError('ECONNREFUSED')
        : this.#unprovenFailure();
      this.#finish({ kind: 'unreachable' }, fail(failure));
      return;
    }
    const asked = this.#peers?.length ?? 0;
    if (this.#pendingPeers > 0 || this.#nextPeer < asked) {
      return;
    }
    if (asked > 0 && this.#refusedPeers === asked) {
      // Either the whole service has ended, or all of these routers are cut off from it.
      const refusal = new DialingFailedError('ECONNREFUSED');
      this.#finish({ kind: 'unreachable' }, fail(refusal));
      return;
    }
    const failure =
      asked > 0
        ? this.#unprovenFailure()
        : (this.#directError ?? new DialingFailedError('NO_PATH'));
    this.#finish({ kind: 'failed' }, fail(failure));
  }

  /** The direct failure, but no refusal that only the path may have caused. */
  #unprovenFailure(): Error {
    return this.#directError && !isRefusal(this.#directError)
      ? this.#directError
      : new DialingFailedError('NO_PATH');
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

function statusOf(error: Error): number | undefined {
  return error instanceof TunnelRefusedError ? error.status : undefined;
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

class DialingFailedError extends Error {
  readonly code: string;

  constructor(code: string) {
    super(`no connection to the endpoint: ${code}`);
    this.code = code;
  }
}
