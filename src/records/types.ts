/**
 * The internal form of each record kind. Records of every schema version are
 * converted to these types, which the rest of the code uses.
 */

/** The kinds of records that operators write. */
export enum RecordKind {
  Pipeline = "Pipeline",
  Rank = "Rank",
  Organisation = "Organisation",
  EndpointPool = "EndpointPool",
  Endpoint = "Endpoint",
  Evacuation = "Evacuation",
}

/** The protocol of the endpoints of a pool. */
export enum EndpointProtocol {
  /** A POST request with a JSON body and a JSON response. */
  Json = "json",
  /** OpenAI-style completions, streamed as server-sent events. */
  Completions = "completions",
}

/** Identifies a record within its kind; a name is unique only in its fleet. */
export interface RecordIdentity {
  fleet: string;
  name: string;
}

/** One stage of a pipeline. */
export interface Stage {
  name: string;
  /** The pool whose endpoints run this stage. */
  pool: RecordIdentity;
  /** Whether a call of this stage may be run more than once. */
  idempotent: boolean;
}

/** A sequence of stages with one deadline for the whole request. */
export interface Pipeline extends RecordIdentity {
  kind: RecordKind.Pipeline;
  stages: Stage[];
  deadline_ms: number;
}

/** A rank, which is a priority class of requests. */
export interface Rank extends RecordIdentity {
  kind: RecordKind.Rank;
  /** 0 is the most urgent. */
  priority: number;
  /** Minimum share of each queue's service during overload, 0 to 1. */
  guaranteed_share: number;
}

/** An organisation that sends requests, with its keys and limits. */
export interface Organisation extends RecordIdentity {
  kind: RecordKind.Organisation;
  /** SHA-256 digest of each bearer key, in lower-case hexadecimal. */
  key_hashes: string[];
  /** The allowance: the rate limit over all entry hosts. */
  requests_per_second: number;
  /** Requests that may exceed the rate at once. */
  burst_requests: number;
  /** Fleets whose pipelines it may call. */
  fleets: string[];
}

/** A pool of interchangeable endpoints. */
export interface EndpointPool extends RecordIdentity {
  kind: RecordKind.EndpointPool;
  protocol: EndpointProtocol;
  /** Path of the HTTP request, such as `/v1/completions`. */
  path: string;
  /** Model named in the body of completion requests. */
  model: string;
  /** Timeout of one attempt. */
  attempt_timeout_ms: number;
  /** Timeout without any data of the request or of the pending response. */
  progress_timeout_ms: number;
  /** Whether responses repeat the attempt's `x-request-id`. */
  echoes_request_id: boolean;
  /** Model that the pool's engines must serve; undefined for no placement. */
  desired_model: string | undefined;
  /** Whether status 429 or 503 guarantees that the call was not run. */
  refusal_means_not_run: boolean;
}

/** A server that runs calls of its pool. */
export interface Endpoint extends RecordIdentity {
  kind: RecordKind.Endpoint;
  pool: RecordIdentity;
  /** `ip:port`. */
  address: string;
  availability_zone: string;
  /** Number of calls that it handles well at a time. */
  slots: number;
  /** Whether it rejects orders with an outdated fencing token. */
  checks_fencing: boolean;
  /** Whether it is being removed; it then gets no new calls. */
  leaving: boolean;
}

/**
 * The evacuation of an availability zone: while the record exists, the endpoints
 * in the zone, of all fleets, get no calls.
 */
export interface ZoneEvacuation extends RecordIdentity {
  kind: RecordKind.Evacuation;
  zone: string;
}

/** Any record in its internal form. */
export type AnyRecord =
  | Pipeline
  | Rank
  | Organisation
  | EndpointPool
  | Endpoint
  | ZoneEvacuation;

/** Formats an identity as `fleet/name`, which is unique within a kind. */
export function formatIdentity({ fleet, name }: RecordIdentity): string {
  return `${fleet}/${name}`;
}

/** Returns the platform key of a record. */
export function recordKey(kind: RecordKind, identity: RecordIdentity): string {
  return `records/${kind}/${formatIdentity(identity)}`;
}
