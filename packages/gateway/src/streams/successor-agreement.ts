/**
 * Collects the routers that go by an entry of the list of default versions. Each one tells the
 * relays which entries with a successor it has read, until the list says that all have.
 */
import { z } from 'zod';

import { nameSchema } from '@sesamegrade/core/membership/vm-entry';
import type { RouterDirectory } from '@sesamegrade/core/peers/router-directory';
import type {
  DefaultVersion,
  DefaultVersions,
} from '@sesamegrade/core/software-versions/default-versions';
import type { BackgroundTasks } from '@sesamegrade/core/tasks/background-tasks';
import type { TimerService } from '@sesamegrade/core/time/timer-service';
import { routerId } from '@sesamegrade/core/types/ids';
import type { RouterId } from '@sesamegrade/core/types/ids';
import { elapsed, seconds } from '@sesamegrade/core/types/units';
import type { Instant, Milliseconds } from '@sesamegrade/core/types/units';
import type { GatewaySettings } from '@sesamegrade/settings/gateway-schema';
import type { PeerMesh } from '../peers/peer-mesh';

/** Time between two statements of a router, as a relay may be new. */
const STATEMENT_PERIOD: Milliseconds = seconds(1);
/** Most entries in a statement. */
const MAX_ENTRIES = 1000;

/** The entries that a router goes by. */
export const statementSchema = z.object({
  router: nameSchema,
  entries: z.array(z.string()).max(MAX_ENTRIES),
});

export type Statement = z.output<typeof statementSchema>;

export interface SuccessorAgreementOptions {
  readonly settings: { readonly router: Pick<GatewaySettings['router'], 'id'> };
  readonly defaultVersions: Pick<DefaultVersions, 'succeeded'>;
  readonly routerDirectory: Pick<RouterDirectory, 'ids' | 'isListRead'>;
  readonly peerMesh: Pick<PeerMesh, 'relays' | 'requestRecording'>;
  readonly timers: TimerService;
  readonly backgroundTasks: BackgroundTasks;
}

export class SuccessorAgreement {
  readonly #options: SuccessorAgreementOptions;
  readonly #stated = new Map<RouterId, ReadonlySet<string>>();
  #sentAt: Instant | undefined;

  constructor(options: SuccessorAgreementOptions) {
    this.#options = options;
  }

  /** Tells the relays what this router goes by, as long as an entry lacks the agreement. */
  tick(now: Instant): void {
    const { defaultVersions, peerMesh, backgroundTasks } = this.#options;
    const { succeeded } = defaultVersions;
    const isAgreed = succeeded.every(({ successor }) => successor?.agreedAt);
    const isEarly =
      this.#sentAt !== undefined &&
      elapsed(this.#sentAt, now) < STATEMENT_PERIOD;
    if (isAgreed || isEarly) {
      return;
    }
    this.#sentAt = now;
    const statement: Statement = {
      router: this.#self,
      entries: succeeded.map(nameOf),
    };
    this.record(statement);
    for (const relay of peerMesh.relays) {
      if (relay !== this.#self) {
        backgroundTasks.run('default-versions', () =>
          this.#send(relay, statement),
        );
      }
    }
  }

  /** Records the statement of a router. */
  record({ router, entries }: Statement): void {
    this.#stated.set(routerId(router), new Set(entries));
  }

  /** Whether all routers go by the entry, also those that were lost not long ago. */
  includesAll(entry: DefaultVersion): boolean {
    const { ids, isListRead } = this.#options.routerDirectory;
    const name = nameOf(entry);
    return (
      isListRead &&
      [this.#self, ...ids].every(id => this.#stated.get(id)?.has(name))
    );
  }

  async #send(relay: RouterId, statement: Statement): Promise<void> {
    try {
      await this.#options.peerMesh.requestRecording(relay, {
        origins: [],
        statement,
      });
    } catch {
      // The relay is lost; the statement is repeated.
    }
  }

  get #self(): RouterId {
    return routerId(this.#options.settings.router.id);
  }
}

/** Differs for each period in which a default version is unused. */
function nameOf({
  service,
  version,
  unusedSince,
  successor,
}: DefaultVersion): string {
  return JSON.stringify([service, version, unusedSince, successor?.version]);
}
