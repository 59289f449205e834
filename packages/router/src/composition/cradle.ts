/** Everything that a router is made of, by the names under which the container knows it. */
import type { StatsD } from 'hot-shots';
import type { Logger } from 'winston';

import type { ConfigurationKeeper } from '@sesamegrade/core/configuration/configuration-keeper';
import type { ConfigurationTopic } from '@sesamegrade/core/configuration/configuration-topic';
import type { DutyRoster } from '@sesamegrade/core/duties/duty-roster';
import type { GossipScheduler } from '@sesamegrade/core/gossip/gossip-scheduler';
import type { DemandTable } from '@sesamegrade/core/limits/demand-table';
import type { LoadTopic } from '@sesamegrade/core/loads/load-topic';
import type { LoadView } from '@sesamegrade/core/loads/load-view';
import type { EndpointTable } from '@sesamegrade/core/membership/endpoint-table';
import type { MembershipTopic } from '@sesamegrade/core/membership/membership-topic';
import type { RouterTable } from '@sesamegrade/core/membership/router-table';
import type { OrderBook } from '@sesamegrade/core/orders/order-book';
import type { OutlierDetector } from '@sesamegrade/core/outliers/outlier-detector';
import type { LastPlaces } from '@sesamegrade/core/placement/last-places';
import type { SuspectRegistry } from '@sesamegrade/core/poison/suspect-registry';
import type { BoundedRetrying } from '@sesamegrade/core/policies/bounded-retrying';
import type { CrashWatch } from '@sesamegrade/core/policies/crash-watch';
import type { EndpointPlacing } from '@sesamegrade/core/policies/endpoint-placing';
import type { EndpointPools } from '@sesamegrade/core/policies/endpoint-pools';
import type { FleetPolicy } from '@sesamegrade/core/policies/fleet-policy';
import type { HealthWatch } from '@sesamegrade/core/policies/health-watch';
import type { PoolAdmission } from '@sesamegrade/core/policies/pool-admission';
import type { Random } from '@sesamegrade/core/random/random';
import type { RequestFlow } from '@sesamegrade/core/requests/request-flow';
import type { EventBuffer } from '@sesamegrade/core/timeline/event-buffer';
import type { HybridClock } from '@sesamegrade/core/timeline/hybrid-clock';
import type { Secrets } from '@sesamegrade/settings/load';
import type { Settings } from '@sesamegrade/settings/schema';
import type { CallerServer } from '../callers/caller-server';
import type { IntakeReader } from '../callers/intake';
import type { TeamKeys } from '../callers/team-keys';
import type { RequestDispatcher } from '../dispatch/request-dispatcher';
import type { AttemptRunner } from '../endpoints/attempt-runner';
import type { EndpointClient } from '../endpoints/endpoint-client';
import type { EndpointProber } from '../endpoints/endpoint-prober';
import type { StreamRelay } from '../endpoints/stream-relay';
import type { StreamTags } from '../endpoints/stream-tags';
import type { WholeRelay } from '../endpoints/whole-relay';
import type { FleetDirectory } from '../fleet/fleet-directory';
import type { VmListFeed } from '../fleet/vm-list-feed';
import type { ControlMeter } from '../metrics/control-meter';
import type { Counters } from '../metrics/counters';
import type { ConfigurationStore } from '../operators/configuration-store';
import type { OperatorServer } from '../operators/operator-server';
import type { StatusSource } from '../operators/status';
import type { StoreOrderDesk } from '../orders/store-order-desk';
import type { PeerNetwork } from '../peers/peer-network';
import type { Platform } from '../platform/platform';
import type { RouterReadiness } from '../process/router-readiness';
import type { SystemTimerService } from '../process/system-timer-service';

/** What differs between processes that have the same settings. */
export interface ProcessIdentity {
  /** Higher at every start of the same router. */
  readonly incarnation: number;
  readonly seed: number;
  /** Version of the program. */
  readonly program: string;
}

export interface Cradle {
  readonly settings: Settings;
  readonly secrets: Secrets;
  readonly identity: ProcessIdentity;
  readonly timers: SystemTimerService;
  readonly random: Random;
  readonly clock: HybridClock;
  readonly events: EventBuffer;
  readonly logger: Logger;
  readonly statsd: StatsD;
  readonly counters: Counters;
  readonly platform: Platform;
  readonly keeper: ConfigurationKeeper;
  readonly store: ConfigurationStore;
  readonly routers: RouterTable;
  readonly endpoints: EndpointTable;
  readonly duties: DutyRoster;
  readonly loads: LoadView;
  readonly places: LastPlaces;
  readonly detector: OutlierDetector;
  readonly healthWatch: HealthWatch;
  readonly registry: SuspectRegistry;
  readonly crashes: CrashWatch;
  readonly prober: EndpointProber;
  readonly pools: EndpointPools;
  readonly demands: DemandTable;
  readonly policy: FleetPolicy;
  readonly admission: PoolAdmission;
  readonly placing: EndpointPlacing;
  readonly retrying: BoundedRetrying;
  readonly flow: RequestFlow;
  readonly dispatcher: RequestDispatcher;
  readonly orderBook: OrderBook;
  readonly orderDesk: StoreOrderDesk;
  readonly client: EndpointClient;
  readonly tags: StreamTags;
  readonly directory: FleetDirectory;
  readonly streamRelay: StreamRelay;
  readonly wholeRelay: WholeRelay;
  readonly runner: AttemptRunner;
  readonly keys: TeamKeys;
  readonly intake: IntakeReader;
  readonly feed: VmListFeed;
  readonly loadTopic: LoadTopic;
  readonly membershipTopic: MembershipTopic;
  readonly configurationTopic: ConfigurationTopic;
  readonly scheduler: GossipScheduler;
  readonly peers: PeerNetwork;
  readonly controlMeter: ControlMeter;
  readonly readiness: RouterReadiness;
  readonly callerServer: CallerServer;
  readonly status: StatusSource;
  readonly operatorServer: OperatorServer;
}
