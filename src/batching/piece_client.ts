/** Makes the calls of batched pieces over HTTP. */
import type { EndpointAgents } from "../endpoints/endpoint_agents.ts";
import {
  dropAnswer,
  exchange,
  ExchangeEnd,
  readWhole,
} from "../endpoints/exchange.ts";
import type { Dialect, OutgoingCall } from "../forwarding/dialect.ts";
import type { Logger } from "../logging/logger.ts";
import type { RouteEndpoint, RoutePool } from "../routes/types.ts";
import {
  type PieceCallResult,
  PieceCallResultKind,
  type PieceClient,
} from "./batcher.ts";
import type { PieceRequest } from "./types.ts";

const HTTP_OK = 200;
/** Longest answer to a call: handles only. */
const MAX_ANSWER_BYTES = 1_048_576;
/** Results at one endpoint that are given up within this time share a call. */
const FREE_BATCH_WINDOW_MS = 30;
/** Why a call is given up; a constant costs no stack trace. */
const CALL_EXPIRED = "call_expired";
/** How long giving up results may take, in milliseconds. */
const FREE_TIMEOUT_MS = 1_000;

/** What the calls need. */
export interface PieceClientOptions {
  dialect: Dialect;
  agents: EndpointAgents;
  pool: (name: string) => RoutePool | undefined;
  /** The pool of the endpoint at an address, for its connection limit. */
  poolAt: (address: string) => RoutePool | undefined;
  log: Logger;
}

/** Creates the caller. */
export function createPieceClient(options: PieceClientOptions): PieceClient {
  const gathered = new Map<string, string[]>();
  const free = (address: string, handles: string[]) => {
    const waiting = gathered.get(address);
    if (waiting !== undefined) return void waiting.push(...handles);
    gathered.set(address, [...handles]);
    setTimeout(() => {
      const all = gathered.get(address) ?? [];
      gathered.delete(address);
      void freeResults(address, all, options);
    }, FREE_BATCH_WINDOW_MS);
  };
  return {
    call: (endpoint, orders, timeout_ms) =>
      callForPieces(endpoint, orders, { ...options, timeout_ms }),
    free,
  };
}

async function callForPieces(
  endpoint: RouteEndpoint,
  orders: PieceRequest[],
  options: PieceClientOptions & { timeout_ms: number },
): Promise<PieceCallResult> {
  const { dialect, timeout_ms } = options;
  const answer = await callEndpoint({
    address: endpoint.address,
    call: dialect.pieceCall(endpoint, orders),
    max_connections: options.pool(endpoint.pool)?.max_connections ?? 1,
    timeout_ms,
  }, options);
  if (answer.kind === "failed") return failed(answer.reason);
  const marks = dialect.readAnswer(answer.status, answer.headers);
  if (marks.wrong_endpoint) return failed("wrong_endpoint");
  if (marks.not_run) return { kind: PieceCallResultKind.Full };
  if (answer.status !== HTTP_OK) return failed(`status_${answer.status}`);
  const answers = dialect.readPieces(answer.body, orders.length);
  if (answers === undefined) return failed("unreadable");
  return { kind: PieceCallResultKind.Answered, answers };
}

async function freeResults(
  address: string,
  handles: string[],
  options: PieceClientOptions,
): Promise<void> {
  const answer = await callEndpoint({
    address,
    call: options.dialect.freeCall(address, handles),
    max_connections: options.poolAt(address)?.max_connections ?? 1,
    timeout_ms: FREE_TIMEOUT_MS,
  }, options);
  if (answer.kind === "whole" && answer.status === HTTP_OK) return;
  options.log.warn({
    event: "free_failed",
    endpoint_address: address,
    results: handles.length,
    reason: answer.kind === "whole" ? answer.status : answer.reason,
  });
}

type WholeAnswer =
  | { kind: "whole"; status: number; headers: string[]; body: Buffer }
  | { kind: "failed"; reason: string };

async function callEndpoint(
  { address, call, max_connections, timeout_ms }: {
    address: string;
    call: OutgoingCall;
    max_connections: number;
    timeout_ms: number;
  },
  { agents }: PieceClientOptions,
): Promise<WholeAnswer> {
  const lost = (reason: string): WholeAnswer => {
    agents.distrust(address);
    return { kind: "failed", reason };
  };
  const expiry = new AbortController();
  const timer = setTimeout(() => expiry.abort(CALL_EXPIRED), timeout_ms);
  try {
    const result = await exchange({
      address,
      agent: agents.to(address, max_connections),
      ...call,
      signal: expiry.signal,
    });
    if (result.kind !== ExchangeEnd.Answered) return lost(result.reason);
    const { status, headers } = result.answer;
    const whole = await readWhole(result.answer, MAX_ANSWER_BYTES);
    if (whole !== undefined) {
      return { kind: "whole", status, headers, body: whole };
    }
    dropAnswer(result.answer);
    return lost("cut");
  } finally {
    clearTimeout(timer);
  }
}

function failed(reason: string): PieceCallResult {
  return { kind: PieceCallResultKind.Failed, reason };
}
