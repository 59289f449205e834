/**
 * Tells peers which process starts are leaving, and a new router that cannot
 * read the platform's list who there is.
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

/** Time after which a router without a list asks for the members again. */
const ASK_AGAIN = seconds(2);
const ASK_SIZE = 6;

const kindSchema = z.enum(['e', 'r']);

const entrySchema = z.union([
  /** A process start is leaving: endpoint or router, name, incarnation. */
  z.tuple([z.literal('l'), kindSchema, nameSchema, incarnationSchema]),
  z.tuple([z.literal('m'), vmEntrySchema]),
  /** The sender has no list and asks for every member. */
  z.tuple([z.literal('?')]),
]);

type Entry = z.infer<typeof entrySchema>;
type Leaving = readonly ['l', z.infer<typeof kindSchema>, string, number];

export interface MembershipTopicOptions {
  readonly routers: RouterTable;
  readonly endpoints: EndpointTable;
}

function describeEndpoint(row: EndpointMember): ListedVm {
  const common = describe(row);
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

function describe(row: RouterMember | EndpointMember) {
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
  readonly #rumors = new BroadcastQueue<Leaving>();
  /** Members that a peer without a list has still to be told. */
  readonly #owed = new Map<RouterId, ListedVm[]>();
  #askedAt: Instant | undefined;

  constructor(options: MembershipTopicOptions) {
    super();
    this.#routers = options.routers;
    this.#endpoints = options.endpoints;
    this.#endpoints.subscribe(change => {
      this.#tellLeaving('e', change);
    });
    this.#routers.subscribe(change => {
      this.#tellLeaving('r', change);
    });
  }

  override urgentPeers(): readonly RouterId[] {
    return [...this.#owed.keys()];
  }

  override take(
    peer: RouterId,
    budget: Bytes,
    now: Instant,
  ): readonly unknown[] {
    const entries: unknown[] = [];
    let left: number = budget - 2;
    if (this.#mayAsk(now) && left >= ASK_SIZE) {
      this.#askedAt = now;
      entries.push(['?']);
      left -= ASK_SIZE;
    }
    const peers = this.#routers.peers().length;
    for (const rumor of this.#rumors.take(peer, bytes(left), peers)) {
      entries.push(rumor);
      left -= jsonSize(rumor) + 1;
    }
    entries.push(...this.#payOwed(peer, left));
    return entries;
  }

  override receive(
    peer: RouterId,
    entries: readonly unknown[],
    now: Instant,
  ): number {
    return receiveEntries(entries, entrySchema, entry => {
      this.#receive(peer, entry, now);
    });
  }

  override forget(peer: RouterId): void {
    this.#owed.delete(peer);
  }

  #mayAsk(now: Instant): boolean {
    const waited =
      this.#askedAt === undefined || elapsed(this.#askedAt, now) >= ASK_AGAIN;
    return waited && !this.#endpoints.hasList;
  }

  #payOwed(peer: RouterId, budget: number): Entry[] {
    const owed = this.#owed.get(peer);
    const paid: Entry[] = [];
    let left = budget;
    for (let next = owed?.at(-1); owed && next; next = owed.at(-1)) {
      const entry: Entry = ['m', next];
      left -= jsonSize(entry) + 1;
      if (left < 0) {
        return paid;
      }
      owed.pop();
      paid.push(entry);
    }
    this.#owed.delete(peer);
    return paid;
  }

  #receive(peer: RouterId, entry: Entry, now: Instant): void {
    switch (entry[0]) {
      case 'l':
        this.#leavingArrived(peer, entry, now);
        return;
      case 'm':
        this.#memberArrived(entry[1], now);
        return;
      case '?':
        this.#owe(peer);
        return;
    }
  }

  #leavingArrived(peer: RouterId, entry: Leaving, now: Instant): void {
    const [, kind, name, start] = entry;
    const at = incarnation(start);
    if (kind === 'e') {
      const id = endpointId(name);
      this.#endpoints.markLeaving(id, at, 'told-by-peer', now);
    } else {
      const cause = name === peer ? 'announced' : 'told-by-peer';
      this.#routers.markLeaving(routerId(name), at, cause, now);
    }
    this.#rumors.receivedFrom(peer, `${kind} ${name}`);
  }

  #memberArrived(vm: ListedVm, now: Instant): void {
    if (vm.kind === 'router') {
      this.#routers.applyPeerUpdate(vm, now);
    } else {
      this.#endpoints.applyPeerUpdate(vm, now);
    }
  }

  /** A peer without a list gets every member that this router has. */
  #owe(peer: RouterId): void {
    if (this.#owed.has(peer) || !this.#endpoints.hasList) {
      return;
    }
    const owed: ListedVm[] = [];
    for (const row of this.#routers.peers()) {
      owed.push({ ...describe(row), kind: 'router' });
    }
    for (const row of this.#endpoints.rows()) {
      if (row.phase !== 'gone') {
        owed.push(describeEndpoint(row));
      }
    }
    this.#owed.set(peer, owed);
  }

  #tellLeaving(
    kind: z.infer<typeof kindSchema>,
    change: MemberChange<string>,
  ): void {
    if (change.phase === 'leaving') {
      const leaving: Leaving = ['l', kind, change.id, change.incarnation];
      this.#rumors.add(`${kind} ${change.id}`, leaving);
    }
  }
}
