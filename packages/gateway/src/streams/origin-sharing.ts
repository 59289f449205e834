/**
 * Reports to the relays at which versions the streams of this router began while the store
 * does not answer: only a router that relayed a stream knows that then.
 */
import { z } from 'zod';

import type { StreamOrigins } from '@sesamegrade/core/software-versions/stream-origins';
import type { BackgroundTasks } from '@sesamegrade/core/tasks/background-tasks';
import type { TimerService } from '@sesamegrade/core/time/timer-service';
import { routerId } from '@sesamegrade/core/types/ids';
import type { RouterId } from '@sesamegrade/core/types/ids';
import { milliseconds } from '@sesamegrade/core/types/units';
import type { Instant, Milliseconds } from '@sesamegrade/core/types/units';
import type { GatewaySettings } from '@sesamegrade/settings/gateway-schema';
import type { ProcessVerification } from '../endpoints/process-verification';
import type { DecisionLog } from '../logs/decision-log';
import type { PeerMesh } from '../peers/peer-mesh';
import { decodeGroups, encodeGroups, originsSchema } from './origin-message';

/** Time between two messages to a relay. */
const SHARE_PERIOD: Milliseconds = milliseconds(400);
/** Largest number of origins in a message; a peer of an older build closes the connection on one of over 16 KiB. */
const MAX_SHARED = 500;

/** Streams that are reported which began before the store fell silent or a relay was connected. */
const MAX_BACKLOG = 2000;

const messageSchema = z.object({ origins: originsSchema(MAX_SHARED) });

interface RouterSettings {
  readonly router: Pick<GatewaySettings['router'], 'id'>;
}

export interface OriginSharingOptions {
  readonly settings: RouterSettings;
  readonly streamOrigins: StreamOrigins;
  readonly processVerification: Pick<ProcessVerification, 'isInTouch'>;
  readonly peerMesh: Pick<PeerMesh, 'relays' | 'connectedAt' | 'shareOrigins'>;
  readonly timers: TimerService;
  readonly backgroundTasks: BackgroundTasks;
  readonly log: DecisionLog;
}

/** What a relay has got on one connection. */
interface Reported {
  readonly connectedAt: Instant;
  /** Number of the last stream of this router that the relay knows. */
  upTo: number;
}

export class OriginSharing {
  readonly #options: OriginSharingOptions;
  readonly #reported = new Map<RouterId, Reported>();
  readonly #busy = new Set<RouterId>();
  #isActive = false;

  constructor(options: OriginSharingOptions) {
    this.#options = options;
  }

  /** Begins to report streams to the relays whenever the store does not answer. */
  start(): void {
    this.#options.timers.every(SHARE_PERIOD, () => {
      this.#share();
    });
  }

  /** Keeps the origins of a peer's report; false if it is malformed. */
  keep(message: unknown): boolean {
    const parsed = messageSchema.safeParse(message);
    if (!parsed.success) {
      return false;
    }
    const origins = decodeGroups(parsed.data.origins);
    this.#options.streamOrigins.addReported(origins);
    return true;
  }

  #share(): void {
    const { settings, peerMesh, processVerification, log } = this.#options;
    const self = routerId(settings.router.id);
    const relays = peerMesh.relays.filter(relay => relay !== self);
    const isActive = !processVerification.isInTouch;
    if (isActive !== this.#isActive) {
      this.#isActive = isActive;
      log.write('origins-shared', { isActive, relays });
    }
    for (const relay of this.#reported.keys()) {
      if (!relays.includes(relay)) {
        this.#reported.delete(relay);
      }
    }
    if (!isActive) {
      return;
    }
    for (const relay of relays) {
      const connectedAt = peerMesh.connectedAt(relay);
      if (connectedAt !== undefined && !this.#busy.has(relay)) {
        this.#shareWith(relay, this.#reportedTo(relay, connectedAt));
      }
    }
  }

  /** A relay whose connection is new may have lost what it knew. */
  #reportedTo(relay: RouterId, connectedAt: Instant): Reported {
    const known = this.#reported.get(relay);
    if (known?.connectedAt === connectedAt) {
      return known;
    }
    const { beginCount } = this.#options.streamOrigins;
    const reported = { connectedAt, upTo: beginCount - MAX_BACKLOG };
    this.#reported.set(relay, reported);
    return reported;
  }

  #shareWith(relay: RouterId, reported: Reported): void {
    const { streamOrigins, peerMesh, backgroundTasks } = this.#options;
    const begun = streamOrigins.begunAfter(reported.upTo, MAX_SHARED);
    const last = begun.at(-1);
    if (!last) {
      return;
    }
    const message: z.input<typeof messageSchema> = {
      origins: encodeGroups(begun),
    };
    this.#busy.add(relay);
    backgroundTasks.run('origins-shared', async () => {
      try {
        if ((await peerMesh.shareOrigins(relay, message)) === true) {
          reported.upTo = last.order;
        }
      } catch {
        // The relay is lost, or runs an older build; the next report names the streams again.
      } finally {
        this.#busy.delete(relay);
      }
    });
  }
}
