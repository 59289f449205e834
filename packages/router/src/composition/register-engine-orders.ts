/** Registers the components that bring engines into their desired state. */
import { asClass, asFunction } from 'awilix';
import type { AwilixContainer } from 'awilix';

import { EngineGroup } from '@sesamegrade/core/engine-orders/engine-group';
import {
  DEFAULT_ENGINE_ORDER_SETTINGS,
  EngineReconciler,
} from '@sesamegrade/core/engine-orders/engine-reconciler';
import { LeaseManager } from '@sesamegrade/core/leases/lease-manager';
import { LeaseRules } from '@sesamegrade/core/leases/lease-rules';
import { leaseId, modelId } from '@sesamegrade/core/types/ids';
import type { ServiceSettings } from '@sesamegrade/settings/schema';
import { EngineCommandRunner } from '../engine-orders/engine-command-runner';
import type { Cradle } from './cradle';
import { processIdPrefix } from './process-id-prefix';

export function registerEngineOrders(container: AwilixContainer<Cradle>): void {
  container.register({
    leaseManager: asFunction(newLeaseManager).singleton(),
    engineGroups: asFunction(newEngineGroups).singleton(),
    engineCommandRunner: asClass(EngineCommandRunner).singleton(),
  });
}

function newLeaseManager(cradle: Cradle): LeaseManager {
  return new LeaseManager({
    router: cradle.routers.self.id,
    holder: processIdPrefix(cradle),
    random: cradle.random,
    recorder: cradle.events,
    rules: new LeaseRules(),
  });
}

/** Creates one group per service section of kind `engine`. */
function newEngineGroups(cradle: Cradle): EngineGroup[] {
  return Object.entries(cradle.settings.service)
    .filter(([, service]) => service.kind === 'engine')
    .map(([name, service]) => newEngineGroup(cradle, name, service));
}

function newEngineGroup(
  cradle: Cradle,
  name: string,
  service: ServiceSettings,
): EngineGroup {
  const { random, events, leaseManager, endpoints, taskAssignment, policy } =
    cradle;
  const lease = leaseId(`engines/${name}`);
  const reconciler = new EngineReconciler({
    lease,
    leaseManager,
    random,
    recorder: events,
    settings: {
      ...DEFAULT_ENGINE_ORDER_SETTINGS,
      enginesCheckFence: service.checks_fences,
    },
  });
  return new EngineGroup({
    lease,
    models: (service.models ?? []).map(modelId),
    enginesPerModel: service.engines_wanted,
    endpoints,
    tasks: taskAssignment,
    leaseManager,
    reconciler,
    policy,
  });
}
