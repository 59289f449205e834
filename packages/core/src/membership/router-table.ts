/**
 * Membership table of the fleet's routers. A row's incarnation is the one that
 * the router itself announces, and 0 until it has connected; the incarnations
 * in the platform's list count starts of VMs and are separate.
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

/**
 * Time without a connection after which a router's shared tasks move to others.
 */
const UNREACHABLE_AFTER = seconds(3);

/** Details of a router in addition to the fields of every member. */
export interface RouterDetails {
  /** Since when this router has failed to connect to it. */
  readonly unreachableSince?: Instant | undefined;
  /** Whether the timeline has an event that it is unreachable. */
  readonly isRecordedAsUnreachable?: boolean;
  /** Whether the platform's list shows its VM as leaving. */
  readonly isListedAsLeaving?: boolean;
}

export interface RouterMember extends Member<RouterId>, RouterDetails {}

/**
 * Latest entry of the list for a VM; leaving is sticky per incarnation in the
 * list.
 */
interface Listing {
  readonly incarnation: number;
  readonly isLeaving: boolean;
}

/** Incarnation of a router that has not announced its own. */
const UNKNOWN_INCARNATION = incarnation(0);

/** What a router announces about itself when it connects. */
export interface RouterIdentity {
  readonly id: RouterId;
  readonly incarnation: Incarnation;
  readonly zone: ZoneId;
  readonly address: Address;
  /** CPU time that its VM has, in cores; 1 when not given. */
  readonly power?: number | undefined;
}

export interface RouterTableOptions {
  readonly self: RouterIdentity;
  readonly recorder: EventRecorder;
  readonly times?: MembershipTimes;
}

type RouterVm = Extract<ListedVm, { kind: 'router' }>;

/** Converts an entry of the list to a report about one start of the router. */
function routerReport(
  vm: RouterVm,
  start: Incarnation,
  details: RouterDetails,
): MemberReport<RouterId, RouterDetails> {
  return {
    id: routerId(vm.vm),
    vm: vmId(vm.vm),
    incarnation: start,
    zone: zoneId(vm.zone),
    address: { host: vm.host, port: vm.port },
    isLeaving: false,
    details,
  };
}

function identityReport(
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
  #isLeaving = false;
  #revision = 0;

  constructor(options: RouterTableOptions) {
    super(options.times ?? DEFAULT_MEMBERSHIP_TIMES);
    this.self = options.self;
    this.#recorder = options.recorder;
  }

  /** Whether this router has announced that it stops. */
  get isLeaving(): boolean {
    return this.#isLeaving;
  }

  /** Rises with every change of the set of live routers. */
  get revision(): number {
    return this.#revision;
  }

  /**
   * Applies the platform's list of VMs; entries about this router are ignored.
   */
  onVmList(entries: readonly unknown[], now: Instant): void {
    const { vms, malformed, contradictory } = parseVmList(entries);
    this.counters.malformed += malformed;
    this.counters.contradictory += contradictory;
    const routers = vms
      .filter(vm => vm.kind === 'router')
      .filter(vm => vm.vm !== this.self.id);
    this.applyList(
      routers.map(vm => this.#listedRouterReport(vm)),
      now,
    );
    this.#revision += 1;
  }

  /** Merges a peer's report about another router. */
  applyPeerUpdate(vm: RouterVm, now: Instant): void {
    if (vm.vm !== this.self.id) {
      const start = incarnation(vm.incarnation);
      this.applyReport(routerReport(vm, start, {}), 'peer', now);
    }
  }

  /** Records an authenticated connection to or from a router. */
  onConnected(identity: RouterIdentity, now: Instant): void {
    if (identity.id === this.self.id) {
      return;
    }
    this.applyReport(identityReport(identity), 'direct', now);
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

  /** Records that a message from a connected router arrived. */
  onMessage(id: RouterId, now: Instant): void {
    this.table.patch(id, { lastResponseAt: now });
  }

  /** Records that a connection to a router was lost or could not be made. */
  onDisconnected(id: RouterId, now: Instant): void {
    const row = this.table.get(id);
    if (row && row.unreachableSince === undefined) {
      this.table.patch(id, {
        unreachableSince: now,
        lastResponseAt: undefined,
      });
    }
  }

  /**
   * Announces that this router takes no new requests and hands over its shared
   * tasks.
   */
  leave(): void {
    this.#isLeaving = true;
    this.#revision += 1;
    const { id, incarnation: start } = this.self;
    const change = { id, incarnation: start, cause: 'announced' } as const;
    this.notify({ ...change, phase: 'leaving' });
  }

  /** Returns the other routers to which messages can be sent. */
  peers(): RouterMember[] {
    return [...this.table.rows()].filter(row => row.phase !== 'gone');
  }

  /**
   * Returns the routers that may own shared tasks, including this one unless it
   * leaves.
   */
  liveRouters(now: Instant): RouterId[] {
    const live = [...this.table.rows()]
      .filter(row => this.#canOwnTasks(row, now))
      .map(row => row.id);
    if (!this.#isLeaving) {
      live.push(this.self.id);
    }
    return live;
  }

  override tick(now: Instant): void {
    super.tick(now);
    for (const row of this.table.rows()) {
      const isInUse = row.phase === 'joining' || row.phase === 'live';
      if (isInUse && !row.isRecordedAsUnreachable && isUnreachable(row, now)) {
        this.table.patch(row.id, { isRecordedAsUnreachable: true });
        this.#revision += 1;
        const detail = { incarnation: row.incarnation, cause: 'unreachable' };
        this.#recorder.record('router-gone', { router: row.id }, detail);
      }
    }
  }

  protected override build(
    member: Member<RouterId>,
    details: RouterDetails,
  ): RouterMember {
    return { ...member, ...details };
  }

  protected override refresh(row: RouterMember, details: RouterDetails): void {
    this.table.patch(row.id, details);
  }

  protected override onPhaseChange(row: RouterMember): void {
    this.#revision += 1;
    const links = { router: row.id };
    const detail = { incarnation: row.incarnation, cause: row.cause ?? '' };
    const hasJoined = row.phase === 'joining' || row.phase === 'live';
    this.#recorder.record(
      hasJoined ? 'router-joined' : 'router-gone',
      links,
      detail,
    );
  }

  #listedRouterReport(vm: RouterVm): MemberReport<RouterId, RouterDetails> {
    const id = routerId(vm.vm);
    const previous = this.#listings.get(id);
    const isListedAsLeaving = vm.state === 'leaving';
    const { incarnation: listedIncarnation } = vm;
    let listing: Listing = {
      incarnation: listedIncarnation,
      isLeaving: isListedAsLeaving,
    };
    if (previous && listedIncarnation < previous.incarnation) {
      this.counters.stale += 1;
      listing = previous;
    } else if (previous?.incarnation === listedIncarnation) {
      listing = {
        ...previous,
        isLeaving: previous.isLeaving || isListedAsLeaving,
      };
    }
    this.#listings.set(id, listing);
    const start = this.table.get(id)?.incarnation ?? UNKNOWN_INCARNATION;
    return routerReport(vm, start, { isListedAsLeaving: listing.isLeaving });
  }

  #canOwnTasks(row: RouterMember, now: Instant): boolean {
    const isLeaving = row.phase === 'leaving' || row.isListedAsLeaving === true;
    if (isLeaving || row.phase === 'gone') {
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
