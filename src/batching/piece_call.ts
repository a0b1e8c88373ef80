/** Calls that have an endpoint compute pieces, and their results. */
import type { NamedRateLimit } from "../endpoint_reports/endpoint_report.ts";
import type { RouteEndpoint } from "../routes/types.ts";
import type { PieceRequest, PieceResponse } from "./types.ts";

/** The outcome of one call to an endpoint. */
export type PieceCallResult = PieceCallOutcome & {
  /** What the endpoint's response says; undefined without one. */
  rate_limit?: NamedRateLimit;
};

type PieceCallOutcome =
  | { kind: PieceCallResultKind.Answered; responses: PieceResponse[] }
  /** The endpoint rejected the call because it is at capacity. */
  | { kind: PieceCallResultKind.Full }
  /** No response in time. */
  | { kind: PieceCallResultKind.TimedOut }
  /** Its signal has aborted. */
  | { kind: PieceCallResultKind.Cancelled }
  | {
    kind: PieceCallResultKind.Failed;
    reason: string;
    /** Whether the endpoint broke off a call that it may have begun. */
    broken?: boolean;
    /** Whether the way to the endpoint failed, rather than the endpoint. */
    way_failed?: boolean;
  };

/** Discriminates `PieceCallResult`. */
export enum PieceCallResultKind {
  Answered = "answered",
  Full = "full",
  TimedOut = "timed_out",
  Cancelled = "cancelled",
  Failed = "failed",
}

/** Limits of one call to an endpoint. */
export interface PieceCallOptions {
  timeout_ms: number;
  /** Its abort closes the connection. */
  signal: AbortSignal;
}

/** Sends the batcher's calls to endpoints. */
export interface PieceClient {
  /** Has an endpoint compute pieces; a failure is reported in the result. */
  call(
    endpoint: RouteEndpoint,
    requests: PieceRequest[],
    options: PieceCallOptions,
  ): Promise<PieceCallResult>;
  /**
   * Frees results; resolves to whether the endpoint confirmed it. A failure is
   * only logged, since results expire anyway.
   */
  free(address: string, handles: string[]): Promise<boolean>;
}

/** The faults of a call's pieces with their counts, as `no_room:2`. */
export function describeFaults(result: PieceCallResult): string | undefined {
  if (result.kind !== PieceCallResultKind.Answered) return undefined;
  const faults = result.responses.flatMap((response) =>
    response.ok ? [] : [response.fault]
  );
  if (faults.length === 0) return undefined;
  const byFault = Map.groupBy(faults, (fault) => fault);
  return [...byFault].map(([fault, all]) => `${fault}:${all.length}`).join(",");
}
