/**
 * What the product asks of the adapter that speaks a deployment's protocol. The
 * adapter knows the names on the wire; everything on this side has the
 * product's own.
 */
import type { PieceRequest, PieceResponse } from "../batching/types.ts";
import type { RawHeaders } from "../endpoints/exchange.ts";
import type { PromptPart, RouteEndpoint } from "../routes/types.ts";
import type { ReportedLoad } from "../routing/observed_load.ts";

/** What a request says of itself. */
export interface RequestMarks {
  /** Names this attempt of the caller; new for each retry. */
  attempt_id: string;
  api_key: string | undefined;
  /** How long the caller waits, in milliseconds. */
  deadline_ms: number | undefined;
  /** Parts of the prompt in order; the last belongs to this request alone. */
  prompt: PromptPart[];
  /** Number of pieces of each stage. */
  pieces: number[];
  /** What stages without inputs make their pieces from. */
  piece_key: string;
  /** Event after which the caller resumes a stream. */
  last_event_id: string | undefined;
}

/** A request's marks, or what is wrong with them. */
export type ReadMarks =
  | { ok: true; marks: RequestMarks }
  | { ok: false; message: string };

/** What this host adds to a request that it sends on. */
export interface SendMarks {
  endpoint: RouteEndpoint;
  /** Time left, in milliseconds. */
  remaining_ms: number;
  organisation: string | undefined;
  /** Handles of the results that the request needs. */
  inputs: string[];
  /** 0 is the most urgent. */
  priority: number;
  last_event_id: string | undefined;
  /** Length of the body; undefined if there is none. */
  body_bytes: number | undefined;
}

/** What an answer says of itself. */
export interface AnswerMarks {
  attempt_id: string | undefined;
  /** Whether it bears an endpoint's signature. */
  signed: boolean;
  /** The endpoint says that the request has not run and will not. */
  not_run: boolean;
  /** Another incarnation has the address now. */
  wrong_endpoint: boolean;
  /** A result that the request needs is gone. */
  inputs_gone: boolean;
  /** Whether the body is a stream of events. */
  stream: boolean;
  load: ReportedLoad | undefined;
}

/** A call as it goes out. */
export interface OutgoingCall {
  method: string;
  target: string;
  headers: RawHeaders;
  body: Buffer;
}

/** See the module's comment. */
export interface Dialect {
  /** Path at which the balancer asks whether a host is ready. */
  readinessPath: string;
  readRequest(headers: RawHeaders): ReadMarks;
  /** The headers to send on, the caller's own included. */
  requestHeaders(callers: RawHeaders, marks: SendMarks): RawHeaders;
  readAnswer(status: number, headers: RawHeaders): AnswerMarks;
  /** The headers of an answer, less those of the connection. */
  answerHeaders(endpoints: RawHeaders): RawHeaders;
  /** A call that makes pieces. */
  pieceCall(endpoint: RouteEndpoint, orders: PieceRequest[]): OutgoingCall;
  /** The answers to such a call, or undefined if they can't be read. */
  readPieces(body: Buffer, orders: number): PieceResponse[] | undefined;
  /** A call that gives results up. */
  freeCall(address: string, handles: string[]): OutgoingCall;
}
