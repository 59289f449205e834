/**
 * What a router tells its peers, collected between messages, and what it takes
 * in from them: requests at endpoints, parts that engines read, and the version
 * of the configuration in force. A relay passes on what it hears.
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

const name = z.string().min(1).max(200);
const count = z.int().min(0).max(100_000);

/** Requests that the sender has at an endpoint. */
const loadSchema = z.tuple([name, count]);
/** Requests that another router has at an endpoint, as it told the sender. */
const relayedSchema = z.tuple([name, name, count]);
/** A part of prompts, an engine, and whether the engine has read it. */
const partSchema = z.tuple([name, name, z.enum(['reading', 'held'])]);
/** An endpoint that is leaving or gone, as the sender saw in the store. */
const departureSchema = z.tuple([name]);
/** An engine whose parts the sender has told, as far as anybody knows them. */
const surveyedSchema = z.tuple([name]);
/** Version of the configuration in force at the sender. */
const versionSchema = z.tuple([z.int().min(0)]);

export const NewsTopic = {
  loads: 'l',
  relayed: 'r',
  parts: 'p',
  version: 'c',
  departures: 'g',
  surveyed: 's',
} as const;

export interface PeerNewsParts {
  readonly self: RouterId;
  readonly loads: LoadEstimate;
  readonly locations: PartLocations;
  readonly directory: EndpointDirectory;
  readonly surveyPlan: CacheSurveyPlan;
}

/** What a message changed beside loads and parts. */
export interface ReceivedNews {
  /** Highest version that the sender named. */
  readonly version: number | undefined;
  /** Entries that no schema accepted. */
  readonly malformed: number;
}

/** Parts that a new peer is told, those used last; a message holds 2,000 entries. */
const MAX_TOLD_PARTS = 1500;

type PartEntry = readonly [PromptPartId, EndpointId, PartState];
type RelayedEntry = readonly [RouterId, EndpointId, number];

export class PeerNews {
  readonly #parts: PeerNewsParts;
  readonly #loads = new Map<EndpointId, number>();
  readonly #relayed = new Map<string, RelayedEntry>();
  readonly #newParts: PartEntry[] = [];
  readonly #departures = new Set<EndpointId>();
  readonly #surveyed = new Set<EndpointId>();
  #version: number | undefined;
  #versionChanged = false;
  #isRelay = false;

  constructor(parts: PeerNewsParts) {
    this.#parts = parts;
  }

  /** Whether this router passes on what it hears. */
  get isRelay(): boolean {
    return this.#isRelay;
  }

  set isRelay(isRelay: boolean) {
    this.#isRelay = isRelay;
    if (!isRelay) {
      this.#relayed.clear();
    }
  }

  /** Whether there are parts that others do not know of. */
  get hasNewParts(): boolean {
    return this.#newParts.length > 0;
  }

  /** Whether there is news that should not wait for others of its kind. */
  get isUrgent(): boolean {
    return (
      this.#departures.size > 0 ||
      this.#surveyed.size > 0 ||
      this.#versionChanged
    );
  }

  loadChanged(endpoint: EndpointId, own: number): void {
    this.#loads.set(endpoint, own);
  }

  partChanged(part: PromptPartId, engine: EndpointId, state: PartState): void {
    this.#newParts.push([part, engine, state]);
  }

  endpointDeparted(endpoint: EndpointId): void {
    this.#departures.add(endpoint);
  }

  /** Notes that an engine said what it holds. */
  engineSurveyed(engine: EndpointId): void {
    this.#surveyed.add(engine);
  }

  versionChanged(version: number): void {
    this.#version = version;
    this.#versionChanged = true;
  }

  /** Forgets what a peer told that is gone, here and at those who hear of it from here. */
  peerGone(peer: RouterId): void {
    for (const endpoint of this.#parts.loads.removePeer(peer)) {
      this.#relay(peer, endpoint, 0);
    }
  }

