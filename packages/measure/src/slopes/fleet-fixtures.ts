/** Tables and views of a router filled for a fleet size, for the measurement of slopes. */
import { LoadView } from '@sesamegrade/core/loads/load-view';
import { EndpointTable } from '@sesamegrade/core/membership/endpoint-table';
import { RouterTable } from '@sesamegrade/core/membership/router-table';
import { NoopEventRecorder } from '@sesamegrade/core/timeline/event';
import { incarnation, routerId, zoneId } from '@sesamegrade/core/types/ids';
import type { VmEntry } from '@sesamegrade/core/types/platform';
import { instant } from '@sesamegrade/core/types/units';

const ZONE_COUNT = 7;
export const MODEL_COUNT = 30;
const ENGINE_CAPACITY = 16;
export const NOW = instant(60_000);

/** Returns VM list entries of a number of engines, distributed over zones and models. */
export function engineEntries(count: number): VmEntry[] {
  return Array.from({ length: count }, (_, index) => ({
    vm: `engine-${index}`,
    kind: 'engine',
    models: [`model-${index % MODEL_COUNT}`],
    host: '10.0.0.1',
    port: 8000,
    zone: `zone-${index % ZONE_COUNT}`,
    state: 'live',
    incarnation: 1,
    capacity: ENGINE_CAPACITY,
  }));
}

export function routerEntries(count: number): VmEntry[] {
  return Array.from({ length: count }, (_, index) => ({
    vm: `router-${index}`,
    kind: 'router',
    host: '10.0.0.1',
    port: 8000,
    zone: `zone-${index % ZONE_COUNT}`,
    state: 'live',
    incarnation: 1,
    capacity: 0,
  }));
}

/** Returns a table of live endpoints. */
export function endpointTable(count: number): EndpointTable {
  const table = new EndpointTable({ recorder: new NoopEventRecorder() });
  table.onVmList(engineEntries(count), instant(0));
  table.tick(NOW);
  return table;
}

export function routerTable(count: number): RouterTable {
  const table = new RouterTable({
    self: {
      id: routerId('router-self'),
      incarnation: incarnation(1),
      zone: zoneId('zone-0'),
      address: { host: '10.0.0.1', port: 8000 },
    },
    recorder: new NoopEventRecorder(),
  });
  table.onVmList(routerEntries(count), instant(0));
  table.tick(NOW);
  return table;
}

/** Returns a load view that tracks every endpoint of a table. */
export function loadView(table: EndpointTable): LoadView {
  const view = new LoadView();
  for (const { id, capacity } of table.rows()) {
    view.track(id, capacity);
  }
  return view;
}
