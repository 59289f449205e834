/** Decides how content that may crash endpoints is run, if at all. */
import type {
  AttemptId,
  EndpointId,
  Fingerprint,
  Incarnation,
  RouterId,
} from '../types/ids';
import type { RefusalReason } from '../types/refusal';
import { elapsed, seconds } from '../types/units';
import type { Instant, Milliseconds } from '../types/units';
import { TrialOwnerSelection } from './trial-owner-selection';
import { RunningAttempts } from './running-attempts';
import { crashIdOf, suspectVersion, suspicion } from './suspect';
import type { Suspect } from './suspect';
import { SuspectDelivery } from './suspect-delivery';
import { MAX_TRIAL_CANDIDATES, suspectMessage } from './suspect-message';
import type { SuspectMessage } from './suspect-message';
import { SuspectTable } from './suspect-table';
import { TrialOwner } from './trial-owner';
import { TrialRequester } from './trial-requester';

export type SuspectDecision =
  | { readonly kind: 'run' }
  /** Run it on this endpoint only; the trial is held for a few seconds until it is sent. */
  | { readonly kind: 'run-isolated'; readonly endpoint: EndpointId }
  /** Ask again on the next tick; from `until` on it is refused. */
  | { readonly kind: 'hold'; readonly until: Instant }
  | { readonly kind: 'refuse'; readonly reason: RefusalReason };

/** How an attempt ended other than by a crash of its endpoint. */
export type SuspectAttemptResult = 'finished' | 'stopped';

/** Longest wait for every live router to know of a new suspect. */
const settleTimeout = seconds(2);
/** Told to callers whose content waits too long for a trial. */
const retryTrialAfter = seconds(5);
/** Told to callers whose content is refused. */
const retryCondemnedAfter = seconds(600);
const housekeepingPeriod = seconds(60);

/**
 * What ran where an endpoint crashed becomes a suspect at every router. A
 * suspect is run again only as a trial that its keeper grants, the router to
 * which its crash hashes; a second crash condemns it, a whole answer clears it.
 */
export class SuspectRegistry {
  readonly #self: RouterId;
  readonly #table = new SuspectTable();
  readonly #delivery = new SuspectDelivery();
  readonly #keeper = new TrialOwner();
  readonly #seeker = new TrialRequester();
  readonly #running = new RunningAttempts();
  /** Suspects of which this router is the witness and tells every peer. */
  readonly #witnessed = new Map<Fingerprint, Instant>();
  readonly #choice: TrialOwnerSelection;
  #housekeptAt: Instant | undefined;

  constructor(self: RouterId) {
    this.#self = self;
    this.#choice = new TrialOwnerSelection(self);
  }

  get size(): number {
    return this.#table.size;
  }

  /** Takes the live routers; this one is always counted. */
  onRoutersChanged(routers: readonly RouterId[], now: Instant): void {
    this.#choice.onRoutersChanged(routers, now);
  }

  suspicion(id: Fingerprint): ReturnType<typeof suspicion> {
    return suspicion(this.#table.get(id));
  }

  /** Endpoints that other requests had better avoid: a trial runs there. */
  trialEndpoints(): EndpointId[] {
    return this.#seeker.endpoints();
  }

  /**
   * Decides on content about to be sent. `candidates` are endpoints that can
   * run it, first those where a crash would cost least.
   */
  decide(
    id: Fingerprint,
    candidates: readonly EndpointId[],
    now: Instant,
  ): SuspectDecision {
    const row = this.#table.get(id);
    const kind = suspicion(row);
    if (!row || kind === 'none') {
      this.#seeker.cancelRequest(id);
      return { kind: 'run' };
    }
    if (kind === 'condemned') {
      this.#seeker.cancelRequest(id);
      this.#table.touch(id, now);
      return refuse(retryCondemnedAfter);
    }
    return this.#decideSuspect(row, candidates, now);
  }

  /**
   * True when the caller of content that was running in a crash may be told:
   * every live router knows of it, or took too long to confirm. Until then an
   * answer would let the caller resend to a router that runs it unwarned.
   */
  canRespond(id: Fingerprint, now: Instant): boolean {
    const row = this.#table.get(id);
    const since = this.#witnessed.get(id);
    if (!row || since === undefined || elapsed(since, now) >= settleTimeout) {
      return true;
    }
    return this.#choice.routers.every(
      router =>
        router === this.#self || this.#delivery.isAcknowledged(router, row),
    );
  }

