/**
 * The internal form of every record. Whatever schema version a record was
 * written in, the rest of the code sees only these types.
 */

/** The kinds of record that operators write. */
export enum RecordKind {
  Pipeline = "Pipeline",
  Rank = "Rank",
  Organisation = "Organisation",
  EndpointPool = "EndpointPool",
  Endpoint = "Endpoint",
}

/** The protocol that the endpoints of a pool speak. */
export enum EndpointProtocol {
  /** One JSON POST, one JSON answer. */
  Json = "json",
  /** OpenAI-style completions streamed as server-sent events. */
  Completions = "completions",
}

/** Identity within a kind; names may be equal in two fleets. */
export interface RecordIdentity {
  fleet: string;
  name: string;
}

/** One step of a pipeline. */
export interface Stage {
  name: string;
  /** The pool whose endpoints run this stage. */
  pool: RecordIdentity;
  /** Whether a call of this stage may be repeated. */
  idempotent: boolean;
}

/** A sequence of stages under one deadline. */
export interface Pipeline extends RecordIdentity {
  kind: RecordKind.Pipeline;
  stages: Stage[];
  deadline_ms: number;
}

/** A rank of work. */
export interface Rank extends RecordIdentity {
  kind: RecordKind.Rank;
  /** 0 is the most urgent. */
  priority: number;
  /** Share of every queue's service that this rank keeps in a flood, 0 to 1. */
  guaranteed_share: number;
}

/** A caller of the system and what it may use. */
export interface Organisation extends RecordIdentity {
  kind: RecordKind.Organisation;
  /** SHA-256 of each bearer key, in lower-case hexadecimal. */
  key_hashes: string[];
  /** Allowance over the whole system. */
  requests_per_second: number;
  burst_requests: number;
  /** Fleets whose pipelines it may call. */
  fleets: string[];
}

/** Endpoints that can stand in for one another. */
export interface EndpointPool extends RecordIdentity {
  kind: RecordKind.EndpointPool;
  protocol: EndpointProtocol;
  /** Path of the HTTP call, as in `/v1/completions`. */
  path: string;
  /** Model named in completion calls. */
  model: string;
  /** Longest time for one attempt. */
  attempt_timeout_ms: number;
  /** Longest silence on a connection that owes an answer. */
  progress_timeout_ms: number;
  /** Whether answers repeat the attempt's `x-request-id`. */
  echoes_request_id: boolean;
  /** Model that its engines are ordered to serve; none are if undefined. */
  desired_model: string | undefined;
  /** Whether status 429 or 503 proves that the call was not run. */
  refusal_means_not_run: boolean;
}

/** One back end. */
export interface Endpoint extends RecordIdentity {
  kind: RecordKind.Endpoint;
  pool: RecordIdentity;
  /** `ip:port`. */
  address: string;
  availability_zone: string;
  /** Calls that it runs well at a time. */
  slots: number;
  /** Whether it refuses orders with an old fencing number. */
  checks_fencing: boolean;
  /** A leaving endpoint gets no new calls. */
  leaving: boolean;
}

/** Any record in its internal form. */
export type AnyRecord =
  | Pipeline
  | Rank
  | Organisation
  | EndpointPool
  | Endpoint;

/** Text form of an identity, unique within a kind. */
export function formatIdentity({ fleet, name }: RecordIdentity): string {
  return `${fleet}/${name}`;
}

/** The platform key of a record. */
export function recordKey(kind: RecordKind, identity: RecordIdentity): string {
  return `records/${kind}/${formatIdentity(identity)}`;
}
