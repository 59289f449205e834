/**
 * Collects the updates that a router sends to its peers between messages, and
 * applies those that it receives: requests at endpoints, prompt parts that
 * engines have read, departures, and the version of the configuration in force.
 * A relay passes on what it receives.
 */
import { z } from 'zod';

import type { EndpointDirectory } from '../endpoints/endpoint-directory';
import type { LoadEstimate } from '../engines/load-estimate';
import type { CacheSurveyPlan } from '../engines/cache-survey-plan';
import type { PartLocations, PartState } from '../engines/part-locations';
import type { TopicEntries } from '../gossip/gossip-scheduler';
import { endpointId, promptPartId, routerId } from '../types/ids';
import type { EndpointId, PromptPartId, RouterId } from '../types/ids';
import type { Instant } from '../types/units';

const nameSchema = z.string().min(1).max(200);
const countSchema = z.int().min(0).max(100_000);

/** Requests that the sender has at an endpoint. */
const loadSchema = z.tuple([nameSchema, countSchema]);
/**
 * Requests that another router has at an endpoint, as that router sent it to
 * the sender.
 */
const relayedSchema = z.tuple([nameSchema, nameSchema, countSchema]);
/** A prompt part, an engine, and whether the engine has read the part. */
const partSchema = z.tuple([
  nameSchema,
  nameSchema,
  z.enum(['reading', 'held']),
]);
/**
 * An endpoint that is leaving or gone according to the sender's view of the
 * store.
 */
const departureSchema = z.tuple([nameSchema]);
/** An engine all of whose known parts the sender has sent. */
const surveyedSchema = z.tuple([nameSchema]);
/** Version of the configuration in force at the sender. */
const versionSchema = z.tuple([z.int().min(0)]);

export const UpdateTopic = {
  loads: 'l',
  relayed: 'r',
  parts: 'p',
  version: 'c',
  departures: 'g',
  surveyed: 's',
} as const;

export interface PeerUpdatesOptions {
  readonly self: RouterId;
  readonly loads: LoadEstimate;
  readonly locations: PartLocations;
  readonly endpointDirectory: EndpointDirectory;
  readonly surveyPlan: CacheSurveyPlan;
}

/** Result of a received message, apart from the applied updates. */
export interface ReceivedUpdates {
  /** Highest configuration version in the message. */
  readonly version: number | undefined;
  /** Number of entries that failed validation. */
  readonly malformed: number;
}

/**
 * Most recently used parts that are sent to a new peer; a message holds 2,000
 * entries.
 */
const MAX_SENT_PARTS = 1500;

type PartEntry = readonly [PromptPartId, EndpointId, PartState];
type RelayedEntry = readonly [RouterId, EndpointId, number];

