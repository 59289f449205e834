/** Counters and latency histograms, in the text that Prometheus reads. */
import { Counter, Gauge, Histogram, Registry } from 'prom-client';

import type { RouteId, ServiceId } from '@sesamegrade/core/types/ids';
import type { Milliseconds } from '@sesamegrade/core/types/units';

/** Upper ends in seconds: from a plain call's time to a stream's longest. */
const LATENCY_BUCKETS = [0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 15];
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
    help: 'Answers of the router itself by reason.',
    labelNames: ['reason'],
    registers: [this.#registry],
  });
  readonly #attempts = new Counter({
    name: 'sesamegrade_attempts_total',
    help: 'Attempts at endpoints by service and end.',
    labelNames: ['service', 'end'],
    registers: [this.#registry],
  });
  readonly #latency = new Histogram({
    name: 'sesamegrade_request_seconds',
    help: 'Time from a request to the end of its answer.',
    labelNames: ['outcome'],
    buckets: LATENCY_BUCKETS,
    registers: [this.#registry],
  });
  readonly #firstEvent = new Histogram({
    name: 'sesamegrade_first_event_seconds',
    help: 'Time from a request to the first event of its answer.',
    buckets: LATENCY_BUCKETS,
    registers: [this.#registry],
  });

  recordRequest(_route: RouteId, outcome: string, took: Milliseconds): void {
    this.#requests.inc({ outcome });
    this.#latency.observe({ outcome }, took / MS_PER_SECOND);
  }

  recordRefusal(reason: string): void {
    this.#refusals.inc({ reason });
  }

  recordAttempt(service: ServiceId, end: string): void {
    this.#attempts.inc({ service, end });
  }

  recordFirstEvent(_route: RouteId, took: Milliseconds): void {
    this.#firstEvent.observe(took / MS_PER_SECOND);
  }

  /** Registers a value that is read when the metrics are asked for. */
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

  text(): Promise<string> {
    return this.#registry.metrics();
  }
}
