/** Polls the platform's list of VMs and updates the fleet's tables from it. */
import type { LoadView } from '@sesamegrade/core/loads/load-view';
import type { EndpointTable } from '@sesamegrade/core/membership/endpoint-table';
import type { RouterTable } from '@sesamegrade/core/membership/router-table';
import type { OutlierDetector } from '@sesamegrade/core/outliers/outlier-detector';
import type { AffinityTable } from '@sesamegrade/core/placement/affinity-table';
import type { HealthObserver } from '@sesamegrade/core/policies/health-observer';
import type { SuspectRegistry } from '@sesamegrade/core/poison/suspect-registry';
import type { BackgroundTasks } from '@sesamegrade/core/tasks/background-tasks';
import type { TimerService } from '@sesamegrade/core/time/timer-service';
import { milliseconds } from '@sesamegrade/core/types/units';
import type { Instant } from '@sesamegrade/core/types/units';
import type { Settings } from '@sesamegrade/settings/schema';
import type { PlatformClient } from '../platform-client/platform-client';

export interface VmListPollerOptions {
  readonly platform: PlatformClient;
  readonly settings: Settings;
  readonly timers: TimerService;
  readonly backgroundTasks: BackgroundTasks;
  readonly endpoints: EndpointTable;
  readonly routers: RouterTable;
  readonly loads: LoadView;
  readonly affinity: AffinityTable;
  readonly detector: OutlierDetector;
  readonly healthObserver: HealthObserver;
  readonly suspectRegistry: SuspectRegistry;
}

/** Period of the health and suspect checks, whose cost grows with the running attempts. */
const HEALTH_CHECK_PERIOD = milliseconds(100);
/** Period of table maintenance, which visits every member of the fleet. */
const MAINTENANCE_PERIOD = milliseconds(1000);

export class VmListPoller {
  readonly #options: VmListPollerOptions;
  #hasReceivedList = false;
  #isReading = false;

  constructor(options: VmListPollerOptions) {
    this.#options = options;
  }

  /** Whether a list of VMs has been received since the start. */
  get hasReceivedList(): boolean {
    return this.#hasReceivedList;
  }

  start(): () => void {
    const { timers, settings, endpoints } = this.#options;
    endpoints.subscribe(({ id, phase }) => {
      if (phase === 'gone') {
        this.#options.affinity.removeEndpoint(id);
      }
    });
    const pollPeriod = milliseconds(settings.platform.list_poll_ms);
    const cancels = [
      timers.every(pollPeriod, () => {
        this.#startRead();
      }),
      timers.every(HEALTH_CHECK_PERIOD, now => {
        this.#options.healthObserver.tick(now);
        this.#options.suspectRegistry.tick(now);
      }),
      timers.every(MAINTENANCE_PERIOD, now => {
        this.#maintainTables(now);
      }),
    ];
    this.#startRead();
    return () => {
      for (const cancel of cancels) {
        cancel();
      }
    };
  }

  #startRead(): void {
    this.#options.backgroundTasks.run('vm-list', () => this.#read());
  }

  async #read(): Promise<void> {
    if (this.#isReading) {
      return;
    }
    this.#isReading = true;
    const response = await this.#options.platform.vms();
    this.#isReading = false;
    if (response.kind !== 'vms') {
      return;
    }
    const now = this.#options.timers.now();
    this.#options.routers.onVmList(response.vms, now);
    this.#options.endpoints.onVmList(response.vms, now);
    this.#hasReceivedList = true;
    this.#maintainTables(now);
  }

  #maintainTables(now: Instant): void {
    const { endpoints, routers, loads, detector, suspectRegistry } =
      this.#options;
    routers.tick(now);
    endpoints.tick(now);
    for (const row of endpoints.rows()) {
      if (row.phase === 'gone') {
        loads.removeEndpoint(row.id);
      } else {
        loads.track(row.id, row.capacity);
      }
    }
    const endpointIds = [...endpoints.endpoints()].map(row => row.id);
    detector.onEndpointsChanged(endpointIds, now);
    suspectRegistry.onRoutersChanged(routers.liveRouters(now), now);
    loads.expire(now);
  }
}
