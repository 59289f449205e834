/** Registers the components that track the fleet: members, configuration, loads, health and peers. */
import { asClass, asFunction } from 'awilix';
import type { AwilixContainer } from 'awilix';

import { ConfigurationReplica } from '@sesamegrade/core/configuration/configuration-replica';
import { ConfigurationTopic } from '@sesamegrade/core/configuration/configuration-topic';
import { TaskAssignment } from '@sesamegrade/core/shared-tasks/task-assignment';
import {
  DEFAULT_GOSSIP_SETTINGS,
  GossipScheduler,
} from '@sesamegrade/core/gossip/gossip-scheduler';
import { DemandTable } from '@sesamegrade/core/limits/demand-table';
import { DemandTopic } from '@sesamegrade/core/limits/demand-topic';
import { LoadOwners } from '@sesamegrade/core/loads/load-owners';
import { LoadTopic } from '@sesamegrade/core/loads/load-topic';
import { LoadView } from '@sesamegrade/core/loads/load-view';
import { EndpointTable } from '@sesamegrade/core/membership/endpoint-table';
import { MembershipTopic } from '@sesamegrade/core/membership/membership-topic';
import { RouterTable } from '@sesamegrade/core/membership/router-table';
import { AveragedHealthDetector } from '@sesamegrade/core/outliers/averaged-health-detector';
import { DEFAULT_EJECTION } from '@sesamegrade/core/outliers/outlier-detector';
import { AffinityTable } from '@sesamegrade/core/placement/affinity-table';
import { SuspectRegistry } from '@sesamegrade/core/poison/suspect-registry';
import { SuspectTopic } from '@sesamegrade/core/poison/suspect-topic';
import { CrashObserver } from '@sesamegrade/core/policies/crash-observer';
import { HealthObserver } from '@sesamegrade/core/policies/health-observer';
import { incarnation, routerId, zoneId } from '@sesamegrade/core/types/ids';
import { bytes } from '@sesamegrade/core/types/units';
import { EndpointProber } from '../endpoints/endpoint-prober';
import { FleetDirectory } from '../fleet/fleet-directory';
import { VmListPoller } from '../fleet/vm-list-poller';
import { ControlMeter } from '../metrics/control-meter';
import { ConfigurationStore } from '../operators/configuration-store';
import { PeerNetwork } from '../peers/peer-network';
import type { Cradle } from './cradle';

/**
 * Fraction of the control budget (`[control] bytes_per_second`) that gossip may
 * send. The remainder is for gossip received from peers and for reads of the platform.
 */
const GOSSIP_SHARE = 0.44;

export function registerFleet(container: AwilixContainer<Cradle>): void {
  container.register({
    routers: asFunction(newRouterTable).singleton(),
    endpoints: asFunction(
      ({ events }: Cradle) => new EndpointTable({ recorder: events }),
    ).singleton(),
    taskAssignment: asFunction(
      ({ routers, timers }: Cradle) =>
        new TaskAssignment({ routers, now: () => timers.now() }),
    ).singleton(),
    configuration: asFunction(
      ({ random, events, routers }: Cradle) =>
        new ConfigurationReplica({
          random,
          recorder: events,
          routerCount: () => routers.peers().length + 1,
        }),
    ).singleton(),
    configurationStore: asClass(ConfigurationStore).singleton(),
    loads: asFunction(() => new LoadView()).singleton(),
    affinity: asFunction(() => new AffinityTable()).singleton(),
    demands: asFunction(() => new DemandTable()).singleton(),
    detector: asFunction(newDetector).singleton(),
    healthObserver: asFunction(
      ({ detector, events }: Cradle) =>
        new HealthObserver({ detector, recorder: events }),
    ).singleton(),
    suspectRegistry: asFunction(
      ({ routers }: Cradle) => new SuspectRegistry(routers.self.id),
    ).singleton(),
    crashObserver: asFunction(
      ({ suspectRegistry, endpoints, events }: Cradle) =>
        new CrashObserver({
          registry: suspectRegistry,
          endpoints,
          recorder: events,
        }),
    ).singleton(),
    prober: asClass(EndpointProber).singleton(),
    directory: asClass(FleetDirectory).singleton(),
    vmListPoller: asClass(VmListPoller).singleton(),
    loadTopic: asFunction(newLoadTopic).singleton(),
    membershipTopic: asClass(MembershipTopic).singleton(),
    configurationTopic: asFunction(
      ({ configuration }: Cradle) =>
        new ConfigurationTopic({ replica: configuration }),
    ).singleton(),
    scheduler: asFunction(newScheduler).singleton(),
    peers: asFunction(newPeerNetwork).singleton(),
    controlMeter: asClass(ControlMeter).singleton(),
  });
}

function newRouterTable({ settings, identity, events }: Cradle): RouterTable {
  const { id, zone, host, peer_port } = settings.router;
  return new RouterTable({
    self: {
      id: routerId(id),
      incarnation: incarnation(identity.incarnation),
      zone: zoneId(zone),
      address: { host, port: peer_port },
    },
    recorder: events,
  });
}

/** Reads the ejection cap at each use, because operators may change it at run time. */
function newDetector({ policy }: Cradle): AveragedHealthDetector {
  return new AveragedHealthDetector({
    ...DEFAULT_EJECTION,
    get maxEjectedFraction() {
      return policy.ejectionCap;
    },
  });
}

function newLoadTopic({ routers, loads }: Cradle): LoadTopic {
  return new LoadTopic({
    self: routers.self.id,
    view: loads,
    owners: new LoadOwners(),
    routers: () => [routers.self.id, ...routers.peers().map(({ id }) => id)],
  });
}

function newScheduler(cradle: Cradle): GossipScheduler {
  const { random, settings, demands, suspectRegistry } = cradle;
  const { loadTopic, membershipTopic, configurationTopic } = cradle;
  return new GossipScheduler({
    topics: [
      configurationTopic,
      membershipTopic,
      loadTopic,
      new SuspectTopic(suspectRegistry),
      new DemandTopic(demands),
    ],
    random,
    settings: {
      ...DEFAULT_GOSSIP_SETTINGS,
      bytesPerSecond: bytes(settings.control.bytes_per_second * GOSSIP_SHARE),
    },
  });
}

function newPeerNetwork(cradle: Cradle): PeerNetwork {
  return new PeerNetwork({
    secret: cradle.secrets.peerSecret,
    routers: cradle.routers,
    scheduler: cradle.scheduler,
    keeper: cradle.configuration,
    configurationTopic: cradle.configurationTopic,
    clock: cradle.clock,
    timers: cradle.timers,
    random: cradle.random,
    backgroundTasks: cradle.backgroundTasks,
  });
}
