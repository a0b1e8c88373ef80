/**
 * Interface to the wire protocol of a deployment. Header and field names on the
 * wire are known only to the implementation; the types here use this project's
 * names.
 */
import type { PieceRequest, PieceResponse } from "../batching/types.ts";
import type { EndpointReport } from "../endpoint_reports/endpoint_report.ts";
import type { RawHeaders } from "../endpoints/exchange.ts";
import type { PromptPart, RouteEndpoint } from "../routes/types.ts";

/** Metadata from the headers of a caller's request. */
export interface RequestMetadata {
  /** Identifies this attempt; the caller uses a new id for each retry. */
  attempt_id: string;
  api_key: string | undefined;
  /**
   * Milliseconds that the caller waits for a response; undefined if not given.
   */
  deadline_ms: number | undefined;
  /** Parts of the prompt in order; the last is unique to this request. */
  prompt: PromptPart[];
  /**
   * Number of pieces (units of work) of each stage, in the order of the route's
   * stages.
   */
  pieces: number[];
  /** Key of the source data that stages without input stages read. */
  piece_key: string;
  /** Id of the event after which the caller resumes a stream. */
  last_event_id: string | undefined;
  /**
   * Id of the attempt that brought the first event of the resumed stream;
   * undefined if the caller names none.
   */
  resumed_attempt_id: string | undefined;
}

/** The metadata of a request, or why its headers are malformed. */
export type RequestDecodeResult =
  | { ok: true; metadata: RequestMetadata }
  | { ok: false; message: string };

/** Metadata that this host adds to a forwarded request. */
export interface ForwardingMetadata {
  endpoint: RouteEndpoint;
  /** Milliseconds until the request's deadline. */
  remaining_ms: number;
  organisation: string | undefined;
  /** Handles of the stage results that the request reads. */
  inputs: string[];
  /** 0 is the most urgent. */
  priority: number;
  last_event_id: string | undefined;
  /** Length of the body; undefined if there is none. */
  body_bytes: number | undefined;
}

/** Metadata from the status and headers of an endpoint's response. */
export interface ResponseMetadata {
  attempt_id: string | undefined;
  /** Whether the response carries an endpoint's signature. */
  signed: boolean;
  /** The endpoint guarantees that the request has not run and will not run. */
  not_run: boolean;
  /** The address now belongs to another incarnation of the endpoint. */
  wrong_endpoint: boolean;
  /** A stage result that the request reads is no longer available. */
  inputs_gone: boolean;
  /** Whether the body is a stream of server-sent events. */
  stream: boolean;
  /** What the endpoint says of itself. */
  report: EndpointReport;
}

/** An HTTP request to an endpoint, ready to send. */
export interface EncodedRequest {
  method: string;
  target: string;
  headers: RawHeaders;
  body: Buffer;
}

/** Encodes and decodes the messages of a deployment's protocol; pure. */
export interface ProtocolCodec {
  /** Path at which the load balancer checks whether a host is ready. */
  readinessPath: string;
  decodeRequest(headers: RawHeaders): RequestDecodeResult;
  /** The headers of a forwarded request, including the caller's own. */
  encodeRequestHeaders(
    callerHeaders: RawHeaders,
    metadata: ForwardingMetadata,
  ): RawHeaders;
  decodeResponse(status: number, headers: RawHeaders): ResponseMetadata;
  /** The headers of a response without the hop-by-hop headers. */
  filterResponseHeaders(endpointHeaders: RawHeaders): RawHeaders;
  /** A request to compute a batch of pieces. */
  encodePieceBatch(
    endpoint: RouteEndpoint,
    pieces: PieceRequest[],
  ): EncodedRequest;
  /** The results of a batch in order; undefined if the body is malformed. */
  decodePieceResults(
    body: Buffer,
    pieceCount: number,
  ): PieceResponse[] | undefined;
  /** A request for what an endpoint says of itself. */
  encodeStatusRequest(address: string): EncodedRequest;
  /**
   * When the endpoint of a status started, as Unix time in milliseconds by its own
   * clock; undefined if the body doesn't tell.
   */
  decodeStartTime(body: Buffer): number | undefined;
  /** A request to free stage results. */
  encodeFreeRequest(address: string, handles: string[]): EncodedRequest;
}
