/**
 * Obtains permits to send to endpoints with a limit. The first relay of the fleet
 * issues them; a router that reaches no relay falls back to its part of a reserve.
 */
import type { EndpointLimits } from '@sesamegrade/core/endpoint-limits/endpoint-limits';
import { PermitIssuer } from '@sesamegrade/core/endpoint-limits/permit-issuer';
import {
  permitAnswerSchema,
  permitMessage,
  permitQuerySchema,
  permitReturnSchema,
} from '@sesamegrade/core/endpoint-limits/permit-query';
import type {
  PermitAnswer,
  PermitQuery,
  PermitReturn,
} from '@sesamegrade/core/endpoint-limits/permit-query';
import { ReservePermits } from '@sesamegrade/core/endpoint-limits/reserve-permits';
import type { LoadEstimate } from '@sesamegrade/core/engines/load-estimate';
import type { RouterDirectory } from '@sesamegrade/core/peers/router-directory';
import type { Random } from '@sesamegrade/core/random/random';
import type { BackgroundTasks } from '@sesamegrade/core/tasks/background-tasks';
import type { TimerService } from '@sesamegrade/core/time/timer-service';
import { withTimeout } from '@sesamegrade/core/time/with-timeout';
import { routerId } from '@sesamegrade/core/types/ids';
import type { EndpointId, RouterId } from '@sesamegrade/core/types/ids';
import { addTime, elapsed, milliseconds } from '@sesamegrade/core/types/units';
import type { Instant, Milliseconds } from '@sesamegrade/core/types/units';
import type { GatewaySettings } from '@sesamegrade/settings/gateway-schema';
import type { DecisionLog } from '../logs/decision-log';
import type { GatewayMetrics } from '../metrics/gateway-metrics';
import type { PeerMesh } from '../peers/peer-mesh';

/** Time for the answer of a relay, beyond the time for which the query may wait. */
const ANSWER_TIMEOUT: Milliseconds = milliseconds(200);
/** Time for which a relay that did not answer is not asked. */
const SILENT_RELAY_PAUSE: Milliseconds = milliseconds(500);
/** Age above which a permit is not used, as it counts at the time of its issue. */
const MAX_PERMIT_AGE: Milliseconds = milliseconds(500);
/** How often queries that wait are looked at. */
const TICK_PERIOD: Milliseconds = milliseconds(20);
/**
 * Share of the fleet that the issuer has to be connected to for the whole limit;
 * with fewer, another part of the fleet may have an issuer of its own.
 */
const QUORUM = 2 / 3;
/** Share of the limit that a relay uses that is not the first one. */
const STAND_IN_SHARE = 0.4;

export interface FleetPermitsOptions {
  readonly settings: GatewaySettings;
  readonly endpointLimits: EndpointLimits;
  readonly routerDirectory: RouterDirectory;
  readonly loads: LoadEstimate;
  readonly peerMesh: Pick<
    PeerMesh,
    'relays' | 'subscriberCount' | 'requestPermit' | 'releasePermit'
  >;
  readonly timers: TimerService;
  readonly backgroundTasks: BackgroundTasks;
  readonly random: Random;
  readonly log: Pick<DecisionLog, 'write'>;
  readonly gatewayMetrics: GatewayMetrics;
}

/** A permit that a request holds until its attempt ends. */
export interface IssuedPermit {
  /** The router that was asked, or this router's part of the reserve. */
  readonly source: RouterId | 'reserve';
  /** Gives the permit back; `wasRejected` if the endpoint had no room for the request. */
  readonly release: (wasRejected: boolean) => void;
}

export interface PermitResult {
  readonly answer: PermitAnswer;
  /** Undefined if the query was refused. */
  readonly permit: IssuedPermit | undefined;
}

export class FleetPermits {
  readonly #options: FleetPermitsOptions;
  readonly #self: RouterId;
  readonly #issuer: PermitIssuer;
  readonly #reserve: ReservePermits;
  readonly #silentUntil = new Map<RouterId, Instant>();
  #hasTimer = false;

