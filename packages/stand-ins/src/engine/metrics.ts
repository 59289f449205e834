/** Load metrics in the Prometheus text format, with the metric names of vLLM. */
import type { EngineLoad } from './engine-model';

/** Returns the body of the response to `GET /metrics`. */
export function metricsText(load: EngineLoad): string {
  const gauges = [
    ['vllm:num_requests_running', load.running],
    ['vllm:num_requests_waiting', load.waiting],
    ['vllm:kv_cache_usage_perc', load.cacheUsage],
  ] as const;
  return gauges
    .map(([name, value]) => `# TYPE ${name} gauge\n${name} ${value}\n`)
    .join('');
}
