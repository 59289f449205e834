/**
 * What a router tells its peers, collected between messages, and what it takes
 * in from them: requests at endpoints, parts that engines read, rows of
 * endpoints and the version of the configuration in force.
 */
import { z } from 'zod';

import type { LoadEstimate } from '../engines/load-estimate';
import type { PartLocations, PartState } from '../engines/part-locations';
import type { TopicEntries } from '../gossip/gossip-scheduler';
import { endpointId, promptPartId } from '../types/ids';
import type { EndpointId, PromptPartId, RouterId } from '../types/ids';
import type { Instant } from '../types/units';

const name = z.string().min(1).max(200);

/** Requests that the sender has at an endpoint. */
const loadSchema = z.tuple([name, z.int().min(0).max(100_000)]);
/** A part of prompts, an engine, and whether the engine has read it. */
const partSchema = z.tuple([name, name, z.enum(['reading', 'held'])]);
/** Version of the configuration in force at the sender. */
const versionSchema = z.tuple([z.int().min(0)]);

export const NewsTopic = {
  loads: 'l',
  parts: 'p',
  version: 'c',
} as const;

export interface PeerNewsParts {
  readonly loads: LoadEstimate;
  readonly locations: PartLocations;
}

/** What a message changed beside loads and parts. */
export interface ReceivedNews {
  /** Highest version that the sender named. */
  readonly version: number | undefined;
  /** Entries that no schema accepted. */
  readonly malformed: number;
}

export class PeerNews {
  readonly #parts: PeerNewsParts;
  readonly #loads = new Map<EndpointId, number>();
  readonly #newParts: (readonly [PromptPartId, EndpointId, PartState])[] = [];
  #version: number | undefined;
  #versionChanged = false;

  constructor(parts: PeerNewsParts) {
    this.#parts = parts;
  }

  /** Whether there is news that should not wait for the next round. */
  get isUrgent(): boolean {
    return this.#newParts.length > 0 || this.#versionChanged;
  }

  loadChanged(endpoint: EndpointId, own: number): void {
    this.#loads.set(endpoint, own);
  }

  partChanged(part: PromptPartId, engine: EndpointId, state: PartState): void {
    this.#newParts.push([part, engine, state]);
  }

  versionChanged(version: number): void {
    this.#version = version;
    this.#versionChanged = true;
  }

  /** Returns what changed since the last call; undefined when nothing did. */
  takeChanges(): TopicEntries | undefined {
    const topics: Record<string, readonly unknown[]> = {};
    if (this.#loads.size > 0) {
      topics[NewsTopic.loads] = [...this.#loads];
      this.#loads.clear();
    }
    if (this.#newParts.length > 0) {
      topics[NewsTopic.parts] = this.#newParts.splice(0);
    }
    if (this.#versionChanged) {
      topics[NewsTopic.version] = [[this.#version]];
      this.#versionChanged = false;
    }
    return Object.keys(topics).length > 0 ? topics : undefined;
  }

  /** Returns everything a new peer should know. */
  wholeState(endpoints: readonly EndpointId[]): TopicEntries {
    const { loads, locations } = this.#parts;
    const own = endpoints
      .map(id => [id, loads.own(id)] as const)
      .filter(([, count]) => count > 0);
    return {
      [NewsTopic.loads]: own,
      [NewsTopic.parts]: [...locations.pairs()],
      ...(this.#version === undefined
        ? {}
        : { [NewsTopic.version]: [[this.#version]] }),
    };
  }

  receive(peer: RouterId, topics: TopicEntries, now: Instant): ReceivedNews {
    const { loads, locations } = this.#parts;
    loads.peerHeard(peer, now);
    let malformed = 0;
    let version: number | undefined;
    for (const entry of topics[NewsTopic.loads] ?? []) {
      const read = loadSchema.safeParse(entry);
      if (read.success) {
        loads.peerTold(peer, endpointId(read.data[0]), read.data[1], now);
      } else {
        malformed += 1;
      }
    }
    for (const entry of topics[NewsTopic.parts] ?? []) {
      const read = partSchema.safeParse(entry);
      if (read.success) {
        const [part, engine, state] = read.data;
        locations.add(promptPartId(part), endpointId(engine), state);
      } else {
        malformed += 1;
      }
    }
    for (const entry of topics[NewsTopic.version] ?? []) {
      const read = versionSchema.safeParse(entry);
      if (read.success) {
        version = Math.max(version ?? 0, read.data[0]);
      } else {
        malformed += 1;
      }
    }
    return { version, malformed };
  }
}
