/** Metrics of an entry host, sent to StatsD with hot-shots. */
import { StatsD } from "hot-shots";
import type { Address } from "../settings/settings.ts";

/** Tags of a metric, by name. */
export interface MetricTags {
  [name: string]: string;
}

/** Records counters, timings and gauges. */
export interface Metrics {
  /** Whether metrics are sent; if not, callers need not create tags. */
  readonly enabled: boolean;
  count(name: MetricName, tags?: MetricTags): void;
  timing(name: MetricName, value_ms: number, tags?: MetricTags): void;
  gauge(name: MetricName, value: number, tags?: MetricTags): void;
  close(): void;
}

/** The name of every metric; docs/METRICS.md describes them. */
export enum MetricName {
  Requests = "requests",
  RequestTime = "request_time",
  StageWait = "stage_wait",
  StageTime = "stage_time",
  StageCost = "stage_cost",
  Attempts = "attempts",
  ClaimCommits = "claim_commits",
  ConfigurationGeneration = "configuration_generation",
}

/** Creates the metrics; nothing is sent if `statsd` is undefined. */
export function createMetrics(
  statsd: { address: Address; prefix: string } | undefined,
  host: string,
): Metrics {
  const client = new StatsD({
    mock: statsd === undefined,
    host: statsd?.address.ip,
    port: statsd?.address.port,
    prefix: statsd?.prefix,
    globalTags: { host },
    // Size in bytes and age in milliseconds at which a buffer is sent.
    maxBufferSize: 1_400,
    bufferFlushInterval: 200,
    errorHandler: () => {},
  });
  const enabled = statsd !== undefined;
  return {
    enabled,
    count: (name, tags) => enabled && client.increment(name, 1, tags),
    timing: (name, value_ms, tags) =>
      enabled && client.timing(name, value_ms, tags),
    gauge: (name, value, tags) => enabled && client.gauge(name, value, tags),
    close: () => client.close(() => {}),
  };
}
