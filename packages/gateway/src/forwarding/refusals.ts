/** Answers requests in the router's own name. */
import type { RouteTable } from '@sesamegrade/core/routes/route-table';
import type { Random } from '@sesamegrade/core/random/random';
import type { TimerService } from '@sesamegrade/core/time/timer-service';
import { milliseconds } from '@sesamegrade/core/types/units';
import type { Milliseconds } from '@sesamegrade/core/types/units';
import type { CallerExchange } from '../callers/caller-exchange';
import type {
  CallerProtocol,
  CallerRefusal,
  RequestHead,
} from '../callers/caller-protocol';
import type { DecisionLog } from '../logs/decision-log';
import type { GatewayMetrics } from '../metrics/gateway-metrics';

/** Largest share of a caller's remaining time that `Retry-After` may take. */
const RETRY_AFTER_SHARE = 1 / 3;
export const MIN_RETRY_AFTER: Milliseconds = milliseconds(40);
export const MAX_RETRY_AFTER: Milliseconds = milliseconds(500);

export interface RefusalsOptions {
  readonly callerProtocol: CallerProtocol;
  readonly routes: RouteTable;
  readonly timers: TimerService;
  readonly random: Random;
  readonly log: DecisionLog;
  readonly gatewayMetrics: GatewayMetrics;
}

export class Refusals {
  readonly #options: RefusalsOptions;

  constructor(options: RefusalsOptions) {
    this.#options = options;
  }

  /** Sends a refusal; `closes` ends the connection after it. */
  send(
    exchange: CallerExchange,
    head: RequestHead | undefined,
    refusal: CallerRefusal,
    closes = false,
  ): void {
    const { callerProtocol, log, gatewayMetrics, routes, timers } =
      this.#options;
    gatewayMetrics.recordRefusal(refusal.kind);
    log.write('refused', {
      request: head?.requestId,
      refusal,
      version: routes.version,
      age: routes.timeSinceConfirmed(timers.now()),
    });
    exchange.refuse(
      callerProtocol.refusalResponse(refusal, head?.requestId),
      closes,
    );
  }

  /** Other routers are free, so that the caller need not wait. */
  sendStopping(exchange: CallerExchange, head: RequestHead | undefined): void {
    this.send(exchange, head, {
      kind: 'not-run',
      cause: 'stopping',
      retryAfter: MIN_RETRY_AFTER,
    });
  }

  /** `retryAfter` is what the load of the service suggests; `remaining` the time of the request. */
  overloaded(retryAfter: Milliseconds, remaining: Milliseconds): CallerRefusal {
    return {
      kind: 'not-run',
      cause: 'overloaded',
      retryAfter: milliseconds(
        Math.min(
          Math.max(MIN_RETRY_AFTER, retryAfter),
          // `Retry-After` has whole milliseconds, and rounding it up would exceed the share.
          Math.floor(remaining * RETRY_AFTER_SHARE),
        ),
      ),
    };
  }

  /** `remaining` is the time of the request; `holdTime` that before which no endpoint takes it. */
  notRun(
    cause: string,
    remaining: Milliseconds,
    holdTime: Milliseconds = milliseconds(0),
  ): CallerRefusal {
    const { random } = this.#options;
    const maxDelay = Math.min(
      MAX_RETRY_AFTER,
      remaining * RETRY_AFTER_SHARE * 0.9,
    );
    const jittered = maxDelay * (0.4 + 0.6 * random.fraction());
    return {
      kind: 'not-run',
      cause,
      retryAfter: milliseconds(
        holdTime > 0
          ? holdTime + jittered
          : Math.max(MIN_RETRY_AFTER, jittered),
      ),
    };
  }
}