export class PeerUpdates {
  readonly #options: PeerUpdatesOptions;
  readonly #loads = new Map<EndpointId, number>();
  readonly #relayedLoads = new Map<string, RelayedEntry>();
  readonly #newParts: PartEntry[] = [];
  readonly #departedEndpoints = new Set<EndpointId>();
  readonly #surveyedEngines = new Set<EndpointId>();
  #version: number | undefined;
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
    if (!isRelay) {
      this.#relayedLoads.clear();
    }
  }

  /** Whether there are prompt parts to send. */
  get hasNewParts(): boolean {
    return this.#newParts.length > 0;
  }

  /** Whether there are updates that should be sent without a batching delay. */
  get isUrgent(): boolean {
    return (
      this.#departedEndpoints.size > 0 ||
      this.#surveyedEngines.size > 0 ||
      this.#hasNewVersion
    );
  }

  onLoadChanged(endpoint: EndpointId, own: number): void {
    this.#loads.set(endpoint, own);
  }

  onPartChanged(
    part: PromptPartId,
    engine: EndpointId,
    state: PartState,
  ): void {
    this.#newParts.push([part, engine, state]);
  }

  onEndpointDeparted(endpoint: EndpointId): void {
    this.#departedEndpoints.add(endpoint);
  }

  /** Records that an engine reported which parts it holds. */
  onEngineSurveyed(engine: EndpointId): void {
    this.#surveyedEngines.add(engine);
  }

  onVersionChanged(version: number): void {
    this.#version = version;
    this.#hasNewVersion = true;
  }

  /**
   * Drops the loads of a peer that is gone, here and at the routers that
   * received them through this relay.
   */
  onPeerGone(peer: RouterId): void {
    for (const endpoint of this.#options.loads.removePeer(peer)) {
      this.#addRelayedLoad(peer, endpoint, 0);
    }
  }

  /**
   * Returns and clears the updates since the last call; undefined when there
   * are none.
   */
  takeChanges(): TopicEntries | undefined {
    const topics: Record<string, readonly unknown[]> = {};
    if (this.#loads.size > 0) {
      topics[UpdateTopic.loads] = [...this.#loads];
      this.#loads.clear();
    }
    if (this.#relayedLoads.size > 0) {
      topics[UpdateTopic.relayed] = [...this.#relayedLoads.values()];
      this.#relayedLoads.clear();
    }
    if (this.#newParts.length > 0) {
      topics[UpdateTopic.parts] = this.#newParts.splice(0);
    }
    if (this.#departedEndpoints.size > 0) {
      topics[UpdateTopic.departures] = [...this.#departedEndpoints].map(id => [
        id,
      ]);
      this.#departedEndpoints.clear();
    }
    if (this.#surveyedEngines.size > 0) {
      topics[UpdateTopic.surveyed] = [...this.#surveyedEngines].map(id => [id]);
      this.#surveyedEngines.clear();
    }
    if (this.#hasNewVersion) {
      topics[UpdateTopic.version] = [[this.#version]];
      this.#hasNewVersion = false;
    }
    return Object.keys(topics).length > 0 ? topics : undefined;
  }

  /** Returns all state that must be sent to a new peer. */
  fullState(endpoints: readonly EndpointId[]): TopicEntries {
    const { loads, locations, surveyPlan } = this.#options;
    const surveyed = endpoints.filter(id => surveyPlan.isKnown(id));
    const own = endpoints
      .map(id => [id, loads.ownInFlight(id)] as const)
      .filter(([, requests]) => requests > 0);
    return {
      [UpdateTopic.loads]: own,
      [UpdateTopic.relayed]: this.#isRelay ? [...loads.peerCounts()] : [],
      [UpdateTopic.parts]: takeFirst(locations.pairs(), MAX_SENT_PARTS),
      [UpdateTopic.surveyed]: surveyed.map(id => [id]),
      ...(this.#version === undefined
        ? {}
        : { [UpdateTopic.version]: [[this.#version]] }),
    };
  }

  receive(peer: RouterId, topics: TopicEntries, now: Instant): ReceivedUpdates {
    this.#options.loads.refreshPeerCounts(now);
    let malformed = 0;
    let version: number | undefined;
    malformed += forEachValidEntry(
      topics[UpdateTopic.loads],
      loadSchema,
      entry => {
        this.#applyLoad(peer, endpointId(entry[0]), entry[1], now);
        this.#addRelayedLoad(peer, endpointId(entry[0]), entry[1]);
      },
    );
    malformed += forEachValidEntry(
      topics[UpdateTopic.relayed],
      relayedSchema,
      entry => {
        this.#applyLoad(
          routerId(entry[0]),
          endpointId(entry[1]),
          entry[2],
          now,
        );
      },
    );
    malformed += forEachValidEntry(
      topics[UpdateTopic.parts],
      partSchema,
      entry => {
        this.#applyPart(promptPartId(entry[0]), endpointId(entry[1]), entry[2]);
      },
    );
    malformed += forEachValidEntry(
      topics[UpdateTopic.departures],
      departureSchema,
      entry => {
        this.#applyDeparture(endpointId(entry[0]));
      },
    );
    malformed += forEachValidEntry(
      topics[UpdateTopic.surveyed],
      surveyedSchema,
      entry => {
        this.#applySurvey(endpointId(entry[0]));
      },
    );
    malformed += forEachValidEntry(
      topics[UpdateTopic.version],
      versionSchema,
      entry => {
        version = Math.max(version ?? 0, entry[0]);
      },
    );
    return { version, malformed };
  }

  #applyLoad(
    origin: RouterId,
    endpoint: EndpointId,
    requests: number,
    now: Instant,
  ): void {
    if (origin !== this.#options.self) {
      this.#options.loads.applyPeerCount(origin, endpoint, requests, now);
    }
  }

  #addRelayedLoad(
    origin: RouterId,
    endpoint: EndpointId,
    requests: number,
  ): void {
    if (this.#isRelay) {
      const key = `${origin}\n${endpoint}`;
      this.#relayedLoads.set(key, [origin, endpoint, requests]);
    }
  }

  #applyDeparture(endpoint: EndpointId): void {
    const isNew = this.#options.endpointDirectory.applyDeparture(endpoint);
    if (isNew && this.#isRelay) {
      this.#departedEndpoints.add(endpoint);
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

/** Passes each valid entry to a function; returns how many were malformed. */
function forEachValidEntry<Schema extends z.ZodType>(
  entries: readonly unknown[] | undefined,
  schema: Schema,
  take: (entry: z.output<Schema>) => void,
): number {
  let malformed = 0;
  for (const entry of entries ?? []) {
    const parsed = schema.safeParse(entry);
    if (parsed.success) {
      take(parsed.data);
    } else {
      malformed += 1;
    }
  }
  return malformed;
}
