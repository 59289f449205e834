/**
 * Discovers routers at the seed addresses of the settings while the store's
 * list of routers is not available.
 */
import type { RouterIdentity } from '@sesamegrade/core/membership/router-table';
import type { Random } from '@sesamegrade/core/random/random';
import type { BackgroundTasks } from '@sesamegrade/core/tasks/background-tasks';
import type { Address } from '@sesamegrade/core/types/endpoint';
import type { RouterId } from '@sesamegrade/core/types/ids';
import { PeerLink } from '@sesamegrade/router/peers/peer-link';
import { addressName } from '@sesamegrade/router/peers/peer-proof';
import type { PeerProof } from '@sesamegrade/router/peers/peer-proof';
import type { SocketMeter } from '@sesamegrade/router/peers/socket-meter';
import type { DecisionLog } from '../logs/decision-log';

export interface SeedLinksOptions {
  readonly self: RouterIdentity;
  readonly proof: PeerProof;
  readonly meter: SocketMeter;
  readonly random: Random;
  readonly backgroundTasks: BackgroundTasks;
  readonly log: DecisionLog;
  /** The seed addresses in force, which a reload may change. */
  readonly addresses: () => readonly Address[];
  /** Called with the authenticated identity of a router. */
  readonly onIdentified: (identity: RouterIdentity) => void;
}

export class SeedLinks {
  readonly #options: SeedLinksOptions;
  readonly #links = new Map<RouterId, PeerLink>();

  constructor(options: SeedLinksOptions) {
    this.#options = options;
  }

  /** Connects to each seed that has no connection yet. */
  connectAll(): void {
    const { addresses, self } = this.#options;
    const own = addressName(self.address);
    for (const address of addresses()) {
      const name = addressName(address);
      if (name !== own && !this.#links.has(name)) {
        this.#links.set(name, this.#connect(name, address));
      }
    }
  }

  /** Closes all connections to seeds. */
  close(): void {
    for (const link of this.#links.values()) {
      this.#options.backgroundTasks.run('seed-close', () => link.close());
    }
    this.#links.clear();
  }

  #connect(name: RouterId, address: Address): PeerLink {
    const { proof, meter, random, log, onIdentified } = this.#options;
    return new PeerLink({
      peer: name,
      address,
      proof,
      meter,
      random,
      listener: {
        onConnected: identity => {
          log.write('seed-answered', { peer: identity.id });
          onIdentified(identity);
        },
        onDisconnected: () => undefined,
        onGossip: () => undefined,
        onMalformed: () => {
          log.write('peer-malformed', { peer: name });
        },
      },
    });
  }
}
