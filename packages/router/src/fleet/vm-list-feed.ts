/** Reads the platform's list of VMs and keeps the fleet's tables by it. */
import type { LoadView } from '@sesamegrade/core/loads/load-view';
import type { EndpointTable } from '@sesamegrade/core/membership/endpoint-table';
import type { RouterTable } from '@sesamegrade/core/membership/router-table';
import type { OutlierDetector } from '@sesamegrade/core/outliers/outlier-detector';
import type { AffinityTable } from '@sesamegrade/core/placement/affinity-table';
import type { HealthObserver } from '@sesamegrade/core/policies/health-observer';
import type { SuspectRegistry } from '@sesamegrade/core/poison/suspect-registry';
import type { TimerService } from '@sesamegrade/core/time/timer-service';
import { milliseconds } from '@sesamegrade/core/types/units';
import type { Instant } from '@sesamegrade/core/types/units';
import type { Settings } from '@sesamegrade/settings/schema';
import type { Platform } from '../platform/platform';

export interface VmListFeedOptions {
  readonly platform: Platform;
  readonly settings: Settings;
  readonly timers: TimerService;
  readonly endpoints: EndpointTable;
  readonly routers: RouterTable;
  readonly loads: LoadView;
  readonly places: AffinityTable;
  readonly detector: OutlierDetector;
  readonly healthWatch: HealthObserver;
  readonly registry: SuspectRegistry;
}

/** Judges attempts and suspects; costs what is under way. */
const JUDGE_PERIOD = milliseconds(100);
/** Goes through every member of the fleet. */
const UPKEEP_PERIOD = milliseconds(1000);

export class VmListFeed {
  readonly #options: VmListFeedOptions;
  #received = false;
  #reading = false;

  constructor(options: VmListFeedOptions) {
    this.#options = options;
  }

  /** Whether a list has arrived since the start. */
  get received(): boolean {
    return this.#received;
  }

  start(): () => void {
    const { timers, settings, endpoints } = this.#options;
    endpoints.subscribe(({ id, phase }) => {
      if (phase === 'gone') {
        this.#options.places.removeEndpoint(id);
      }
    });
    const poll = milliseconds(settings.platform.list_poll_ms);
    const cancels = [
      timers.every(poll, () => {
        void this.#read();
      }),
      timers.every(JUDGE_PERIOD, now => {
        this.#options.healthWatch.tick(now);
        this.#options.registry.tick(now);
      }),
      timers.every(UPKEEP_PERIOD, now => {
        this.#keepUp(now);
      }),
    ];
    void this.#read();
    return () => {
      for (const cancel of cancels) {
        cancel();
      }
    };
  }

  async #read(): Promise<void> {
    if (this.#reading) {
      return;
    }
    this.#reading = true;
    const answer = await this.#options.platform.vms();
    this.#reading = false;
    if (answer.kind !== 'vms') {
      return;
    }
    const now = this.#options.timers.now();
    this.#options.routers.onVmList(answer.vms, now);
    this.#options.endpoints.onVmList(answer.vms, now);
    this.#received = true;
    this.#keepUp(now);
  }

  #keepUp(now: Instant): void {
    const { endpoints, routers, loads, detector, registry } = this.#options;
    routers.tick(now);
    endpoints.tick(now);
    for (const row of endpoints.rows()) {
      if (row.phase === 'gone') {
        loads.removeEndpoint(row.id);
      } else {
        loads.track(row.id, row.capacity);
      }
    }
    const works = [...endpoints.endpoints()].map(row => row.id);
    detector.onEndpointsChanged(works, now);
    registry.onRoutersChanged(routers.liveRouters(now), now);
    loads.expire(now);
  }
}
