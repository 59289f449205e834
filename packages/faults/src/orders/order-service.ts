/** Simulated plain service whose calls must not run twice; it records every run. */
import type { OrderCall } from '@sesamegrade/core/orders/order';
import type { Random } from '@sesamegrade/core/random/random';
import type { RequestId } from '@sesamegrade/core/types/ids';
import type { Instant } from '@sesamegrade/core/types/units';
import { addTime, milliseconds, seconds } from '@sesamegrade/core/types/units';
import type { ExchangeFault } from '../simulation/fault';
import type { Schedule } from '../simulation/schedule';
import type { OrderRouter, OrderStep } from './order-router';

/** One run of a call. */
export interface ServiceExecution {
  readonly key: string;
  readonly body: string;
  readonly request: RequestId;
  /** Name of the router process that sent it. */
  readonly sender: string;
  readonly sentAt: Instant;
  /** Text of the response, different for each run. */
  readonly text: string;
}

/** A call that was sent to an endpoint. */
interface Delivery {
  readonly router: OrderRouter;
  readonly call: OrderCall;
  readonly endpoint: ServiceEndpoint;
  readonly sentAt: Instant;
}

interface ServiceEndpoint {
  downUntil: number;
  isLeaving: boolean;
}

type ReachStep = (
  step: OrderStep,
  router: OrderRouter,
) => ExchangeFault | undefined;

const ENDPOINTS = 3;
/** Time after which a router gives up waiting for an endpoint's response. */
const ENDPOINT_TIMEOUT = seconds(5);
/**
 * Delay of a stalled call's run and of a late response; longer than the
 * timeout.
 */
const LATE_DELAY = seconds(7);
const SLOW_RUN = seconds(3);
const CRASH_DOWNTIME = seconds(2);
const FLAPS = 6;

export class OrderService {
  readonly #schedule: Schedule;
  readonly #random: Random;
  readonly #reach: ReachStep;
  readonly #executions: ServiceExecution[] = [];
  readonly #endpoints: readonly ServiceEndpoint[] = Array.from(
    { length: ENDPOINTS },
    () => ({ downUntil: 0, isLeaving: false }),
  );

  /** The endpoint that is hidden from a router, by the router's name. */
  readonly #hiddenEndpoints = new Map<string, ServiceEndpoint>();

  constructor(schedule: Schedule, random: Random, reach: ReachStep) {
    this.#schedule = schedule;
    this.#random = random;
    this.#reach = reach;
  }

  get executions(): readonly ServiceExecution[] {
    return this.#executions;
  }

  /** Sends a call on behalf of a router to an endpoint. */
  post(
    router: OrderRouter,
    call: OrderCall,
    fault: ExchangeFault | undefined,
  ): void {
    const visible = this.#endpoints.filter(
      endpoint => this.#hiddenEndpoints.get(router.name) !== endpoint,
    );
    const endpoint = this.#random.pick(visible);
    const sentAt = this.#schedule.now;
    this.#transmit(() => {
      const refuses =
        this.#isDown(endpoint) ||
        endpoint.isLeaving ||
        fault === 'connection-refused';
      if (refuses) {
        router.onRefused(call.request);
      } else {
        this.#arrive({ router, call, endpoint, sentAt }, fault);
      }
    });
  }

  /**
   * Crashes every endpoint with its running calls; they are back after
   * `CRASH_DOWNTIME`.
   */
  crash(): void {
    for (const endpoint of this.#endpoints) {
      endpoint.downUntil = addTime(this.#schedule.now, CRASH_DOWNTIME);
    }
  }

  /** Hides an endpoint from one router; the others still use it. */
  hideFrom(router: OrderRouter): void {
    this.#hiddenEndpoints.set(router.name, this.#random.pick(this.#endpoints));
  }

  /**
   * Makes one endpoint that stays listed refuse calls and accept them again, in
   * turns.
   */
  flap(): void {
    const endpoint = this.#random.pick(this.#endpoints);
    for (let round = 0; round < FLAPS; round += 1) {
      this.#schedule.after(seconds(round), () => {
        endpoint.isLeaving = round % 2 === 0;
      });
    }
  }

  #arrive(delivery: Delivery, sendFault: ExchangeFault | undefined): void {
    const { router, call, endpoint } = delivery;
    const fault = this.#reach('run', router) ?? sendFault;
    const lose = () => {
      router.onResponseLost(call.request);
    };
    const neverRuns =
      this.#isDown(endpoint) ||
      (fault === 'reset-before-headers' && this.#random.fraction() < 0.5);
    if (neverRuns) {
      this.#transmit(lose);
    } else if (fault === 'stall') {
      this.#schedule.after(ENDPOINT_TIMEOUT, lose);
      this.#schedule.after(LATE_DELAY, () => {
        this.#execute(delivery);
      });
    } else {
      const wait = fault === 'slow' ? SLOW_RUN : milliseconds(0);
      this.#schedule.after(wait, () => {
        this.#executeAndRespond(delivery, fault);
      });
    }
  }

  #executeAndRespond(
    delivery: Delivery,
    fault: ExchangeFault | undefined,
  ): void {
    const text = this.#execute(delivery);
    const responseFault = this.#reach('answer', delivery.router) ?? fault;
    const isCrashed = this.#isDown(delivery.endpoint);
    this.#respond(
      delivery,
      text,
      isCrashed ? 'reset-mid-answer' : responseFault,
    );
  }

  #execute({ router, call, sentAt }: Delivery): string {
    const { key, fingerprint: body, request } = call;
    const text = `${key} ${body} ${this.#executions.length + 1}`;
    const sender = router.name;
    this.#executions.push({ key, body, request, sender, sentAt, text });
    return text;
  }

  #respond(
    { router, call }: Delivery,
    text: string,
    fault: ExchangeFault | undefined,
  ): void {
    const respond = () => {
      router.onResponse(call.request, text);
    };
    const lose = () => {
      router.onResponseLost(call.request);
    };
    switch (fault) {
      case 'reset-before-headers':
      case 'reset-mid-answer':
        this.#transmit(lose);
        return;
      case 'stall':
        this.#schedule.after(ENDPOINT_TIMEOUT, lose);
        return;
      case 'late-answer':
        this.#schedule.after(ENDPOINT_TIMEOUT, lose);
        this.#schedule.after(LATE_DELAY, respond);
        return;
      case 'duplicated-answer':
        this.#transmit(respond);
        this.#transmit(respond);
        return;
      case 'connection-refused':
      case 'slow':
      case undefined:
        this.#transmit(respond);
    }
  }

  #isDown(endpoint: ServiceEndpoint): boolean {
    return endpoint.downUntil > this.#schedule.now;
  }

  #transmit(action: () => void): void {
    this.#schedule.after(milliseconds(this.#random.integer(1, 5)), action);
  }
}