  /** Notes that an attempt was sent. */
  onAttemptStarted(
    attempt: AttemptId,
    id: Fingerprint,
    endpoint: EndpointId,
    incarnation: Incarnation,
  ): void {
    this.#running.add(attempt, id, endpoint, incarnation);
    this.#seeker.onAttemptSent(id);
  }

  /**
   * Notes that an attempt ended: `finished` with a whole answer, which clears
   * its content, or `stopped`, which says nothing about it. Returns true when
   * a suspect was cleared.
   */
  onAttemptEnded(
    attempt: AttemptId,
    end: SuspectAttemptResult,
    now: Instant,
  ): boolean {
    const running = this.#running.remove(attempt);
    if (!running) {
      return false;
    }
    const { id } = running;
    const cleared = end === 'finished' && this.#table.clear(id, now);
    if (cleared) {
      this.#witnessed.set(id, now);
    }
    if (this.#seeker.endpointOf(id) === running.endpoint) {
      this.abandonTrial(id, now);
    }
    return cleared;
  }

  /** Gives back a trial that was decided and never sent. */
  abandonTrial(id: Fingerprint, now: Instant): void {
    if (this.#seeker.endTrial(id)) {
      this.#toKeeper({ kind: 'ended', id }, now);
    }
  }

  /**
   * Notes that an endpoint's process ended or broke every connection. Returns
   * the content that is suspect or condemned for it by this router's evidence.
   */
  onEndpointCrash(
    endpoint: EndpointId,
    incarnation: Incarnation,
    now: Instant,
  ): Fingerprint[] {
    const crash = crashIdOf(endpoint, incarnation);
    const marked = new Set([
      ...this.#keeper.suspectsRunningOn(endpoint),
      ...this.#running.takeInterrupted(crash),
    ]);
    for (const id of marked) {
      this.#table.recordCrash(id, crash, now);
      this.#witnessed.set(id, now);
      this.#settleTrials(id);
      if (this.#seeker.endpointOf(id) === endpoint) {
        this.abandonTrial(id, now);
      }
    }
    return [...marked];
  }

  /** Renews trials and drops what has expired. */
  tick(now: Instant): void {
    for (const { kind, id, endpoint } of this.#seeker.tick(now)) {
      this.#toKeeper({ kind, id, endpoint }, now);
    }
    const due =
      this.#housekeptAt === undefined ||
      elapsed(this.#housekeptAt, now) >= housekeepingPeriod;
    if (due) {
      this.#housekeptAt = now;
      this.#housekeep(now);
    }
  }

  /** Messages for a peer, as long as `fits` agrees; for the gossip topic. */
  take(
    peer: RouterId,
    fits: (message: SuspectMessage) => boolean,
    now: Instant,
  ): SuspectMessage[] {
    const taken = this.#delivery.takeOutbox(peer, fits);
    for (const row of this.#table.rows()) {
      if (!this.#delivery.shouldSend(peer, row, now) || !this.#tells(row)) {
        continue;
      }
      const message = suspectMessage(row, now);
      if (!fits(message)) {
        break;
      }
      this.#delivery.recordSent(peer, row, now);
      taken.push(message);
    }
    return taken;
  }

  /** Takes a checked message from a peer. */
  receive(peer: RouterId, message: SuspectMessage, now: Instant): void {
    switch (message.kind) {
      case 'suspect':
        this.#receiveSuspect(peer, message, now);
        break;
      case 'known':
        if (this.#table.get(message.id)) {
          this.#delivery.recordAcknowledged(peer, message.id, message.version);
        }
        break;
      case 'grant':
        if (!this.#seeker.onGrant(message.id, message.endpoint, now)) {
          this.#delivery.enqueue(peer, { kind: 'ended', id: message.id });
        }
        break;
      case 'ask':
      case 'running':
      case 'ended':
        this.#keep(peer, message, now);
        break;
    }
  }

  /** Drops what is kept for a router that left. */
  forget(peer: RouterId): void {
    this.#delivery.forget(peer);
  }

  #decideSuspect(
    row: Suspect,
    candidates: readonly EndpointId[],
    now: Instant,
  ): SuspectDecision {
    const { id } = row;
    const until = this.#seeker.request(id, now);
    if (elapsed(now, until) <= 0) {
      this.#seeker.cancelRequest(id);
      return refuse(retryTrialAfter);
    }
    const reserved = this.#seeker.reservedEndpoint(id);
    if (reserved !== undefined) {
      return { kind: 'run-isolated', endpoint: reserved };
    }
    const underWay = this.#seeker.endpointOf(id) !== undefined;
    if (
      underWay ||
      this.#running.endpointsOf(id).length > 0 ||
      !this.canRespond(id, now)
    ) {
      return { kind: 'hold', until };
    }
    if (this.#seeker.shouldSendRequest(id, now)) {
      const endpoints = candidates.slice(0, MAX_TRIAL_CANDIDATES);
      this.#toKeeper({ kind: 'ask', id, endpoints }, now);
    }
    const endpoint = this.#seeker.beginTrial(id, now);
    return endpoint === undefined
      ? { kind: 'hold', until }
      : { kind: 'run-isolated', endpoint };
  }

