/**
 * Lets requests of callers pass before their first attempt, holds them while all slots of their
 * service are taken, or refuses them. Decides by what this router knows; sends no messages.
 */
import { ServiceAdmission } from '@sesamegrade/core/admission/service-admission';
import type {
  OverloadReason,
  ServiceRequest,
  ServiceView,
} from '@sesamegrade/core/admission/service-admission';
import type { EndpointDirectory } from '@sesamegrade/core/endpoints/endpoint-directory';
import type { RefusalHolds } from '@sesamegrade/core/endpoints/refusal-holds';
import type { LoadEstimate } from '@sesamegrade/core/engines/load-estimate';
import type { ServiceHealth } from '@sesamegrade/core/outliers/service-health';
import type { RouterDirectory } from '@sesamegrade/core/peers/router-directory';
import type { Random } from '@sesamegrade/core/random/random';
import type {
  Cancel,
  TimerService,
} from '@sesamegrade/core/time/timer-service';
import { requestId } from '@sesamegrade/core/types/ids';
import type {
  RequestId,
  RouteId,
  ServiceId,
} from '@sesamegrade/core/types/ids';
import { milliseconds } from '@sesamegrade/core/types/units';
import type { Instant, Milliseconds } from '@sesamegrade/core/types/units';
import type { GatewaySettings } from '@sesamegrade/settings/gateway-schema';
import type { GatewayMetrics } from '../metrics/gateway-metrics';

/** Time between the decisions on waiting requests; a timer runs only while there are any. */
const DECISION_PERIOD: Milliseconds = milliseconds(25);

export interface GateRequest extends Omit<ServiceRequest, 'request'> {
  readonly service: ServiceId;
}

export type AdmissionOutcome =
  | { readonly kind: 'admitted' }
  | { readonly kind: 'refused'; readonly retryAfter: Milliseconds }
  | { readonly kind: 'cancelled' };

/** A request that is refused or waits. */
export interface PendingAdmission {
  readonly outcome: Promise<AdmissionOutcome>;
  /** Ends the wait, as the caller left or the router stops. */
  readonly cancel: () => void;
}

export interface AdmissionGateOptions {
  readonly settings: Pick<GatewaySettings, 'admission'>;
  readonly endpointDirectory: Pick<EndpointDirectory, 'usable'>;
  readonly loads: Pick<LoadEstimate, 'total' | 'viewAge'>;
  readonly health: Pick<ServiceHealth, 'accepts'>;
  readonly holds: Pick<RefusalHolds, 'remaining'>;
  readonly routerDirectory: Pick<RouterDirectory, 'fleetSize'>;
  readonly timers: TimerService;
  readonly random: Random;
  readonly gatewayMetrics: Pick<
    GatewayMetrics,
    'recordAdmission' | 'registerGauge'
  >;
}

export class AdmissionGate {
  readonly #options: AdmissionGateOptions;
  readonly #admissions = new Map<ServiceId, ServiceAdmission>();
  readonly #waiting = new Map<RequestId, (outcome: AdmissionOutcome) => void>();
  #stopTimer: Cancel | undefined;
  #nextRequest = 0;

  constructor(options: AdmissionGateOptions) {
    this.#options = options;
    options.gatewayMetrics.registerGauge(
      'admissions_waiting',
      'Requests that wait for a slot of their service.',
      () => this.waiting,
    );
  }

  /** Number of requests that wait. */
  get waiting(): number {
    return this.#waiting.size;
  }

  /** Returns undefined if the request may be sent at once. */
  enter({ service, ...request }: GateRequest): PendingAdmission | undefined {
    const { settings, timers } = this.#options;
    if (!settings.admission.enabled) {
      return undefined;
    }
    const now = timers.now();
    this.#nextRequest += 1;
    const id = requestId(String(this.#nextRequest));
    const decision = this.#admission(service).decide(
      { ...request, request: id },
      this.#view(service, now),
      now,
    );
    switch (decision.kind) {
      case 'admit':
        this.#options.gatewayMetrics.recordAdmission('admitted');
        return undefined;
      case 'refuse':
        return {
          outcome: Promise.resolve(
            this.#refused(decision.reason, decision.retryAfter),
          ),
          cancel: () => undefined,
        };
      case 'wait':
        return this.#wait(service, id);
    }
  }

  /** Records how long an endpoint worked on a request. */
  recordDuration(
    service: ServiceId,
    route: RouteId,
    duration: Milliseconds,
  ): void {
    if (this.#options.settings.admission.enabled) {
      this.#admission(service).recordDuration(route, duration);
    }
  }

  #wait(service: ServiceId, id: RequestId): PendingAdmission {
    const { gatewayMetrics, timers } = this.#options;
    gatewayMetrics.recordAdmission('waiting');
    const outcome = new Promise<AdmissionOutcome>(resolve => {
      this.#waiting.set(id, resolve);
    });
    this.#stopTimer ??= timers.every(DECISION_PERIOD, now => {
      this.#decideWaiting(now);
    });
    return {
      outcome,
      cancel: () => {
        if (this.#waiting.has(id)) {
          gatewayMetrics.recordAdmission('cancelled');
          this.#admission(service).cancel(id);
          this.#end(id, { kind: 'cancelled' });
        }
      },
    };
  }

  #decideWaiting(now: Instant): void {
    for (const [service, admission] of this.#admissions) {
      if (admission.waiting === 0) {
        continue;
      }
      const decisions = admission.tick(this.#view(service, now), now);
      for (const { request, decision } of decisions) {
        if (decision.kind === 'admit') {
          this.#options.gatewayMetrics.recordAdmission('admitted-later');
          this.#end(request, { kind: 'admitted' });
        } else {
          this.#end(
            request,
            this.#refused(decision.reason, decision.retryAfter),
          );
        }
      }
    }
  }

  #refused(reason: OverloadReason, retryAfter: Milliseconds): AdmissionOutcome {
    this.#options.gatewayMetrics.recordAdmission(`refused-${reason}`);
    return { kind: 'refused', retryAfter };
  }

  #end(id: RequestId, outcome: AdmissionOutcome): void {
    this.#waiting.get(id)?.(outcome);
    this.#waiting.delete(id);
    if (this.#waiting.size === 0) {
      this.#stopTimer?.();
      this.#stopTimer = undefined;
    }
  }

  /** The endpoints that are chosen from while any is healthy. */
  #view(service: ServiceId, now: Instant): ServiceView {
    const { endpointDirectory, loads, health, holds, routerDirectory } =
      this.#options;
    let slots = 0;
    let requests = 0;
    for (const entry of endpointDirectory.usable(service)) {
      if (health.accepts(entry.id) && holds.remaining(entry.id, now) === 0) {
        slots += entry.slots;
        requests += loads.total(entry.id, now);
      }
    }
    return {
      slots,
      requests,
      routers: routerDirectory.fleetSize,
      age: loads.viewAge(now),
    };
  }

  #admission(service: ServiceId): ServiceAdmission {
    let admission = this.#admissions.get(service);
    if (!admission) {
      const { settings, random } = this.#options;
      const { max_wait_ms, max_waiting } = settings.admission;
      admission = new ServiceAdmission(random, {
        maxWait: max_wait_ms,
        maxWaiting: max_waiting,
      });
      this.#admissions.set(service, admission);
    }
    return admission;
  }
}
