/** Membership table of engines and of instances of plain services. */
import type { EventRecorder } from '../timeline/event';
import type { Endpoint, Serving } from '../types/endpoint';
import {
  endpointId,
  incarnation,
  modelId,
  serviceId,
  vmId,
  zoneId,
} from '../types/ids';
import type { EndpointId } from '../types/ids';
import type { Instant } from '../types/units';
import type { Departures } from './departures';
import type { Member, MemberReport } from './member';
import { DEFAULT_MEMBERSHIP_TIMES, MemberTable } from './member-table';
import type { MembershipTimes } from './member-table';
import { parseVmList } from './vm-entry';
import type { ListedVm } from './vm-entry';

/** What a router observed in its own exchanges with an endpoint. */
export type EndpointSignal =
  'answered' | 'refused-as-leaving' | 'connection-failed';

/** Details of an endpoint in addition to the fields of every member. */
export interface EndpointDetails {
  readonly serving: Serving;
  readonly capacity: number;
}

export interface EndpointMember extends Member<EndpointId>, EndpointDetails {}

export interface EndpointTableOptions {
  readonly recorder: EventRecorder;
  readonly times?: MembershipTimes;
  /** Process starts known to have left; none when absent. */
  readonly departures?: Departures<EndpointId>;
}

type EndpointVm = Exclude<ListedVm, { kind: 'router' }>;

/** Converts an entry of the VM list to a report about an endpoint. */
export function endpointReport(
  vm: EndpointVm,
): MemberReport<EndpointId, EndpointDetails> {
  const serving: Serving =
    vm.kind === 'engine'
      ? { kind: 'engine', models: vm.models.map(modelId) }
      : { kind: 'service', service: serviceId(vm.service) };
  return {
    id: endpointId(vm.vm),
    vm: vmId(vm.vm),
    incarnation: incarnation(vm.incarnation),
    zone: zoneId(vm.zone),
    address: { host: vm.host, port: vm.port },
    isLeaving: vm.state === 'leaving',
    details: { serving, capacity: vm.capacity },
  };
}

export class EndpointTable extends MemberTable<
  EndpointId,
  EndpointDetails,
  EndpointMember
> {
  readonly #recorder: EventRecorder;
  #now: Instant | undefined;

  constructor(options: EndpointTableOptions) {
    super(options.times ?? DEFAULT_MEMBERSHIP_TIMES, options.departures);
    this.#recorder = options.recorder;
  }

  /**
   * Yields the endpoints that may get new requests: joining or live, and past
   * their flap damping hold.
   */
  *endpoints(): Generator<EndpointMember & Endpoint> {
    const now = this.#now;
    for (const row of this.table.rows()) {
      const isUsable = row.phase === 'joining' || row.phase === 'live';
      if (isUsable && now !== undefined && row.rampStart <= now) {
        yield row;
      }
    }
  }

  /**
   * Applies the platform's list of VMs; entries about routers are handled by
   * the router table.
   */
  onVmList(entries: readonly unknown[], now: Instant): void {
    this.#advance(now);
    const { vms, malformed, contradictory } = parseVmList(entries);
    this.counters.malformed += malformed;
    this.counters.contradictory += contradictory;
    const endpoints = vms.filter(vm => vm.kind !== 'router');
    this.applyList(endpoints.map(endpointReport), now);
  }

  /** Merges a peer's report about an endpoint. */
  applyPeerUpdate(vm: EndpointVm, now: Instant): void {
    this.#advance(now);
    this.applyReport(endpointReport(vm), 'peer', now);
  }

  /** Merges what this router observed of an endpoint itself. */
  onSignal(id: EndpointId, signal: EndpointSignal, now: Instant): void {
    this.#advance(now);
    const row = this.table.get(id);
    if (!row) {
      return;
    }
    switch (signal) {
      case 'answered':
        this.patch(id, { lastResponseAt: now });
        return;
      case 'refused-as-leaving':
        this.markLeaving(id, row.incarnation, 'refused-as-leaving', now);
        return;
      case 'connection-failed':
        this.patch(id, { lastResponseAt: undefined });
        return;
    }
  }

  override tick(now: Instant): void {
    this.#advance(now);
    super.tick(now);
  }

  protected override build(
    member: Member<EndpointId>,
    details: EndpointDetails,
  ): EndpointMember {
    return { ...member, ...details };
  }

  protected override refresh(
    row: EndpointMember,
    details: EndpointDetails,
  ): void {
    this.table.patch(row.id, details);
  }

  protected override onPhaseChange(row: EndpointMember): void {
    const links = { endpoint: row.id };
    const detail = { incarnation: row.incarnation, cause: row.cause ?? '' };
    switch (row.phase) {
      case 'joining':
      case 'live':
        this.#recorder.record('endpoint-joined', links, detail);
        return;
      case 'leaving':
        this.#recorder.record('endpoint-leaving', links, detail);
        return;
      case 'gone':
        this.#recorder.record('endpoint-gone', links, detail);
        return;
    }
  }

  /** Stores the latest time; an earlier one never moves it back. */
  #advance(now: Instant): void {
    if (this.#now === undefined || now > this.#now) {
      this.#now = now;
    }
  }
}
