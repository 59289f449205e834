/**
 * Opens connections to endpoints directly or, where that fails or takes long, through
 * another router that reaches the endpoint. Whichever connection comes about first is used.
 */
import type { EndpointPaths } from '@sesamegrade/core/endpoint-paths/endpoint-paths';
import { TunnelPeers } from '@sesamegrade/core/endpoint-paths/tunnel-peers';
import type { RouterIdentity } from '@sesamegrade/core/membership/router-table';
import type { RouterDirectory } from '@sesamegrade/core/peers/router-directory';
import type { TimerService } from '@sesamegrade/core/time/timer-service';
import type { Address } from '@sesamegrade/core/types/endpoint';
import { routerId, zoneId } from '@sesamegrade/core/types/ids';
import { elapsed, milliseconds, seconds } from '@sesamegrade/core/types/units';
import type { Instant, Milliseconds } from '@sesamegrade/core/types/units';
import type { GatewaySettings } from '@sesamegrade/settings/gateway-schema';
import { EndpointDialer } from '../endpoints/endpoint-dialer';
import type {
  DialCallback,
  Dialing,
  DialRequest,
} from '../endpoints/endpoint-dialer';
import { PathDialing } from './path-dialing';
import type { TunnelClient } from './tunnel-client';

/** Timeout of the check of a path. */
const CHECK_TIMEOUT: Milliseconds = milliseconds(200);
/** Minimum time between two checks of a path. */
const CHECK_PERIOD: Milliseconds = seconds(2);

export interface PathDialerOptions {
  readonly settings: GatewaySettings;
  readonly directDialer: EndpointDialer;
  readonly tunnelClient: TunnelClient;
  readonly endpointPaths: EndpointPaths;
  readonly routerDirectory: RouterDirectory;
  readonly timers: TimerService;
}

export class PathDialer extends EndpointDialer {
  readonly #options: PathDialerOptions;
  readonly #peers: TunnelPeers;
  readonly #checkedAt = new Map<string, Instant>();

  constructor(options: PathDialerOptions) {
    super();
    this.#options = options;
    const { id, zone } = options.settings.router;
    this.#peers = new TunnelPeers(routerId(id), zoneId(zone));
  }

  override dial(request: DialRequest, callback: DialCallback): Dialing {
    const { directDialer, tunnelClient, endpointPaths, timers } = this.#options;
    const { address } = request;
    const mode = endpointPaths.mode(address, timers.now());
    const dialing = new PathDialing({
      request,
      mode,
      directDialer,
      tunnelClient,
      timers,
      peers: () =>
        mode === 'direct-only'
          ? []
          : this.#peers.rank(this.#routers(), timers.now()),
      onPeerEnd: (peer, isWorking) => {
        if (isWorking) {
          this.#peers.recordSuccess(peer);
        } else {
          this.#peers.recordFailure(peer, timers.now());
        }
      },
      onEnd: end => {
        if (end.kind === 'direct') {
          endpointPaths.recordDirect(address);
        } else if (end.kind === 'peer' && end.cut) {
          endpointPaths.recordPeer(address, end.cut, timers.now());
        } else if (end.kind === 'unreachable') {
          endpointPaths.recordUnreachable(address, timers.now());
        }
      },
      callback,
    });
    dialing.start();
    return dialing;
  }

  override isRetryDue(address: Address): boolean {
    const { endpointPaths, timers } = this.#options;
    return endpointPaths.isRetryDue(address, timers.now());
  }

  /** Finds out whether an endpoint that is silent is still reached directly. */
  check(address: Address): void {
    const now = this.#options.timers.now();
    const key = `${address.host}:${address.port}`;
    const checkedAt = this.#checkedAt.get(key);
    if (checkedAt !== undefined && elapsed(checkedAt, now) < CHECK_PERIOD) {
      return;
    }
    this.#checkedAt.set(key, now);
    this.dial({ address, timeout: CHECK_TIMEOUT }, result => {
      if (result.ok) {
        result.value.socket.destroy();
      }
    });
  }

  #routers(): RouterIdentity[] {
    const { routerDirectory } = this.#options;
    return routerDirectory.ids.flatMap(id => routerDirectory.get(id) ?? []);
  }
}