  #receiveSuspect(
    peer: RouterId,
    message: SuspectMessage & { kind: 'suspect' },
    now: Instant,
  ): void {
    const row: Suspect = {
      id: message.id,
      crashes: new Set(message.crashes),
      cleared: new Set(message.cleared),
      seenAt: (now - message.age) as Instant,
    };
    this.#table.merge(row);
    const merged = this.#table.get(message.id);
    if (!merged) {
      return;
    }
    this.#settleTrials(message.id);
    this.#tellRuns(message.id, now);
    this.#delivery.recordAcknowledged(peer, message.id, suspectVersion(row));
    const version = suspectVersion(merged);
    this.#delivery.enqueue(peer, { kind: 'known', id: message.id, version });
  }

  /** Tells the keeper of runs that began before this router was warned. */
  #tellRuns(id: Fingerprint, now: Instant): void {
    for (const endpoint of this.#running.endpointsOf(id)) {
      this.#toKeeper({ kind: 'running', id, endpoint }, now);
    }
  }

  #settleTrials(id: Fingerprint): void {
    if (this.suspicion(id) !== 'suspect') {
      this.#keeper.drop(id);
    }
  }

  #toKeeper(message: KeeperMessage, now: Instant): void {
    const row = this.#table.get(message.id);
    const keeper = row && this.#choice.ownerOf(row);
    if (keeper === undefined) {
      return;
    }
    if (keeper === this.#self) {
      this.#keep(this.#self, message, now);
    } else {
      this.#delivery.enqueue(keeper, message);
    }
  }

  /** Acts as keeper on a message of a router, this one included. */
  #keep(router: RouterId, message: KeeperMessage, now: Instant): void {
    const { id } = message;
    if (message.kind === 'ended') {
      this.#keeper.endTrial(id, router);
      return;
    }
    const row = this.#table.get(id);
    if (
      !row ||
      suspicion(row) !== 'suspect' ||
      !this.#choice.canGrant(row, now)
    ) {
      return;
    }
    if (message.kind === 'running') {
      this.#keeper.recordRun(id, router, message.endpoint, now);
      return;
    }
    const { endpoints } = message;
    const endpoint = this.#keeper.grant(id, router, endpoints, now);
    if (endpoint === undefined) {
      return;
    }
    if (router === this.#self) {
      this.#seeker.onGrant(id, endpoint, now);
    } else {
      this.#delivery.enqueue(router, { kind: 'grant', id, endpoint });
    }
  }

  /** The witness tells every peer; so does the keeper, in case the witness is gone. */
  #tells(row: Suspect): boolean {
    return (
      this.#witnessed.has(row.id) || this.#choice.ownerOf(row) === this.#self
    );
  }

  #housekeep(now: Instant): void {
    this.#table.expire(now);
    for (const id of this.#witnessed.keys()) {
      if (!this.#table.get(id)) {
        this.#witnessed.delete(id);
      }
    }
    this.#delivery.retain(id => this.#table.get(id) !== undefined);
  }
}

type KeeperMessage = SuspectMessage & { kind: 'ask' | 'running' | 'ended' };

function refuse(retryAfter: Milliseconds): SuspectDecision {
  return { kind: 'refuse', reason: { kind: 'poison-suspect', retryAfter } };
}
