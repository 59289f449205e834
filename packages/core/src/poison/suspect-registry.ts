/** Decides whether and how content that may crash endpoints is run. */
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
  /**
   * Run it on this endpoint only; the trial is reserved for a few seconds until
   * the attempt is sent.
   */
  | { readonly kind: 'run-isolated'; readonly endpoint: EndpointId }
  /**
   * Call `decide` again on the next tick; from `until` on the content is
   * refused.
   */
  | { readonly kind: 'hold'; readonly until: Instant }
  | { readonly kind: 'refuse'; readonly reason: RefusalReason };

/** How an attempt ended, other than by a crash of its endpoint. */
export type SuspectAttemptResult = 'finished' | 'stopped';

/** Maximum wait for all live routers to acknowledge a new suspect. */
const ACKNOWLEDGEMENT_TIMEOUT = seconds(2);
/** Retry-After for callers whose content waited too long for a trial. */
const TRIAL_RETRY_AFTER = seconds(5);
/** Retry-After for callers whose content is condemned. */
const CONDEMNED_RETRY_AFTER = seconds(600);
const EXPIRY_PERIOD = seconds(60);

/**
 * Content that was running on an endpoint when it crashed becomes a suspect at
 * every router. A suspect is run again only as a trial granted by its owner,
 * the router to which its crash hashes. A second crash condemns the content, a
 * complete response clears it.
 */
export class SuspectRegistry {
  readonly #self: RouterId;
  readonly #table = new SuspectTable();
  readonly #delivery = new SuspectDelivery();
  readonly #trialOwner = new TrialOwner();
  readonly #trialRequester = new TrialRequester();
  readonly #runningAttempts = new RunningAttempts();
  /**
   * Suspects whose crash or clearing this router observed itself and therefore
   * sends to every peer.
   */
  readonly #observedAt = new Map<Fingerprint, Instant>();
  readonly #ownerSelection: TrialOwnerSelection;
  #expiredAt: Instant | undefined;

  constructor(self: RouterId) {
    this.#self = self;
    this.#ownerSelection = new TrialOwnerSelection(self);
  }

  get size(): number {
    return this.#table.size;
  }

  /** Replaces the set of live routers; this router is always included. */
  onRoutersChanged(routers: readonly RouterId[], now: Instant): void {
    this.#ownerSelection.onRoutersChanged(routers, now);
  }

  suspicion(id: Fingerprint): ReturnType<typeof suspicion> {
    return suspicion(this.#table.get(id));
  }

  /**
   * Returns the endpoints on which this router runs a trial; other requests
   * should avoid them.
   */
  trialEndpoints(): EndpointId[] {
    return this.#trialRequester.trialEndpoints();
  }

  /**
   * Decides on content about to be sent. `candidates` are the endpoints that
   * can run it, starting with those where a crash costs least.
   */
  decide(
    id: Fingerprint,
    candidates: readonly EndpointId[],
    now: Instant,
  ): SuspectDecision {
    const row = this.#table.get(id);
    const kind = suspicion(row);
    if (!row || kind === 'none') {
      this.#trialRequester.cancelRequest(id);
      return { kind: 'run' };
    }
    if (kind === 'condemned') {
      this.#trialRequester.cancelRequest(id);
      this.#table.touch(id, now);
      return refuse(CONDEMNED_RETRY_AFTER);
    }
    return this.#decideSuspect(row, candidates, now);
  }

  /**
   * True when the caller of content that was running during a crash may get its
   * response: every live router has acknowledged the suspect, or the wait for
   * that is over. Before that, the caller could resend the content to a router
   * that does not know the suspect and would run it.
   */
  canRespond(id: Fingerprint, now: Instant): boolean {
    const row = this.#table.get(id);
    const since = this.#observedAt.get(id);
    if (
      !row ||
      since === undefined ||
      elapsed(since, now) >= ACKNOWLEDGEMENT_TIMEOUT
    ) {
      return true;
    }
    return this.#ownerSelection.routers.every(
      router =>
        router === this.#self || this.#delivery.isAcknowledged(router, row),
    );
  }

