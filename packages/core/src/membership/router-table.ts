/**
 * Routers of the fleet, this one among them. A row's incarnation is the number
 * that the router gives itself, and 0 until it has connected; the platform's
 * list numbers VMs on its own.
 */
import type { EventRecorder } from '../timeline/event';
import type { Address } from '../types/endpoint';
import { incarnation, routerId, vmId, zoneId } from '../types/ids';
import type { Incarnation, RouterId, ZoneId } from '../types/ids';
import { elapsed, seconds } from '../types/units';
import type { Instant } from '../types/units';
import type { Member, MemberReport } from './member';
import { DEFAULT_MEMBERSHIP_TIMES, MemberTable } from './member-table';
import type { MembershipTimes } from './member-table';
import { parseVmList } from './vm-entry';
import type { ListedVm } from './vm-entry';

/** Time without a connection after which a router's duties move on. */
const UNREACHABLE_AFTER = seconds(3);

/** Facts of a router beside those of every member. */
export interface RouterDetails {
  /** Since when this router has failed to connect to it. */
  readonly unreachableSince?: Instant | undefined;
  /** Whether its being unreachable is on the time line. */
  readonly isRecordedAsUnreachable?: boolean;
  /** Whether the platform's list says that its VM leaves. */
  readonly isListedAsLeaving?: boolean;
}

export interface RouterMember extends Member<RouterId>, RouterDetails {}

/** What the list last said of a VM; leaving is sticky per incarnation of the list. */
interface Listing {
  readonly incarnation: number;
  readonly leaving: boolean;
}

/** Start number of a router that has not told its own. */
const UNKNOWN_START = incarnation(0);

/** What a router says of itself when it connects. */
export interface RouterIdentity {
  readonly id: RouterId;
  readonly incarnation: Incarnation;
  readonly zone: ZoneId;
  readonly address: Address;
  /** Cores' worth of processor time that its VM has; 1 where it does not say. */
  readonly power?: number | undefined;
}

export interface RouterTableOptions {
  readonly self: RouterIdentity;
  readonly recorder: EventRecorder;
  readonly times?: MembershipTimes;
}

type RouterVm = Extract<ListedVm, { kind: 'router' }>;

/** Turns a line about a router into a statement about one of its starts. */
function sightRouter(
  vm: RouterVm,
  start: Incarnation,
  facts: RouterDetails,
): MemberReport<RouterId, RouterDetails> {
  return {
    id: routerId(vm.vm),
    vm: vmId(vm.vm),
    incarnation: start,
    zone: zoneId(vm.zone),
    address: { host: vm.host, port: vm.port },
    isLeaving: false,
    details: facts,
  };
}

function sightIdentity(
  identity: RouterIdentity,
): MemberReport<RouterId, RouterDetails> {
  return { ...identity, vm: vmId(identity.id), isLeaving: false, details: {} };
}

export class RouterTable extends MemberTable<
  RouterId,
  RouterDetails,
  RouterMember
