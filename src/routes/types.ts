/**
 * Routes, by which gateway hosts forward requests to endpoints unchanged, and
 * the pools, endpoints and organisations that belong to them. The formats of
 * operator files and object stores are decoded into these types.
 */

/** Whether a request may be sent again once an endpoint may have run it. */
export enum CallKind {
  /** May run more than once. */
  Idempotent = "safe",
  /** Runs at most once. */
  NonIdempotent = "unsafe",
  /** Answered by a stream of events; non-idempotent unless resumable. */
  Streaming = "streaming",
}

/** A stage whose pieces are computed before the request is forwarded. */
export interface PieceStage {
  /** Name of the pool whose endpoints compute the pieces. */
  pool: string;
  /** Indices of the stages whose results it reads. */
  after: number[];
  /** Approximate size of one result, in bytes. */
  result_bytes: number;
}

/** A pool and its weight in the split of a route's requests. */
export interface WeightedPool {
  pool: string;
  weight: number;
}

/** How requests with a certain host name and path prefix are served. */
export interface Route {
  name: string;
  hostname: string;
  path_prefix: string;
  kind: CallKind;
  /** Time after which a request fails, in milliseconds. */
  timeout_ms: number;
  /** Latency up to which a response is on time, in milliseconds. */
  target_latency_ms: number;
  /**
   * Time after which callers abandon a stream without a first event, in
   * milliseconds; undefined for no limit.
   */
  first_event_within_ms: number | undefined;
  /** 0 is the most urgent. */
  priority: number;
  pools: WeightedPool[];
  /** Number of attempts that may run a request, each at another endpoint. */
  max_attempts: number;
  /** Stages that run before the request is forwarded; empty if none. */
  stages: PieceStage[];
  /** Whether requests need no API key. */
  public: boolean;
  /** Whether a stream may be resumed at another endpoint. */
  resumable: boolean;
}

/** Batching limits of a pool. Each figure applies to one endpoint. */
export interface BatchLimits {
  /** Maximum number of calls at a time. */
  concurrent_calls: number;
  /** Maximum number of pieces in a call. */
  pieces_per_call: number;
  /** Fixed time of a call, in milliseconds. */
  call_ms: number;
  /** Approximate time that each piece adds to a call, in milliseconds. */
  piece_ms: number;
  /** Memory for results that are not yet freed, in bytes. */
  room_bytes: number;
  /** Time after which a result that is not freed expires, in milliseconds. */
  retention_ms: number;
  /** Rate at which results are read, in bytes per millisecond. */
  link_bytes_per_ms: number;
}

/** A pool of interchangeable endpoints. */
export interface RoutePool {
  name: string;
  /** Maximum connections to one endpoint, from all hosts together. */
  max_connections: number;
  /** Batching limits; undefined if the pool computes no pieces. */
  batch: BatchLimits | undefined;
  /** Whether its endpoints are model engines that cache prompt prefixes. */
  model_engine: boolean;
  /** Its cold endpoints; undefined if the configuration says nothing of them. */
  cold?: ColdLimits | undefined;
}

/** How long the endpoints of a pool are cold, and what they tolerate then. */
export interface ColdLimits {
  /** Time for which an endpoint is cold after its start, in milliseconds. */
  start_ms: number;
  /** Requests per second from all hosts together; 0 for no limit. */
  per_s: number;
}

/** An organisation, identified by the API key of a request. */
export interface RouteOrganisation {
  name: string;
  api_keys: string[];
  /** Overrides the route's priority; undefined to keep it. */
  priority: number | undefined;
}

/** Limits on the size of requests and on the time that callers take. */
export interface CallerLimits {
  /** Maximum size of the request headers. */
  header_bytes: number;
  /** Maximum size of the request body. */
  body_bytes: number;
  /** Time in which a caller must send the headers. */
  header_timeout_ms: number;
  /** Time for which a connection without a request stays open. */
  idle_timeout_ms: number;
}

/** One version of the operator's configuration. */
export interface RouteConfiguration {
  /** Increases with every change. */
  version: number;
  routes: Route[];
  pools: Map<string, RoutePool>;
  /** Undefined if API keys are not used. */
  organisations: RouteOrganisation[] | undefined;
  limits: CallerLimits;
}

/** Whether an endpoint accepts new work. */
export enum RouteEndpointState {
  Ready = "ready",
  Leaving = "leaving",
}

/** Start of an endpoint whose entry tells none. */
export const UNKNOWN_START_MS = 0;

/** One incarnation of an endpoint: its run from one start to the next. */
export interface RouteEndpoint {
  id: string;
  pool: string;
  /** `ip:port`. */
  address: string;
  availability_zone: string;
  /** Maximum concurrent requests. */
  slots: number;
  state: RouteEndpointState;
  /** Start time in Unix milliseconds; tells incarnations of one id apart. */
  born_ms: number;
  /** Version of its software; undefined if it names none. */
  software_version?: string | undefined;
  /**
   * Time for which it stayed cold when its entry was written, in milliseconds;
   * undefined if the entry names none.
   */
  cold_remaining_ms?: number | undefined;
}

/** A part of a prompt that an engine may cache. */
export interface PromptPart {
  id: string;
  tokens: number;
}