  /** Records that an attempt was sent. */
  onAttemptStarted(
    attempt: AttemptId,
    id: Fingerprint,
    endpoint: EndpointId,
    incarnation: Incarnation,
  ): void {
    this.#runningAttempts.add(attempt, id, endpoint, incarnation);
    this.#trialRequester.onAttemptSent(id);
  }

  /**
   * Records the end of an attempt: `finished` with a complete response, which
   * clears its content, or `stopped`, which does not change its state. Returns
   * true when a suspect was cleared.
   */
  onAttemptEnded(
    attempt: AttemptId,
    result: SuspectAttemptResult,
    now: Instant,
  ): boolean {
    const running = this.#runningAttempts.remove(attempt);
    if (!running) {
      return false;
    }
    const { id } = running;
    const cleared = result === 'finished' && this.#table.clear(id, now);
    if (cleared) {
      this.#observedAt.set(id, now);
    }
    if (this.#trialRequester.endpointOf(id) === running.endpoint) {
      this.abandonTrial(id, now);
    }
    return cleared;
  }

  /** Ends a trial whose attempt was never sent. */
  abandonTrial(id: Fingerprint, now: Instant): void {
    if (this.#trialRequester.endTrial(id)) {
      this.#sendToOwner({ kind: 'ended', id }, now);
    }
  }

  /**
   * Records that an endpoint's process ended or broke every connection. Returns
   * the content that this router marks as suspect or condemned for it.
   */
  onEndpointCrash(
    endpoint: EndpointId,
    incarnation: Incarnation,
    now: Instant,
  ): Fingerprint[] {
    const crash = crashIdOf(endpoint, incarnation);
    const marked = new Set([
      ...this.#trialOwner.suspectsRunningOn(endpoint),
      ...this.#runningAttempts.takeInterrupted(crash),
    ]);
    for (const id of marked) {
      this.#table.recordCrash(id, crash, now);
      this.#observedAt.set(id, now);
      this.#dropTrialUnlessSuspect(id);
      if (this.#trialRequester.endpointOf(id) === endpoint) {
        this.abandonTrial(id, now);
      }
    }
    return [...marked];
  }

  /** Renews trials and drops expired state. */
  tick(now: Instant): void {
    for (const { kind, id, endpoint } of this.#trialRequester.tick(now)) {
      this.#sendToOwner({ kind, id, endpoint }, now);
    }
    const isExpiryDue =
      this.#expiredAt === undefined ||
      elapsed(this.#expiredAt, now) >= EXPIRY_PERIOD;
    if (isExpiryDue) {
      this.#expiredAt = now;
      this.#expire(now);
    }
  }

  /**
   * Removes and returns messages for a peer, for the gossip topic, until `fits`
   * returns false.
   */
  take(
    peer: RouterId,
    fits: (message: SuspectMessage) => boolean,
    now: Instant,
  ): SuspectMessage[] {
    const taken = this.#delivery.takeOutbox(peer, fits);
    for (const row of this.#table.rows()) {
      if (
        !this.#delivery.shouldSend(peer, row, now) ||
        !this.#shouldPropagate(row)
      ) {
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

  /** Handles a validated message from a peer. */
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
        if (!this.#trialRequester.onGrant(message.id, message.endpoint, now)) {
          this.#delivery.enqueue(peer, { kind: 'ended', id: message.id });
        }
        break;
      case 'ask':
      case 'running':
      case 'ended':
        this.#handleAsOwner(peer, message, now);
        break;
    }
  }

  /** Drops the state about a router that left. */
  forget(peer: RouterId): void {
    this.#delivery.forget(peer);
  }

  #decideSuspect(
    row: Suspect,
    candidates: readonly EndpointId[],
    now: Instant,
  ): SuspectDecision {
    const { id } = row;
    const until = this.#trialRequester.request(id, now);
    if (elapsed(now, until) <= 0) {
      this.#trialRequester.cancelRequest(id);
      return refuse(TRIAL_RETRY_AFTER);
    }
    const reserved = this.#trialRequester.reservedEndpoint(id);
    if (reserved !== undefined) {
      return { kind: 'run-isolated', endpoint: reserved };
    }
    const isTrialUnderWay = this.#trialRequester.endpointOf(id) !== undefined;
    if (
      isTrialUnderWay ||
      this.#runningAttempts.endpointsOf(id).length > 0 ||
      !this.canRespond(id, now)
    ) {
      return { kind: 'hold', until };
    }
    if (this.#trialRequester.shouldSendRequest(id, now)) {
      const endpoints = candidates.slice(0, MAX_TRIAL_CANDIDATES);
      this.#sendToOwner({ kind: 'ask', id, endpoints }, now);
    }
    const endpoint = this.#trialRequester.beginTrial(id, now);
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
    this.#dropTrialUnlessSuspect(message.id);
    this.#reportRunsToOwner(message.id, now);
    this.#delivery.recordAcknowledged(peer, message.id, suspectVersion(row));
    const version = suspectVersion(merged);
    this.#delivery.enqueue(peer, { kind: 'known', id: message.id, version });
  }

  /**
   * Reports to the owner the runs that began before this router received the
   * suspect.
   */
  #reportRunsToOwner(id: Fingerprint, now: Instant): void {
    for (const endpoint of this.#runningAttempts.endpointsOf(id)) {
      this.#sendToOwner({ kind: 'running', id, endpoint }, now);
    }
  }

