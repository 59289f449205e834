/**
 * Has the origins of streams recorded in the store: a relay writes those of all routers in
 * batches. A stream at another version than the default one sends its first event only
 * once its record is there.
 */
import { z } from 'zod';

import type { RouteTable } from '@sesamegrade/core/routes/route-table';
import type { DefaultVersions } from '@sesamegrade/core/software-versions/default-versions';
import type {
  StreamOrigin,
  StreamOrigins,
} from '@sesamegrade/core/software-versions/stream-origins';
import type { BackgroundTasks } from '@sesamegrade/core/tasks/background-tasks';
import type { TimerService } from '@sesamegrade/core/time/timer-service';
import { withTimeout } from '@sesamegrade/core/time/with-timeout';
import { routerId } from '@sesamegrade/core/types/ids';
import type { RouterId } from '@sesamegrade/core/types/ids';
import {
  addTime,
  elapsed,
  milliseconds,
  seconds,
} from '@sesamegrade/core/types/units';
import type { Instant, Milliseconds } from '@sesamegrade/core/types/units';
import type { GatewaySettings } from '@sesamegrade/settings/gateway-schema';
import type { DecisionLog } from '../logs/decision-log';
import type { PeerMesh } from '../peers/peer-mesh';
import type { OriginConfirmation } from './origin-confirmation';
import { decodeGroups, encodeGroups, originsSchema } from './origin-message';
import type { OriginTable } from './origin-table';
import type { OriginWriter } from './origin-writer';
import { statementSchema } from './successor-agreement';
import type { SuccessorAgreement } from './successor-agreement';

/** Time in which origins are collected before they are sent to a relay. */
const SEND_DELAY: Milliseconds = milliseconds(10);
/** Time after which another relay is asked as well. */
const SECOND_RELAY_DELAY: Milliseconds = milliseconds(150);
/** Time within which the store has to take a record. */
const RECORDING_TIMEOUT: Milliseconds = milliseconds(400);
/** Time between two attempts while the store takes no records. */
const PROBE_PERIOD: Milliseconds = seconds(1);
/** Time between the first two reads of an outdated list; it doubles with each one. */
const FIRST_READ_PERIOD: Milliseconds = seconds(1);
const MAX_READ_PERIOD: Milliseconds = seconds(30);
/** Time after which the list names a default version as unused that has just lost its endpoints. */
const FIRST_UNUSED_READ_DELAY: Milliseconds = seconds(4);
/** Time between two reads of a list that names one as unused: it counts only for some time. */
const UNUSED_READ_PERIOD: Milliseconds = seconds(10);
/** Largest number of origins in a message between routers. */
const MAX_SENT = 1000;

const messageSchema = z.object({
  origins: originsSchema(MAX_SENT),
  /** Which entries of the list the router goes by; most messages have none. */
  statement: statementSchema.optional(),
});

interface RouterSettings {
  readonly router: Pick<GatewaySettings['router'], 'id'>;
}

export interface StreamLedgerOptions {
  readonly settings: RouterSettings;
  readonly originTable: Pick<OriginTable, 'reset'>;
  readonly originConfirmation: Pick<OriginConfirmation, 'refresh'>;
  readonly originWriter: Pick<OriginWriter, 'write' | 'reset'>;
  readonly successorAgreement: Pick<SuccessorAgreement, 'record'>;
  readonly streamOrigins: StreamOrigins;
  readonly routes: Pick<RouteTable, 'version'>;
  readonly defaultVersions: Pick<DefaultVersions, 'isOutdated' | 'isUnused'>;
  readonly peerMesh: Pick<PeerMesh, 'relays' | 'requestRecording'>;
  readonly timers: TimerService;
  readonly backgroundTasks: BackgroundTasks;
  readonly log: DecisionLog;
}

interface Recording {
  readonly origin: StreamOrigin;
  readonly resolve: (isStored: boolean) => void;
}

export class StreamLedger {
  readonly #options: StreamLedgerOptions;
  #outgoing: Recording[] = [];
  #hasTimer = false;
  #isRepeating = false;
  /** When the store did not take a record; undefined while it does. */
  #failedAt: Instant | undefined;
  #probedAt: Instant | undefined;
  #nextReadAt: Instant | undefined;
  #readPeriod = FIRST_READ_PERIOD;
  #wasOutdated = false;

  constructor(options: StreamLedgerOptions) {
    this.#options = options;
  }

  /** Whether the store took the last record. */
  get takesRecords(): boolean {
    return this.#failedAt === undefined;
  }

  /**
   * Resolves with whether the store has taken the record within a time; undefined if that
   * is not tried, as it did not take the last one.
   */
  record(origin: StreamOrigin): Promise<boolean> | undefined {
    if (!this.takesRecords) {
      return undefined;
    }
    const { timers } = this.#options;
    const stored = new Promise<boolean>(resolve => {
      this.#outgoing.push({ origin, resolve });
    });
    this.#sendSoon();
    return withTimeout(stored, timers, RECORDING_TIMEOUT).then(
      (isStored = false) => {
        if (!isStored) {
          this.#recordOutcome(false);
        }
        return isStored;
      },
    );
  }

  /** Writes the origins of a peer's message; false if the store does not take them. */
  async recordForPeer(message: unknown): Promise<boolean> {
    const parsed = messageSchema.safeParse(message);
    const { originWriter, streamOrigins, routes, timers } = this.#options;
    if (parsed.data?.statement) {
      this.#options.successorAgreement.record(parsed.data.statement);
      return true;
    }
    // Without the routes this router does not know how long the streams live.
    if (!parsed.success || routes.version === undefined) {
      return false;
    }
    const origins = decodeGroups(parsed.data.origins);
    streamOrigins.applyRevoked(origins, timers.now());
    return originWriter.write(origins);
  }

