import { expect } from 'chai';

import { EndpointLimits } from '../endpoint-limits/endpoint-limits';
import { EndpointDirectory } from '../endpoints/endpoint-directory';
import type { EndpointEntry } from '../endpoints/endpoint-entry';
import { RefusalHolds } from '../endpoints/refusal-holds';
import { LoadEstimate } from '../engines/load-estimate';
import { PartLocations } from '../engines/part-locations';
import { ServiceHealth } from '../outliers/service-health';
import { FleetRetryBudget } from '../retries/fleet-retry-budget';
import { endpointId, serviceId, zoneId } from '../types/ids';
import { instant, milliseconds, seconds } from '../types/units';
import { FleetState } from './fleet-state';

const now = instant(0);

const entry: EndpointEntry = {
  id: endpointId('e'),
  service: serviceId('s'),
  address: { host: '10.0.0.1', port: 1 },
  zone: zoneId('z'),
  slots: 24,
  leaving: false,
  warmUp: milliseconds(0),
  startedAt: undefined,
  softwareVersion: undefined,
};

const statement = (status: number) => ({
  status,
  isLeaving: false,
  retryAfter: undefined,
  load: { running: 7, waiting: 2, slowdown: 2.5 },
  requestLimit: { kind: 'none' as const },
  rejectionLimit: { kind: 'none' as const },
});

function open() {
  const loads = new LoadEstimate();
  const state = new FleetState({
    loads,
    locations: new PartLocations(),
    health: new ServiceHealth(),
    holds: new RefusalHolds(),
    endpointLimits: new EndpointLimits(),
    endpointDirectory: new EndpointDirectory(),
    retryBudget: new FleetRetryBudget({
      limits: () => ({ ratio: 0.1, slack: 10, window: seconds(10) }),
      routers: () => 1,
    }),
    now: () => now,
  });
  return { loads, state };
}

describe('FleetState', () => {
  // Guards against a report that is only used when its stream ends, some seconds later.
  it('applies the load and the speed in the head of a response', () => {
    const { loads, state } = open();
    state.onAttemptStarted(entry.id, undefined);
    state.onStatement(entry, statement(200), now);
    const view = loads.view(entry.id, now);
    expect(view).to.include({ own: 1, others: 8 });
    expect(view.speed).to.be.below(1);
  });

  // Guards against the load of another instance that answers at the address of an endpoint.
  it('ignores the load in a response that names another instance', () => {
    const { loads, state } = open();
    state.onStatement(entry, statement(421), now);
    expect(loads.view(entry.id, now)).to.include({ own: 0, others: 0 });
  });
});
