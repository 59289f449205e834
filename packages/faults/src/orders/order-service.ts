/** A plain service whose calls may not be repeated, as a fake that counts its runs. */
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
  /** The answer's text, different at each run. */
  readonly text: string;
}

/** A call under way to an endpoint. */
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

type Reach = (
  step: OrderStep,
  router: OrderRouter,
) => ExchangeFault | undefined;

const ENDPOINTS = 3;
/** Longest wait of a router for an endpoint's answer. */
const ENDPOINT_TIMEOUT = seconds(5);
/** When a stalled call runs, or a late answer arrives, after the timeout. */
const AFTER_TIMEOUT = seconds(7);
const SLOW_RUN = seconds(3);
const CRASH_LENGTH = seconds(2);
const FLAPS = 6;

export class OrderService {
  readonly #schedule: Schedule;
  readonly #random: Random;
  readonly #reach: Reach;
  readonly #executions: ServiceExecution[] = [];
  readonly #endpoints: readonly ServiceEndpoint[] = Array.from(
    { length: ENDPOINTS },
    () => ({ downUntil: 0, isLeaving: false }),
  );

  /** Endpoint that a router, by its name, does not see. */
  readonly #hidden = new Map<string, ServiceEndpoint>();

  constructor(schedule: Schedule, random: Random, reach: Reach) {
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
    const seen = this.#endpoints.filter(
      endpoint => this.#hidden.get(router.name) !== endpoint,
    );
    const endpoint = this.#random.pick(seen);
    const sentAt = this.#schedule.now;
    this.#travel(() => {
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

  /** Every endpoint crashes with what it runs, and is back after a while. */
  crash(): void {
    for (const endpoint of this.#endpoints) {
      endpoint.downUntil = addTime(this.#schedule.now, CRASH_LENGTH);
    }
  }

  /** One router does not see an endpoint that the others use. */
  hideFrom(router: OrderRouter): void {
    this.#hidden.set(router.name, this.#random.pick(this.#endpoints));
  }

  /** One endpoint refuses while it is still listed, then comes and goes. */
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
      this.#travel(lose);
    } else if (fault === 'stall') {
      this.#schedule.after(ENDPOINT_TIMEOUT, lose);
      this.#schedule.after(AFTER_TIMEOUT, () => {
        this.#execute(delivery);
      });
    } else {
      const wait = fault === 'slow' ? SLOW_RUN : milliseconds(0);
      this.#schedule.after(wait, () => {
        this.#runAndAnswer(delivery, fault);
      });
    }
  }

  #runAndAnswer(delivery: Delivery, fault: ExchangeFault | undefined): void {
    const text = this.#execute(delivery);
    const last = this.#reach('answer', delivery.router) ?? fault;
    const isCut = this.#isDown(delivery.endpoint);
    this.#answer(delivery, text, isCut ? 'reset-mid-answer' : last);
  }

  #execute({ router, call, sentAt }: Delivery): string {
    const { key, fingerprint: body, request } = call;
    const text = `${key} ${body} ${this.#executions.length + 1}`;
    const sender = router.name;
    this.#executions.push({ key, body, request, sender, sentAt, text });
    return text;
  }

  #answer(
    { router, call }: Delivery,
    text: string,
    fault: ExchangeFault | undefined,
  ): void {
    const finish = () => {
      router.onResponse(call.request, text);
    };
    const lose = () => {
      router.onResponseLost(call.request);
    };
    switch (fault) {
      case 'reset-before-headers':
      case 'reset-mid-answer':
        this.#travel(lose);
        return;
      case 'stall':
        this.#schedule.after(ENDPOINT_TIMEOUT, lose);
        return;
      case 'late-answer':
        this.#schedule.after(ENDPOINT_TIMEOUT, lose);
        this.#schedule.after(AFTER_TIMEOUT, finish);
        return;
      case 'duplicated-answer':
        this.#travel(finish);
        this.#travel(finish);
        return;
      case 'connection-refused':
      case 'slow':
      case undefined:
        this.#travel(finish);
    }
  }

  #isDown(endpoint: ServiceEndpoint): boolean {
    return endpoint.downUntil > this.#schedule.now;
  }

  #travel(action: () => void): void {
    this.#schedule.after(milliseconds(this.#random.integer(1, 5)), action);
  }
}
