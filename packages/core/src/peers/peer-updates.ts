/**
 * Collects the updates that a router sends to its peers between messages, and
 * applies those that it receives: requests at endpoints, rows of the store, prompt
 * parts that engines have read, departures, content that may crash endpoints, limits
 * that endpoints state, and the version of the configuration in force. A relay passes on what it receives.
 */
import { z } from 'zod';

import type { EndpointLimits } from '../endpoint-limits/endpoint-limits';
import type { EndpointDirectory } from '../endpoints/endpoint-directory';
import type { EndpointEntry } from '../endpoints/endpoint-entry';
import type { CacheSurveyPlan } from '../engines/cache-survey-plan';
import type { PartLocations, PartState } from '../engines/part-locations';
import type { TopicEntries } from '../gossip/gossip-scheduler';
import type { RelayedSuspects } from '../poison/relayed-suspects';
import { endpointId, promptPartId } from '../types/ids';
import type { EndpointId, PromptPartId, RouterId } from '../types/ids';
import type { Instant } from '../types/units';
import {
  forEachAcceptedEntry,
  forEachValidEntry,
  isPartEntry,
} from './entry-lists';
import type { FeedUpdates } from './feed-updates';
import type { LoadUpdates } from './load-updates';

const nameSchema = z.string().min(1).max(200);

/**
 * An endpoint that the sender knows as leaving or gone, the start time of its
 * instance if known, and whether that instance itself said that it leaves.
 */
const departureSchema = z.tuple([
  nameSchema,
  z.number().nullable(),
  z.boolean(),
]);
/** An engine all of whose known parts the sender has sent. */
const surveyedSchema = z.tuple([nameSchema]);
/** Version of the configuration in force at the sender, and the store's era it is from. */
const versionSchema = z.tuple([z.int().min(0), z.int().min(0)]);

export const UpdateTopic = {
  parts: 'p',
  version: 'c',
  departures: 'g',
  surveyed: 's',
  suspects: 'x',
  trials: 'y',
  reaches: 'h',
  requestLimits: 'r',
  rejectionLimits: 'k',
} as const;

export interface PeerUpdatesOptions {
  readonly loadUpdates: LoadUpdates;
  readonly feedUpdates: FeedUpdates;
  readonly locations: PartLocations;
  readonly endpointDirectory: EndpointDirectory;
  readonly surveyPlan: CacheSurveyPlan;
  readonly suspects: RelayedSuspects;
  readonly endpointLimits: EndpointLimits;
}

/** The configuration that a peer has in force. */
export interface PeerVersion {
  readonly version: number;
  readonly era: number;
}

export interface ReceivedUpdates {
  /** The configuration in force at the sender, if it sent it. */
  readonly version: PeerVersion | undefined;
  /** Number of entries that failed validation. */
  readonly malformed: number;
}

/**
 * Most recently used parts that are sent to a new peer; a message holds 2,000
 * entries.
 */
const MAX_SENT_PARTS = 1500;

type PartChange = readonly [PromptPartId, EndpointId, PartState];
type DepartureEntry = z.input<typeof departureSchema>;

export class PeerUpdates {
  readonly #options: PeerUpdatesOptions;
  readonly #newParts: PartChange[] = [];
  readonly #departures = new Map<EndpointId, DepartureEntry>();
  readonly #surveyedEngines = new Set<EndpointId>();
  #version: PeerVersion | undefined;
  #hasNewVersion = false;
  #isRelay = false;

  constructor(options: PeerUpdatesOptions) {
    this.#options = options;
  }

  /** Whether this router passes on the updates it receives. */
  get isRelay(): boolean {
    return this.#isRelay;
  }

  set isRelay(isRelay: boolean) {
    this.#isRelay = isRelay;
    this.#options.loadUpdates.isRelay = isRelay;
    this.#options.feedUpdates.isRelay = isRelay;
  }

  /** Whether there are prompt parts to send. */
  get hasNewParts(): boolean {
    return this.#newParts.length > 0;
  }

  /** Whether there are loads to send. */
  get hasNewLoads(): boolean {
    return this.#options.loadUpdates.hasChanges;
  }

  /** Whether there are updates that should be sent without a batching delay. */
  get isUrgent(): boolean {
    return (
      this.#departures.size > 0 ||
      this.#surveyedEngines.size > 0 ||
      this.#hasNewVersion ||
      this.#options.suspects.hasChanges ||
      this.#options.endpointLimits.hasChanges ||
      this.#options.feedUpdates.isUrgent
    );
  }

  onLoadChanged(endpoint: EndpointId, own: number): void {
    this.#options.loadUpdates.onOwnChanged(endpoint, own);
  }

  onPartChanged(
    part: PromptPartId,
    engine: EndpointId,
    state: PartState,
  ): void {
    this.#newParts.push([part, engine, state]);
  }

  /** Records that an endpoint's entry is gone. */
  onEndpointGone(endpoint: EndpointId): void {
    this.#departures.set(endpoint, [endpoint, null, false]);
  }

  /** Records that an instance of an endpoint is leaving. */
  onEndpointLeaving({ id, startedAt }: EndpointEntry): void {
    this.#departures.set(id, [id, startedAt ?? null, true]);
  }

  /** Records that an engine reported which parts it holds. */
  onEngineSurveyed(engine: EndpointId): void {
    this.#surveyedEngines.add(engine);
  }

  onVersionChanged(version: PeerVersion): void {
    this.#version = version;
    this.#hasNewVersion = true;
  }

  /**
   * Drops the loads of a peer that is gone, here and at the routers that
   * received them through this relay.
   */
  onPeerGone(peer: RouterId): void {
    this.#options.loadUpdates.onPeerGone(peer);
  }

