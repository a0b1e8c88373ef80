/** Default values of optional settings. */

/** Limits on callers' requests and connections. */
export const DEFAULT_LIMITS = {
  body_bytes: 1_048_576,
  header_bytes: 16_384,
  header_timeout_ms: 5_000,
  body_timeout_ms: 10_000,
  connections: 2_000,
  deadline_ms: 600_000,
} as const;

/** Rate limits, per second and host, and timing of calls to the platform. */
export const DEFAULT_PLATFORM_CALLS = {
  reads_per_second: 40,
  writes_per_second: 20,
  timeout_ms: 1_000,
  watch_ms: 3_000,
} as const;

/** Timing of calls between entry hosts. */
export const DEFAULT_PEERS = {
  heartbeat_ms: 1_000,
  timeout_ms: 800,
  suspect_after_ms: 15_000,
} as const;

/**
 * How long a draining host waits for running requests, and how long it reports
 * that it is not ready before it stops accepting requests.
 */
export const DEFAULT_DRAIN = {
  timeout_ms: 30_000,
  readiness_delay_ms: 500,
} as const;

/** Storage of claims of idempotency keys that callers generate. */
export const DEFAULT_CLAIMS = {
  shards: 4,
  bucket_ms: 10_000,
  buckets: 360,
  commit_interval_ms: 20,
} as const;

/** Log level if the settings do not set one. */
export const DEFAULT_LOG_LEVEL = "info";

/** Prefix of metric names sent to StatsD. */
export const DEFAULT_METRICS_PREFIX = "sesamequay.";

/** Default settings of a gateway host. */
export const DEFAULT_GATEWAY_SETTINGS = {
  cores: 1,
  memory_mb: 350,
  watch_ms: 8_000,
  silence_ms: 3_000,
  readers: 8,
  repeats: { ratio: 0.1, slack: 10, window_s: 10 },
  cold_endpoints: { over: 1.5, slack: 5 },
  drain_timeout_s: 30,
  // Off, as each send in a ramp-up costs a message for its place.
  ramp_up_enabled: false,
  log_lines_per_s: 500,
} as const;