  /** Repeats what the store has not taken, and reads the list of default versions if it is outdated. */
  tick(now: Instant): void {
    this.#readList(now);
    const isProbeDue =
      this.#failedAt !== undefined &&
      (!this.#probedAt || elapsed(this.#probedAt, now) >= PROBE_PERIOD);
    if (this.#isRepeating || (this.#failedAt !== undefined && !isProbeDue)) {
      return;
    }
    const { streamOrigins, backgroundTasks } = this.#options;
    const revoked = streamOrigins.takeRevoked(MAX_SENT);
    const missing = streamOrigins.missing(MAX_SENT - revoked.length);
    if (revoked.length + missing.length === 0 && !isProbeDue) {
      return;
    }
    this.#probedAt = now;
    this.#isRepeating = true;
    backgroundTasks.run('stream-records', async () => {
      const isStored = await this.#deliver([...revoked, ...missing]);
      this.#isRepeating = false;
      if (isStored) {
        streamOrigins.markStored(missing);
      } else {
        streamOrigins.putBackRevoked(revoked);
      }
    });
  }

  /** Records that the store was restored from an older copy, which may lack records. */
  onRestored(): void {
    const { originTable, originWriter, streamOrigins } = this.#options;
    originTable.reset();
    originWriter.reset();
    streamOrigins.markLost();
    this.#wasOutdated = false;
  }

  #readList(now: Instant): void {
    const { defaultVersions, originConfirmation, backgroundTasks } =
      this.#options;
    const { isOutdated, isUnused } = defaultVersions;
    const isNewlyOutdated = isOutdated && !this.#wasOutdated;
    this.#wasOutdated = isOutdated;
    if (!isOutdated && !isUnused) {
      this.#nextReadAt = undefined;
      return;
    }
    if (isNewlyOutdated) {
      this.#nextReadAt = now;
      this.#readPeriod = FIRST_READ_PERIOD;
    }
    this.#nextReadAt ??= addTime(now, FIRST_UNUSED_READ_DELAY);
    if (elapsed(this.#nextReadAt, now) < 0) {
      return;
    }
    this.#nextReadAt = addTime(
      now,
      isOutdated ? this.#readPeriod : UNUSED_READ_PERIOD,
    );
    this.#readPeriod = milliseconds(
      Math.min(MAX_READ_PERIOD, 2 * this.#readPeriod),
    );
    backgroundTasks.run('default-versions', () => originConfirmation.refresh());
  }

  #sendSoon(): void {
    if (this.#hasTimer) {
      return;
    }
    this.#hasTimer = true;
    const { timers, backgroundTasks } = this.#options;
    timers.after(SEND_DELAY, () => {
      this.#hasTimer = false;
      backgroundTasks.run('stream-records', () => this.#send());
    });
  }

  async #send(): Promise<void> {
    const recordings = this.#outgoing.splice(0, MAX_SENT);
    if (this.#outgoing.length > 0) {
      this.#sendSoon();
    }
    const isStored = await this.#deliver(
      recordings.map(({ origin }) => origin),
    );
    recordings.forEach(({ resolve }) => {
      resolve(isStored);
    });
  }

  /** Has origins written by the relays; another one is asked if the first does not answer. */
  async #deliver(origins: readonly StreamOrigin[]): Promise<boolean> {
    const { timers, peerMesh, settings } = this.#options;
    const self = routerId(settings.router.id);
    const [first = self, second] = peerMesh.relays;
    const isStored =
      (await withTimeout(
        this.#deliverToAny(first, second, origins),
        timers,
        RECORDING_TIMEOUT,
      )) ?? false;
    this.#recordOutcome(isStored);
    return isStored;
  }

  #recordOutcome(isStored: boolean): void {
    const { timers, peerMesh, log } = this.#options;
    if (isStored !== this.takesRecords) {
      const { relays } = peerMesh;
      log.write('stream-records', { areTaken: isStored, relays });
    }
    this.#failedAt = isStored ? undefined : (this.#failedAt ?? timers.now());
  }

  async #deliverToAny(
    first: RouterId,
    second: RouterId | undefined,
    origins: readonly StreamOrigin[],
  ): Promise<boolean> {
    const { timers } = this.#options;
    const own = this.#deliverTo(first, origins);
    if (second === undefined) {
      return own;
    }
    // Each relay may have a report of the stream, which counts until the revocation arrives there.
    const areRevoked = origins.some(({ service }) => service === undefined);
    if (!areRevoked && (await withTimeout(own, timers, SECOND_RELAY_DELAY))) {
      return true;
    }
    return isAnyTrue([own, this.#deliverTo(second, origins)]);
  }

  async #deliverTo(
    relay: RouterId,
    origins: readonly StreamOrigin[],
  ): Promise<boolean> {
    const { peerMesh, originWriter, settings } = this.#options;
    if (relay === routerId(settings.router.id)) {
      return originWriter.write(origins);
    }
    const message: z.input<typeof messageSchema> = {
      origins: encodeGroups(origins),
    };
    try {
      return (await peerMesh.requestRecording(relay, message)) === true;
    } catch {
      // The relay is lost, or runs an older build.
      return false;
    }
  }
}

/** Resolves with true once one of the promises does, or with false after all of them. */
async function isAnyTrue(
  promises: readonly Promise<boolean>[],
): Promise<boolean> {
  return new Promise(resolve => {
    let open = promises.length;
    for (const promise of promises) {
      promise
        .catch(() => false)
        .then(value => {
          open -= 1;
          if (value || open === 0) {
            resolve(value);
          }
        })
        .catch(() => undefined);
    }
  });
}
