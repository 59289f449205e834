/**
 * Gossip topic that sends departures to all peers, and the whole membership to
 * a new router that cannot read the platform's list.
 */
import { z } from 'zod';

import { receiveEntries } from '../gossip/receive-entries';
import { GossipTopic } from '../gossip/gossip-topic';
import { jsonSize } from '../gossip/json-size';
import { BroadcastQueue } from '../gossip/broadcast-queue';
import { endpointId, incarnation, routerId } from '../types/ids';
import type { RouterId } from '../types/ids';
import { bytes, elapsed, seconds } from '../types/units';
import type { Bytes, Instant } from '../types/units';
import type { EndpointMember, EndpointTable } from './endpoint-table';
import type { MemberChange } from './member';
import type { RouterMember, RouterTable } from './router-table';
import { incarnationSchema, nameSchema, vmEntrySchema } from './vm-entry';
import type { ListedVm } from './vm-entry';

/** Time after which a router without a list requests the members again. */
const MEMBERS_REQUEST_PERIOD = seconds(2);
const MEMBERS_REQUEST_BYTES = 6;

const kindSchema = z.enum(['e', 'r']);

const entrySchema = z.union([
  /** Departure of a process start: endpoint or router, name, incarnation. */
  z.tuple([z.literal('l'), kindSchema, nameSchema, incarnationSchema]),
  z.tuple([z.literal('m'), vmEntrySchema]),
  /** Request of a sender without a list for all members. */
  z.tuple([z.literal('?')]),
]);

type Entry = z.infer<typeof entrySchema>;
type DepartureEntry = readonly [
  'l',
  z.infer<typeof kindSchema>,
  string,
  number,
];

export interface MembershipTopicOptions {
  readonly routers: RouterTable;
  readonly endpoints: EndpointTable;
}

function toListedEndpoint(row: EndpointMember): ListedVm {
  const common = toListedFields(row);
  return row.serving.kind === 'engine'
    ? {
        ...common,
        kind: 'engine',
        models: [...row.serving.models],
        capacity: row.capacity,
      }
    : {
        ...common,
        kind: 'service',
        service: row.serving.service,
        capacity: row.capacity,
      };
}

function toListedFields(row: RouterMember | EndpointMember) {
  return {
    vm: row.vm,
    host: row.address.host,
    port: row.address.port,
    zone: row.zone,
    state: row.phase === 'leaving' ? ('leaving' as const) : ('live' as const),
    incarnation: row.incarnation,
    capacity: 0,
  };
}

export class MembershipTopic extends GossipTopic {
  override readonly name = 'm';
  override readonly rank = 0;
  readonly #routers: RouterTable;
  readonly #endpoints: EndpointTable;
  readonly #departures = new BroadcastQueue<DepartureEntry>();
  /** Members that must still be sent to a peer without a list. */
  readonly #pendingMembers = new Map<RouterId, ListedVm[]>();
  #requestedAt: Instant | undefined;

  constructor(options: MembershipTopicOptions) {
    super();
    this.#routers = options.routers;
    this.#endpoints = options.endpoints;
    this.#endpoints.subscribe(change => {
      this.#queueDeparture('e', change);
    });
    this.#routers.subscribe(change => {
      this.#queueDeparture('r', change);
    });
  }

  override urgentPeers(): readonly RouterId[] {
    return [...this.#pendingMembers.keys()];
  }

  override take(
    peer: RouterId,
    budget: Bytes,
    now: Instant,
  ): readonly unknown[] {
    const entries: unknown[] = [];
    let remaining: number = budget - 2;
    if (this.#canRequestMembers(now) && remaining >= MEMBERS_REQUEST_BYTES) {
      this.#requestedAt = now;
      entries.push(['?']);
      remaining -= MEMBERS_REQUEST_BYTES;
    }
    const peers = this.#routers.peers().length;
    for (const departure of this.#departures.take(
      peer,
      bytes(remaining),
      peers,
    )) {
      entries.push(departure);
      remaining -= jsonSize(departure) + 1;
    }
    entries.push(...this.#takePendingMembers(peer, remaining));
    return entries;
  }

  override receive(
    peer: RouterId,
    entries: readonly unknown[],
    now: Instant,
  ): number {
    return receiveEntries(entries, entrySchema, entry => {
      this.#receiveEntry(peer, entry, now);
    });
  }

  override forget(peer: RouterId): void {
    this.#pendingMembers.delete(peer);
  }

  #canRequestMembers(now: Instant): boolean {
    const isPeriodOver =
      this.#requestedAt === undefined ||
      elapsed(this.#requestedAt, now) >= MEMBERS_REQUEST_PERIOD;
    return isPeriodOver && !this.#endpoints.hasList;
  }

  #takePendingMembers(peer: RouterId, budget: number): Entry[] {
    const pending = this.#pendingMembers.get(peer);
    const taken: Entry[] = [];
    let remaining = budget;
    for (let next = pending?.at(-1); pending && next; next = pending.at(-1)) {
      const entry: Entry = ['m', next];
      remaining -= jsonSize(entry) + 1;
      if (remaining < 0) {
        return taken;
      }
      pending.pop();
      taken.push(entry);
    }
    this.#pendingMembers.delete(peer);
    return taken;
  }

  #receiveEntry(peer: RouterId, entry: Entry, now: Instant): void {
    switch (entry[0]) {
      case 'l':
        this.#onDeparture(peer, entry, now);
        return;
      case 'm':
        this.#onMember(entry[1], now);
        return;
      case '?':
        this.#onMembersRequest(peer);
        return;
    }
  }

  #onDeparture(peer: RouterId, entry: DepartureEntry, now: Instant): void {
    const [, kind, name, start] = entry;
    const processStart = incarnation(start);
    if (kind === 'e') {
      const id = endpointId(name);
      this.#endpoints.markLeaving(id, processStart, 'told-by-peer', now);
    } else {
      const cause = name === peer ? 'announced' : 'told-by-peer';
      this.#routers.markLeaving(routerId(name), processStart, cause, now);
    }
    this.#departures.receivedFrom(peer, `${kind} ${name}`);
  }

  #onMember(vm: ListedVm, now: Instant): void {
    if (vm.kind === 'router') {
      this.#routers.applyPeerUpdate(vm, now);
    } else {
      this.#endpoints.applyPeerUpdate(vm, now);
    }
  }

  /** Queues all members for a peer without a list. */
  #onMembersRequest(peer: RouterId): void {
    if (this.#pendingMembers.has(peer) || !this.#endpoints.hasList) {
      return;
    }
    const pending: ListedVm[] = [];
    for (const row of this.#routers.peers()) {
      pending.push({ ...toListedFields(row), kind: 'router' });
    }
    for (const row of this.#endpoints.rows()) {
      if (row.phase !== 'gone') {
        pending.push(toListedEndpoint(row));
      }
    }
    this.#pendingMembers.set(peer, pending);
  }

  #queueDeparture(
    kind: z.infer<typeof kindSchema>,
    change: MemberChange<string>,
  ): void {
    if (change.phase === 'leaving') {
      const entry: DepartureEntry = ['l', kind, change.id, change.incarnation];
      this.#departures.add(`${kind} ${change.id}`, entry);
    }
  }
}
