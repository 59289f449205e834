/** Looks up endpoints in the fleet's tables and passes on the load that they report. */
import type { LoadView } from '@sesamegrade/core/loads/load-view';
import type { EndpointTable } from '@sesamegrade/core/membership/endpoint-table';
import type { TimerService } from '@sesamegrade/core/time/timer-service';
import type { Address } from '@sesamegrade/core/types/endpoint';
import type { EndpointId } from '@sesamegrade/core/types/ids';
import type { Settings } from '@sesamegrade/settings/schema';
import { EndpointLookup } from '../endpoints/attempt-runner';
import type { HeaderLoad } from '../endpoints/engine-headers';

export interface FleetDirectoryOptions {
  readonly endpoints: EndpointTable;
  readonly loads: LoadView;
  readonly timers: TimerService;
  readonly settings: Settings;
}

export class FleetDirectory extends EndpointLookup {
  readonly #endpoints: EndpointTable;
  readonly #loads: LoadView;
  readonly #timers: TimerService;
  readonly #settings: Settings;

  constructor(options: FleetDirectoryOptions) {
    super();
    this.#endpoints = options.endpoints;
    this.#loads = options.loads;
    this.#timers = options.timers;
    this.#settings = options.settings;
  }

  override addressOf(endpoint: EndpointId): Address | undefined {
    return this.#endpoints.get(endpoint)?.address;
  }

  override notRunStatuses(endpoint: EndpointId): readonly number[] {
    const serving = this.#endpoints.get(endpoint)?.serving;
    if (serving?.kind !== 'service') {
      return [];
    }
    return this.#settings.service[serving.service]?.not_run_statuses ?? [];
  }

  override onReportedLoad(endpoint: EndpointId, load: HeaderLoad): void {
    const now = this.#timers.now();
    this.#loads.applyReport(endpoint, { ...load, observedAt: now }, now);
  }
}
