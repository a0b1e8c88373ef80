/**
 * Routes: pipelines whose requests pass through as the caller wrote them. The
 * types are the product's own; what an operator's file or store calls them is
 * decoded before it gets here.
 */

/** What may be repeated of a request. */
export enum CallKind {
  /** Idempotent: may run more than once. */
  Safe = "safe",
  /** Non-idempotent: runs at most once. */
  Unsafe = "unsafe",
  /** Answered by a stream of events; non-idempotent unless resumable. */
  Streaming = "streaming",
}

/** A stage whose pieces are made before the request itself can run. */
export interface PieceStage {
  /** Name of the pool whose endpoints make the pieces. */
  pool: string;
  /** Indices of the stages whose results it needs. */
  after: number[];
  /** Approximate size of one result, in bytes. */
  result_bytes: number;
}

/** A pool and its share of a route's requests. */
export interface WeightedPool {
  pool: string;
  weight: number;
}

/** How requests with one host name and path prefix are served. */
export interface Route {
  name: string;
  hostname: string;
  path_prefix: string;
  kind: CallKind;
  /** Longest time that a request is kept waiting, in milliseconds. */
  timeout_ms: number;
  /** Time within which an answer is on time, in milliseconds. */
  target_latency_ms: number;
  /** Callers give up a stream whose first event takes longer. */
  first_event_within_ms: number | undefined;
  /** 0 is the most urgent. */
  priority: number;
  pools: WeightedPool[];
  /** Number of endpoints to which one request may be sent. */
  max_attempts: number;
  stages: PieceStage[];
  /** Whether requests need no key. */
  public: boolean;
  /** Whether a stream may be resumed at another endpoint. */
  resumable: boolean;
}

/** How the endpoints of a pool take pieces. Each figure is of one endpoint. */
export interface BatchLimits {
  concurrent_calls: number;
  pieces_per_call: number;
  /** Time of a call without its pieces, in milliseconds. */
  call_ms: number;
  /** Approximate time that each piece adds, in milliseconds. */
  piece_ms: number;
  /** Memory for results that were made and not yet freed, in bytes. */
  room_bytes: number;
  /** How long a result is kept if nobody frees it, in milliseconds. */
  retention_ms: number;
  /** Rate at which results are read, in bytes a millisecond. */
  link_bytes_per_ms: number;
}

/** Endpoints that can stand in for one another. */
export interface RoutePool {
  name: string;
  /** Connections that one endpoint accepts from all hosts together. */
  max_connections: number;
  /** Present if the pool makes pieces. */
  batch: BatchLimits | undefined;
  /** Whether its endpoints are model engines with a prompt cache. */
  model_engine: boolean;
}

/** An organisation as a route's key identifies it. */
export interface RouteOrganisation {
  name: string;
  api_keys: string[];
  /** Goes before the route's priority. */
  priority: number | undefined;
}

/** Bounds on what callers may send and how long they may stay idle. */
export interface CallerLimits {
  header_bytes: number;
  body_bytes: number;
  header_timeout_ms: number;
  idle_timeout_ms: number;
}

/** Everything that the operator decides, as of one version. */
export interface RouteConfiguration {
  /** Increases with every change. */
  version: number;
  routes: Route[];
  pools: Map<string, RoutePool>;
  /** Undefined if requests carry no keys. */
  organisations: RouteOrganisation[] | undefined;
  limits: CallerLimits;
}

/** Whether an endpoint takes new work. */
export enum RouteEndpointState {
  Ready = "ready",
  Leaving = "leaving",
}

/** One endpoint of a pool, in one incarnation. */
export interface RouteEndpoint {
  id: string;
  pool: string;
  /** `ip:port`. */
  address: string;
  availability_zone: string;
  /** Requests that it runs at a time. */
  slots: number;
  state: RouteEndpointState;
  /** Unix millisecond of its start; tells incarnations of one id apart. */
  born_ms: number;
}

/** A part of a prompt that may be cached. */
export interface PromptPart {
  id: string;
  tokens: number;
}
