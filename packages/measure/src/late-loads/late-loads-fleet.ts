/**
 * Simulates many routers that place the requests of one service while each sees the
 * others' requests late, and counts those that reach endpoints above the limit on uneven load.
 */
import { estimateUnseen } from '@sesamegrade/core/loads/unseen-requests';
import type { UnseenRequests } from '@sesamegrade/core/loads/unseen-requests';
import { Random } from '@sesamegrade/core/random/random';
import { endpointId } from '@sesamegrade/core/types/ids';
import type { EndpointId } from '@sesamegrade/core/types/ids';
import { instant } from '@sesamegrade/core/types/units';
import { EventQueue } from '../placement/event-queue';
import { LateView } from './late-view';
import type { Placed } from './late-view';
import { LimitWatch } from './limit-watch';

const MS_PER_SECOND = 1000;

export interface LateLoadsOptions {
  readonly seed: number;
  readonly routers: number;
  readonly endpoints: number;
  readonly requestsPerSecond: number;
  /** Time in ms after which a router sees what others send. */
  readonly lag: number;
  /** Simulated time in seconds. */
  readonly length: number;
  /** Routers whose requests the others never see. */
  readonly unheardRouters?: number;
}

export interface LateLoadsResult {
  readonly requests: number;
  /** Requests above the limit in the worst window, and the requests of that window. */
  readonly above: number;
  readonly windowRequests: number;
  readonly brokenWindows: number;
  readonly meanLoad: number;
}

export abstract class LateLoadsFleet {
  protected readonly options: LateLoadsOptions;
  protected readonly random: Random;
  protected readonly view: LateView;
  protected readonly ids: readonly EndpointId[];
  readonly #events = new EventQueue();
  readonly #watch = new LimitWatch();
  #requests = 0;
  #loadSum = 0;

  constructor(options: LateLoadsOptions) {
    this.options = options;
    this.random = new Random(options.seed);
    this.view = new LateView(options.routers, options.endpoints);
    this.ids = Array.from({ length: options.endpoints }, (_value, at) =>
      endpointId(`e${at}`),
    );
  }

  run(): LateLoadsResult {
    const end = this.options.length * MS_PER_SECOND;
    this.#scheduleArrival(0);
    for (
      let event = this.#events.take();
      event && event.at <= end;
      event = this.#events.take()
    ) {
      event.run();
    }
    const { above, requests } = this.#watch.worst;
    return {
      requests: this.#requests,
      above,
      windowRequests: requests,
      brokenWindows: this.#watch.brokenWindows,
      meanLoad: this.#loadSum / this.#requests / this.options.endpoints,
    };
  }

  /** Places a request of a router; returns the endpoint's index and the request's duration in ms. */
  protected abstract place(
    router: number,
    now: number,
  ): { readonly endpoint: number; readonly duration: number };

  /** What a router does not see, estimated as the routers do. */
  protected unseen(router: number): UnseenRequests {
    const { routers, requestsPerSecond, lag } = this.options;
    const othersRate = (requestsPerSecond * (routers - 1)) / routers;
    const seen = this.ids.reduce(
      (sum, _id, at) => sum + this.view.others(router, at),
      0,
    );
    return estimateUnseen((othersRate / MS_PER_SECOND) * lag, seen);
  }

  /** Runs something at a simulated time. */
  protected schedule(at: number, run: () => void): void {
    this.#events.add(at, run);
  }

  #scheduleArrival(now: number): void {
    const { requestsPerSecond, routers } = this.options;
    const at = now + this.random.exponential(MS_PER_SECOND / requestsPerSecond);
    this.#events.add(at, () => {
      this.#arrive(this.random.integer(0, routers - 1), at);
      this.#scheduleArrival(at);
    });
  }

  #arrive(router: number, now: number): void {
    const { view } = this;
    const { endpoint, duration } = this.place(router, now);
    const mean = view.total / this.options.endpoints;
    this.#watch.arrive(view.loads[endpoint] ?? 0, mean, instant(now));
    this.#requests += 1;
    this.#loadSum += view.total;
    this.#change({ router, endpoint }, 1, now);
    this.#events.add(now + duration, () => {
      this.#change({ router, endpoint }, -1, now + duration);
    });
  }

  #change(placed: Placed, by: 1 | -1, now: number): void {
    this.view.change(placed, by);
    if (placed.router < (this.options.unheardRouters ?? 0)) {
      return;
    }
    this.#events.add(now + this.options.lag, () => {
      this.view.show(placed, by);
    });
  }
}
