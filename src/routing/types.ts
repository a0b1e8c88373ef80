/** How an endpoint is chosen for a stage; selected in the settings. */
export enum RoutingPolicy {
  /** The one of two random candidates that is expected to finish first. */
  ExpectedCompletion = "expected_completion",
  /** Each endpoint in turn; a baseline for comparison. */
  RoundRobin = "round_robin",
  /** The fewest calls in flight from this host; a baseline for comparison. */
  LeastConnections = "least_connections",
}