> {
  readonly self: RouterIdentity;
  readonly #recorder: EventRecorder;
  readonly #listings = new Map<RouterId, Listing>();
  #leaving = false;
  #revision = 0;

  constructor(options: RouterTableOptions) {
    super(options.times ?? DEFAULT_MEMBERSHIP_TIMES);
    this.self = options.self;
    this.#recorder = options.recorder;
  }

  /** Whether this router has announced that it stops. */
  get isLeaving(): boolean {
    return this.#leaving;
  }

  /** Rises with every change of who is live. */
  get revision(): number {
    return this.#revision;
  }

  /** Takes the platform's list; lines about this router itself are left out. */
  onVmList(entries: readonly unknown[], now: Instant): void {
    const { vms, malformed, contradictory } = parseVmList(entries);
    this.counters.malformed += malformed;
    this.counters.contradictory += contradictory;
    const routers = vms
      .filter(vm => vm.kind === 'router')
      .filter(vm => vm.vm !== this.self.id);
    this.applyList(
      routers.map(vm => this.#sightListed(vm)),
      now,
    );
    this.#revision += 1;
  }

  /** Merges what a peer knows about another router. */
  applyPeerUpdate(vm: RouterVm, now: Instant): void {
    if (vm.vm !== this.self.id) {
      const start = incarnation(vm.incarnation);
      this.applyReport(sightRouter(vm, start, {}), 'peer', now);
    }
  }

  /** An authenticated connection to or from a router stands. */
  onConnected(identity: RouterIdentity, now: Instant): void {
    if (identity.id === this.self.id) {
      return;
    }
    this.applyReport(sightIdentity(identity), 'direct', now);
    const row = this.table.get(identity.id);
    if (row?.isRecordedAsUnreachable) {
      this.onPhaseChange(row);
    }
    this.table.patch(identity.id, {
      lastResponseAt: now,
      unreachableSince: undefined,
      isRecordedAsUnreachable: false,
    });
    this.#revision += 1;
  }

  /** A message of a connected router arrived. */
  onMessage(id: RouterId, now: Instant): void {
    this.table.patch(id, { lastResponseAt: now });
  }

  /** A connection to a router broke or could not be made. */
  onDisconnected(id: RouterId, now: Instant): void {
    const row = this.table.get(id);
    if (row && row.unreachableSince === undefined) {
      this.table.patch(id, {
        unreachableSince: now,
        lastResponseAt: undefined,
      });
    }
  }

  /** Announces that this router takes no new work and hands over its duties. */
  leave(): void {
    this.#leaving = true;
    this.#revision += 1;
    const { id, incarnation: start } = this.self;
    const change = { id, incarnation: start, cause: 'announced' } as const;
    this.notify({ ...change, phase: 'leaving' });
  }

  /** Other routers that messages can go to. */
  peers(): RouterMember[] {
    return [...this.table.rows()].filter(row => row.phase !== 'gone');
  }

  /** Routers that duties may fall on, this one included unless it leaves. */
  liveRouters(now: Instant): RouterId[] {
    const live = [...this.table.rows()]
      .filter(row => this.#mayHoldDuties(row, now))
      .map(row => row.id);
    if (!this.#leaving) {
      live.push(this.self.id);
    }
    return live;
  }

  override tick(now: Instant): void {
    super.tick(now);
    for (const row of this.table.rows()) {
      const works = row.phase === 'joining' || row.phase === 'live';
      if (works && !row.isRecordedAsUnreachable && isUnreachable(row, now)) {
        this.table.patch(row.id, { isRecordedAsUnreachable: true });
        this.#revision += 1;
        const detail = { incarnation: row.incarnation, cause: 'unreachable' };
        this.#recorder.record('router-gone', { router: row.id }, detail);
      }
    }
  }

  protected override build(
    member: Member<RouterId>,
    facts: RouterDetails,
  ): RouterMember {
    return { ...member, ...facts };
  }

  protected override refresh(row: RouterMember, facts: RouterDetails): void {
    this.table.patch(row.id, facts);
  }

  protected override onPhaseChange(row: RouterMember): void {
    this.#revision += 1;
    const links = { router: row.id };
    const detail = { incarnation: row.incarnation, cause: row.cause ?? '' };
    const joined = row.phase === 'joining' || row.phase === 'live';
    this.#recorder.record(
      joined ? 'router-joined' : 'router-gone',
      links,
      detail,
    );
  }

  #sightListed(vm: RouterVm): MemberReport<RouterId, RouterDetails> {
    const id = routerId(vm.vm);
    const known = this.#listings.get(id);
    const said = vm.state === 'leaving';
    const { incarnation: number } = vm;
    let listing: Listing = { incarnation: number, leaving: said };
    if (known && number < known.incarnation) {
      this.counters.stale += 1;
      listing = known;
    } else if (known?.incarnation === number) {
      listing = { ...known, leaving: known.leaving || said };
    }
    this.#listings.set(id, listing);
    const start = this.table.get(id)?.incarnation ?? UNKNOWN_START;
    return sightRouter(vm, start, { isListedAsLeaving: listing.leaving });
  }

  #mayHoldDuties(row: RouterMember, now: Instant): boolean {
    const leaves = row.phase === 'leaving' || row.isListedAsLeaving === true;
    if (leaves || row.phase === 'gone') {
      return false;
    }
    return !isUnreachable(row, now);
  }
}

function isUnreachable(row: RouterMember, now: Instant): boolean {
  const { unreachableSince } = row;
  return (
    unreachableSince !== undefined &&
    elapsed(unreachableSince, now) >= UNREACHABLE_AFTER
  );
}