  /** Returns what changed since the last call; undefined when nothing did. */
  takeChanges(): TopicEntries | undefined {
    const topics: Record<string, readonly unknown[]> = {};
    if (this.#loads.size > 0) {
      topics[NewsTopic.loads] = [...this.#loads];
      this.#loads.clear();
    }
    if (this.#relayed.size > 0) {
      topics[NewsTopic.relayed] = [...this.#relayed.values()];
      this.#relayed.clear();
    }
    if (this.#newParts.length > 0) {
      topics[NewsTopic.parts] = this.#newParts.splice(0);
    }
    if (this.#departures.size > 0) {
      topics[NewsTopic.departures] = [...this.#departures].map(id => [id]);
      this.#departures.clear();
    }
    if (this.#surveyed.size > 0) {
      topics[NewsTopic.surveyed] = [...this.#surveyed].map(id => [id]);
      this.#surveyed.clear();
    }
    if (this.#versionChanged) {
      topics[NewsTopic.version] = [[this.#version]];
      this.#versionChanged = false;
    }
    return Object.keys(topics).length > 0 ? topics : undefined;
  }

  /** Returns everything a new peer should know. */
  wholeState(endpoints: readonly EndpointId[]): TopicEntries {
    const { loads, locations, surveyPlan } = this.#parts;
    const surveyed = endpoints.filter(id => surveyPlan.isKnown(id));
    const own = endpoints
      .map(id => [id, loads.ownInFlight(id)] as const)
      .filter(([, requests]) => requests > 0);
    return {
      [NewsTopic.loads]: own,
      [NewsTopic.relayed]: this.#isRelay ? [...loads.peerCounts()] : [],
      [NewsTopic.parts]: firstOf(locations.pairs(), MAX_TOLD_PARTS),
      [NewsTopic.surveyed]: surveyed.map(id => [id]),
      ...(this.#version === undefined
        ? {}
        : { [NewsTopic.version]: [[this.#version]] }),
    };
  }

  receive(peer: RouterId, topics: TopicEntries, now: Instant): ReceivedNews {
    this.#parts.loads.refreshPeerCounts(now);
    let malformed = 0;
    let version: number | undefined;
    malformed += eachEntry(topics[NewsTopic.loads], loadSchema, entry => {
      this.#told(peer, endpointId(entry[0]), entry[1], now);
      this.#relay(peer, endpointId(entry[0]), entry[1]);
    });
    malformed += eachEntry(topics[NewsTopic.relayed], relayedSchema, entry => {
      this.#told(routerId(entry[0]), endpointId(entry[1]), entry[2], now);
    });
    malformed += eachEntry(topics[NewsTopic.parts], partSchema, entry => {
      this.#partTold(promptPartId(entry[0]), endpointId(entry[1]), entry[2]);
    });
    malformed += eachEntry(
      topics[NewsTopic.departures],
      departureSchema,
      entry => {
        this.#departureTold(endpointId(entry[0]));
      },
    );
    malformed += eachEntry(
      topics[NewsTopic.surveyed],
      surveyedSchema,
      entry => {
        this.#surveyTold(endpointId(entry[0]));
      },
    );
    malformed += eachEntry(topics[NewsTopic.version], versionSchema, entry => {
      version = Math.max(version ?? 0, entry[0]);
    });
    return { version, malformed };
  }

  #told(
    origin: RouterId,
    endpoint: EndpointId,
    requests: number,
    now: Instant,
  ): void {
    if (origin !== this.#parts.self) {
      this.#parts.loads.applyPeerCount(origin, endpoint, requests, now);
    }
  }

  #relay(origin: RouterId, endpoint: EndpointId, requests: number): void {
    if (this.#isRelay) {
      const key = `${origin}\n${endpoint}`;
      this.#relayed.set(key, [origin, endpoint, requests]);
    }
  }

  #departureTold(endpoint: EndpointId): void {
    const isNews = this.#parts.directory.applyDeparture(endpoint);
    if (isNews && this.#isRelay) {
      this.#departures.add(endpoint);
    }
  }

  #surveyTold(engine: EndpointId): void {
    const isNews = this.#parts.surveyPlan.markKnown(engine);
    if (isNews && this.#isRelay) {
      this.#surveyed.add(engine);
    }
  }

  #partTold(part: PromptPartId, engine: EndpointId, state: PartState): void {
    const isNews = this.#parts.locations.add(part, engine, state);
    if (isNews && this.#isRelay) {
      this.#newParts.push([part, engine, state]);
    }
  }
}

function firstOf<Item>(items: Iterable<Item>, most: number): Item[] {
  const taken: Item[] = [];
  for (const item of items) {
    if (taken.length >= most) {
      break;
    }
    taken.push(item);
  }
  return taken;
}

/** Hands each valid entry to a function; returns how many were not valid. */
function eachEntry<Schema extends z.ZodType>(
  entries: readonly unknown[] | undefined,
  schema: Schema,
  take: (entry: z.output<Schema>) => void,
): number {
  let malformed = 0;
  for (const entry of entries ?? []) {
    const read = schema.safeParse(entry);
    if (read.success) {
      take(read.data);
    } else {
      malformed += 1;
    }
  }
  return malformed;
}
