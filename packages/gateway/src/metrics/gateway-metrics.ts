/** Counters, gauges and latency histograms in Prometheus text format. */
import { Counter, Gauge, Histogram, Registry } from 'prom-client';

import type { RouteId, ServiceId } from '@sesamegrade/core/types/ids';
import type { Milliseconds } from '@sesamegrade/core/types/units';

/** Upper bounds of the buckets, from a short request to the longest stream. */
const LATENCY_BUCKETS_SECONDS = [0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 15];
const MS_PER_SECOND = 1000;

export class GatewayMetrics {
  readonly #registry = new Registry();
  readonly #requests = new Counter({
    name: 'sesamegrade_requests_total',
    help: 'Requests by outcome.',
    labelNames: ['outcome'],
    registers: [this.#registry],
  });
  readonly #refusals = new Counter({
    name: 'sesamegrade_refusals_total',
    help: 'Responses of the router itself by reason.',
    labelNames: ['reason'],
    registers: [this.#registry],
  });
  readonly #attempts = new Counter({
    name: 'sesamegrade_attempts_total',
    help: 'Attempts at endpoints by service and result.',
    labelNames: ['service', 'end'],
    registers: [this.#registry],
  });
  readonly #permits = new Counter({
    name: 'sesamegrade_permits_total',
    help: 'Queries for permits to send to endpoints with a limit.',
    labelNames: ['origin', 'result'],
    registers: [this.#registry],
  });
  readonly #admissions = new Counter({
    name: 'sesamegrade_admissions_total',
    help: 'Requests by the decision of admission control.',
    labelNames: ['decision'],
    registers: [this.#registry],
  });
  readonly #limits = new Counter({
    name: 'sesamegrade_client_limits_total',
    help: 'Limits that clients have reached, by server and limit.',
    labelNames: ['server', 'limit'],
    registers: [this.#registry],
  });
  readonly #latency = new Histogram({
    name: 'sesamegrade_request_seconds',
    help: 'Time from a request to the end of its response.',
    labelNames: ['outcome'],
    buckets: LATENCY_BUCKETS_SECONDS,
    registers: [this.#registry],
  });
  readonly #firstEvent = new Histogram({
    name: 'sesamegrade_first_event_seconds',
    help: 'Time from a request to the first event of its response.',
    buckets: LATENCY_BUCKETS_SECONDS,
    registers: [this.#registry],
  });

  recordRequest(
    _route: RouteId,
    outcome: string,
    duration: Milliseconds,
  ): void {
    this.#requests.inc({ outcome });
    this.#latency.observe({ outcome }, duration / MS_PER_SECOND);
  }

  recordRefusal(reason: string): void {
    this.#refusals.inc({ reason });
  }

  recordAttempt(service: ServiceId, end: string): void {
    this.#attempts.inc({ service, end });
  }

  recordPermit(origin: 'issuer' | 'reserve', result: string): void {
    this.#permits.inc({ origin, result });
  }

  recordAdmission(decision: string): void {
    this.#admissions.inc({ decision });
  }

  recordLimit(server: string, limit: string): void {
    this.#limits.inc({ server, limit });
  }

  recordFirstEvent(_route: RouteId, duration: Milliseconds): void {
    this.#firstEvent.observe(duration / MS_PER_SECOND);
  }

  /** Registers a gauge whose value is read at each scrape. */
  registerGauge(name: string, help: string, read: () => number): void {
    new Gauge({
      name: `sesamegrade_${name}`,
      help,
      registers: [this.#registry],
      collect() {
        this.set(read());
      },
    });
  }

  /** Returns all metrics in Prometheus text format. */
  text(): Promise<string> {
    return this.#registry.metrics();
  }
}
