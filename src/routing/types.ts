/** Names of the routing policies; settings choose one. */

/** How an endpoint is chosen for a stage. */
export enum RoutingPolicy {
  /** Two random candidates, the one expected to complete first. */
  ExpectedCompletion = "expected_completion",
  /** Baseline: each endpoint in turn. */
  RoundRobin = "round_robin",
  /** Baseline: the fewest calls in flight from this host. */
  LeastConnections = "least_connections",
}