  constructor(options: FleetPermitsOptions) {
    this.#options = options;
    this.#self = routerId(options.settings.router.id);
    this.#issuer = new PermitIssuer({
      share: () => this.#share(),
      running: id => options.loads.total(id, options.timers.now()),
    });
    this.#reserve = new ReservePermits(
      options.random,
      () => options.routerDirectory.fleetSize,
    );
  }

  /** Obtains a permit or learns why there is none; never rejects. */
  async request(query: PermitQuery): Promise<PermitResult> {
    const { gatewayMetrics } = this.#options;
    const { answer, source } = await this.#requestOf(query);
    const origin = source === 'reserve' ? 'reserve' : 'issuer';
    gatewayMetrics.recordPermit(origin, answer.kind);
    if (answer.kind === 'refused') {
      return { answer, permit: undefined };
    }
    const release = (wasRejected: boolean) => {
      this.#release(query, answer.endpoint, source, wasRejected);
    };
    return { answer, permit: { source, release } };
  }

  /** Forgets an endpoint that is gone or was restarted. */
  forget(endpoint: EndpointId): void {
    this.#issuer.remove(endpoint);
  }

  /** Takes a permit back that a peer holds; one that another relay issued is passed on to it. */
  releaseForPeer(message: unknown): void {
    const parsed = permitReturnSchema.safeParse(message);
    if (!parsed.success) {
      return;
    }
    const { permit, isForwarded } = parsed.data;
    const { peerMesh, timers } = this.#options;
    const isKnown = this.#issuer.release(permit, timers.now());
    const [first] = peerMesh.relays;
    const isFirst = first === undefined || first === this.#self;
    if (!isKnown && !isForwarded && !isFirst) {
      this.#startSend(first, permit, true);
    }
    this.#issuer.tick(timers.now());
  }

  /**
   * Answers the query of a peer; undefined if it is malformed. A relay that is not
   * the first one asks the first one, so that relays do not issue side by side.
   */
  async answerPeer(
    peer: RouterId,
    message: unknown,
  ): Promise<PermitAnswer | undefined> {
    const parsed = permitQuerySchema.safeParse(message);
    if (!parsed.success) {
      return undefined;
    }
    const { query, isForwarded } = parsed.data;
    const [first] = this.#options.peerMesh.relays;
    if (!isForwarded && first !== undefined && first !== this.#self) {
      const answer = await this.#ask(first, query, true);
      if (answer) {
        return answer;
      }
    }
    return this.#issue(query, peer);
  }

  #release(
    query: PermitQuery,
    endpoint: EndpointId,
    source: RouterId | 'reserve',
    wasRejected: boolean,
  ): void {
    const limits = query.endpoints.find(({ id }) => id === endpoint);
    if (source === 'reserve' || limits?.concurrent === undefined) {
      return;
    }
    const { timers } = this.#options;
    const permit = { request: query.request, endpoint, wasRejected };
    if (source === this.#self) {
      this.#issuer.release(permit, timers.now());
      this.#issuer.tick(timers.now());
    } else {
      this.#startSend(source, permit, false);
    }
  }

  #startSend(
    relay: RouterId,
    permit: PermitReturn,
    isForwarded: boolean,
  ): void {
    this.#options.backgroundTasks.run('permit-return', () =>
      this.#send(relay, permit, isForwarded),
    );
  }

  /** Gives a permit back to a relay; one that is lost lapses there. */
  async #send(
    relay: RouterId,
    permit: PermitReturn,
    isForwarded: boolean,
  ): Promise<void> {
    try {
      await this.#options.peerMesh.releasePermit(relay, {
        ...permit,
        isForwarded,
      });
    } catch {
      this.#options.log.write('permit-lost', { relay, ...permit });
    }
  }

  async #requestOf(query: PermitQuery): Promise<{
    readonly answer: PermitAnswer;
    readonly source: RouterId | 'reserve';
  }> {
    const { peerMesh, timers } = this.#options;
    const begin = timers.now();
    for (const relay of peerMesh.relays) {
      const answer =
        relay === this.#self
          ? await this.#issueAsRelay(query)
          : await this.#ask(relay, query, false);
      const age = elapsed(begin, timers.now());
      const isFresh = age <= query.maxWait + MAX_PERMIT_AGE;
      if (answer && isFresh) {
        return { answer, source: relay };
      }
      if (answer?.kind === 'granted') {
        this.#release(query, answer.endpoint, relay, false);
      }
    }
    return {
      answer: this.#reserve.request(query, timers.now()),
      source: 'reserve',
    };
  }

  /** Issues a permit unless this router is a relay only because it reaches no other router. */
  #issueAsRelay(query: PermitQuery): Promise<PermitAnswer | undefined> {
    const { routerDirectory, peerMesh } = this.#options;
    const isAlone =
      routerDirectory.fleetSize > 1 && peerMesh.subscriberCount === 0;
    return isAlone
      ? Promise.resolve(undefined)
      : this.#issue(query, this.#self);
  }

  async #ask(
    relay: RouterId,
    query: PermitQuery,
    isForwarded: boolean,
  ): Promise<PermitAnswer | undefined> {
    const { peerMesh, timers, log } = this.#options;
    const silentUntil = this.#silentUntil.get(relay);
    if (silentUntil !== undefined && elapsed(silentUntil, timers.now()) < 0) {
      return undefined;
    }
    const timeout = milliseconds(query.maxWait + ANSWER_TIMEOUT);
    const pending = peerMesh.requestPermit(
      relay,
      permitMessage(query, isForwarded),
    );
    const response = await withTimeout(pending, timers, timeout);
    const answer = permitAnswerSchema.safeParse(response);
    if (answer.success) {
      this.#silentUntil.delete(relay);
      return answer.data;
    }
    this.#returnLateAnswer(pending, query, relay);
    this.#silentUntil.set(relay, addTime(timers.now(), SILENT_RELAY_PAUSE));
    log.write('permit-issuer-silent', { relay, isForwarded });
    return undefined;
  }

  #returnLateAnswer(
    pending: Promise<unknown>,
    query: PermitQuery,
    relay: RouterId,
  ): void {
    const onAnswer = (response: unknown) => {
      const answer = permitAnswerSchema.safeParse(response);
      if (answer.success && answer.data.kind === 'granted') {
        this.#release(query, answer.data.endpoint, relay, false);
      }
    };
    this.#options.backgroundTasks.run('late-permit', () =>
      pending.then(onAnswer, () => undefined),
    );
  }

  #issue(query: PermitQuery, router: RouterId): Promise<PermitAnswer> {
    return new Promise(resolve => {
      this.#issuer.request(query, router, resolve, this.#options.timers.now());
      this.#tickWhileWaiting();
    });
  }

  #tickWhileWaiting(): void {
    if (this.#hasTimer || !this.#issuer.hasWaiting) {
      return;
    }
    this.#hasTimer = true;
    this.#options.timers.after(TICK_PERIOD, now => {
      this.#hasTimer = false;
      this.#issuer.tick(now);
      this.#tickWhileWaiting();
    });
  }

  #share(): number {
    const { peerMesh, routerDirectory } = this.#options;
    if (peerMesh.relays[0] !== this.#self) {
      return STAND_IN_SHARE;
    }
    const connected =
      (peerMesh.subscriberCount + 1) / routerDirectory.fleetSize;
    return connected >= QUORUM ? 1 : connected;
  }
}