  #dropTrialUnlessSuspect(id: Fingerprint): void {
    if (this.suspicion(id) !== 'suspect') {
      this.#trialOwner.drop(id);
    }
  }

  #sendToOwner(message: TrialMessage, now: Instant): void {
    const row = this.#table.get(message.id);
    const owner = row && this.#ownerSelection.ownerOf(row);
    if (owner === undefined) {
      return;
    }
    if (owner === this.#self) {
      this.#handleAsOwner(this.#self, message, now);
    } else {
      this.#delivery.enqueue(owner, message);
    }
  }

  /** Handles a message to the owner, from a peer or from this router itself. */
  #handleAsOwner(router: RouterId, message: TrialMessage, now: Instant): void {
    const { id } = message;
    if (message.kind === 'ended') {
      this.#trialOwner.endTrial(id, router);
      return;
    }
    const row = this.#table.get(id);
    if (
      !row ||
      suspicion(row) !== 'suspect' ||
      !this.#ownerSelection.canGrant(row, now)
    ) {
      return;
    }
    if (message.kind === 'running') {
      this.#trialOwner.recordRun(id, router, message.endpoint, now);
      return;
    }
    const { endpoints } = message;
    const endpoint = this.#trialOwner.grant(id, router, endpoints, now);
    if (endpoint === undefined) {
      return;
    }
    if (router === this.#self) {
      this.#trialRequester.onGrant(id, endpoint, now);
    } else {
      this.#delivery.enqueue(router, { kind: 'grant', id, endpoint });
    }
  }

  /**
   * Both the router that observed the crash and the owner send the row to every
   * peer, in case the observer is gone.
   */
  #shouldPropagate(row: Suspect): boolean {
    return (
      this.#observedAt.has(row.id) ||
      this.#ownerSelection.ownerOf(row) === this.#self
    );
  }

  #expire(now: Instant): void {
    this.#table.expire(now);
    for (const id of this.#observedAt.keys()) {
      if (!this.#table.get(id)) {
        this.#observedAt.delete(id);
      }
    }
    this.#delivery.retain(id => this.#table.get(id) !== undefined);
  }
}

type TrialMessage = SuspectMessage & { kind: 'ask' | 'running' | 'ended' };

function refuse(retryAfter: Milliseconds): SuspectDecision {
  return { kind: 'refuse', reason: { kind: 'poison-suspect', retryAfter } };
}