  /** Returns and clears the updates for all peers since the last call. */
  takeChanges(now: Instant): TopicEntries {
    const { loadUpdates, feedUpdates, suspects, endpointLimits } =
      this.#options;
    const topics: Record<string, readonly unknown[]> = {
      ...loadUpdates.takeChanges(),
      ...feedUpdates.takeChanges(now),
    };
    if (this.#newParts.length > 0) {
      topics[UpdateTopic.parts] = this.#newParts.splice(0);
    }
    if (this.#departures.size > 0) {
      topics[UpdateTopic.departures] = [...this.#departures.values()];
      this.#departures.clear();
    }
    if (this.#surveyedEngines.size > 0) {
      topics[UpdateTopic.surveyed] = [...this.#surveyedEngines].map(id => [id]);
      this.#surveyedEngines.clear();
    }
    if (suspects.hasChanges) {
      topics[UpdateTopic.suspects] = suspects.takeChanges(now);
      topics[UpdateTopic.trials] = suspects.takeTrials(now);
      topics[UpdateTopic.reaches] = suspects.takeReaches();
    }
    if (endpointLimits.hasChanges) {
      topics[UpdateTopic.requestLimits] = endpointLimits.requests.takeChanges();
      topics[UpdateTopic.rejectionLimits] =
        endpointLimits.rejections.takeChanges();
    }
    if (this.#hasNewVersion && this.#version) {
      topics[UpdateTopic.version] = [versionEntry(this.#version)];
      this.#hasNewVersion = false;
    }
    return topics;
  }

  /** Returns the part of the next message that is for one peer only, and clears it. */
  takeChangesFor(peer: RouterId): TopicEntries {
    return this.#options.loadUpdates.takeIncluded(peer);
  }

  /** Returns all state that must be sent to a new peer. */
  fullState(
    peer: RouterId,
    endpoints: readonly EndpointId[],
    now: Instant,
  ): TopicEntries {
    const {
      locations,
      surveyPlan,
      loadUpdates,
      feedUpdates,
      suspects,
      endpointLimits,
    } = this.#options;
    const surveyed = endpoints.filter(id => surveyPlan.isKnown(id));
    return {
      ...loadUpdates.fullState(peer, endpoints),
      ...feedUpdates.fullState(now),
      [UpdateTopic.parts]: takeFirst(locations.pairs(), MAX_SENT_PARTS),
      [UpdateTopic.surveyed]: surveyed.map(id => [id]),
      [UpdateTopic.suspects]: suspects.fullState(now),
      [UpdateTopic.reaches]: suspects.fullReaches(now),
      [UpdateTopic.requestLimits]: endpointLimits.requests.fullState(),
      [UpdateTopic.rejectionLimits]: endpointLimits.rejections.fullState(),
      ...(this.#version
        ? { [UpdateTopic.version]: [versionEntry(this.#version)] }
        : {}),
    };
  }

  receive(peer: RouterId, topics: TopicEntries, now: Instant): ReceivedUpdates {
    const { loadUpdates, feedUpdates, suspects, endpointLimits } =
      this.#options;
    let version: PeerVersion | undefined;
    const malformed =
      loadUpdates.receive(peer, topics, now) +
      feedUpdates.receive(topics, now) +
      suspects.receive(topics[UpdateTopic.suspects], this.#isRelay, now) +
      suspects.receiveTrials(topics[UpdateTopic.trials], this.#isRelay, now) +
      suspects.receiveReaches(topics[UpdateTopic.reaches], this.#isRelay) +
      endpointLimits.requests.receive(
        topics[UpdateTopic.requestLimits],
        this.#isRelay,
        now,
      ) +
      endpointLimits.rejections.receive(
        topics[UpdateTopic.rejectionLimits],
        this.#isRelay,
        now,
      ) +
      forEachAcceptedEntry(topics[UpdateTopic.parts], isPartEntry, entry => {
        this.#applyPart(promptPartId(entry[0]), endpointId(entry[1]), entry[2]);
      }) +
      forEachValidEntry(
        topics[UpdateTopic.departures],
        departureSchema,
        entry => {
          this.#applyDeparture(entry);
        },
      ) +
      forEachValidEntry(topics[UpdateTopic.surveyed], surveyedSchema, entry => {
        this.#applySurvey(endpointId(entry[0]));
      }) +
      forEachValidEntry(topics[UpdateTopic.version], versionSchema, entry => {
        version = { version: entry[0], era: entry[1] };
      });
    return { version, malformed };
  }

  #applyDeparture(entry: DepartureEntry): void {
    const { endpointDirectory } = this.#options;
    const [key, startedAt, isAnnounced] = entry;
    const id = endpointId(key);
    const isNew = isAnnounced
      ? endpointDirectory.markLeaving(id, startedAt ?? undefined)
      : endpointDirectory.applyDeparture(id);
    if (isNew && this.#isRelay) {
      this.#departures.set(id, entry);
    }
  }

  #applySurvey(engine: EndpointId): void {
    const isNew = this.#options.surveyPlan.markKnown(engine);
    if (isNew && this.#isRelay) {
      this.#surveyedEngines.add(engine);
    }
  }

  #applyPart(part: PromptPartId, engine: EndpointId, state: PartState): void {
    const isNew = this.#options.locations.add(part, engine, state);
    if (isNew && this.#isRelay) {
      this.#newParts.push([part, engine, state]);
    }
  }
}

function takeFirst<Item>(items: Iterable<Item>, max: number): Item[] {
  const taken: Item[] = [];
  for (const item of items) {
    if (taken.length >= max) {
      break;
    }
    taken.push(item);
  }
  return taken;
}

function versionEntry({ version, era }: PeerVersion): [number, number] {
  return [version, era];
}
