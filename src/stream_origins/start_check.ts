/**
 * Asks an endpoint itself when it started. An entry may be behind: an endpoint that
 * starts again under its id may run other software before its entry says so.
 */
import { type BodyLimits, BytesReadKind } from "../bodies/read_bytes.ts";
import type { EndpointReport } from "../endpoint_reports/endpoint_report.ts";
import type { EndpointAgents } from "../endpoints/endpoint_agents.ts";
import {
  discardResponse,
  ExchangeOutcome,
  readFullBody,
} from "../endpoints/exchange.ts";
import type { ProtocolCodec } from "../forwarding/protocol_codec.ts";
import type { SendToEndpoint } from "../relaying/endpoint_sender.ts";
import {
  type RouteEndpoint,
  type RoutePool,
  UNKNOWN_START_MS,
} from "../routes/types.ts";

/** What an endpoint says of the incarnation that its entry names. */
export enum StartCheck {
  Same = "same",
  /** It has started again since. */
  Restarted = "restarted",
  /** It doesn't tell when it started. */
  Unknown = "unknown",
  /** It gives no whole answer in time; it may be starting again just now. */
  Silent = "silent",
}

/** Compares an endpoint's entry with what it says itself; never rejects. */
export type CheckStart = (endpoint: RouteEndpoint) => Promise<StartCheck>;

/** Dependencies of a start check. */
export interface StartCheckOptions {
  codec: ProtocolCodec;
  agents: EndpointAgents;
  send: SendToEndpoint;
  /** The pool of this name; undefined if it is not configured. */
  pool: (name: string) => RoutePool | undefined;
  responseLimits: BodyLimits;
  /** Called with what an endpoint says of itself in the response's headers. */
  onReport?: (endpoint: RouteEndpoint, report: EndpointReport) => void;
}

/** Short, as a stream waits for it. */
const TIMEOUT_MS = 600;
const MAX_STATUS_BYTES = 262_144;
const HTTP_OK = 200;
const NO_STATUS = Buffer.alloc(0);

/** Creates a start check that asks endpoints over HTTP. */
export function createStartCheck(options: StartCheckOptions): CheckStart {
  return async (endpoint) => {
    if (endpoint.born_ms === UNKNOWN_START_MS) return StartCheck.Unknown;
    const status = await askStatus(endpoint, options);
    if (status === undefined) return StartCheck.Silent;
    const born_ms = options.codec.decodeStartTime(status);
    if (born_ms === undefined) return StartCheck.Unknown;
    return born_ms === endpoint.born_ms
      ? StartCheck.Same
      : StartCheck.Restarted;
  };
}

/** What the endpoint says of itself, empty if that is nothing; undefined if late. */
async function askStatus(
  endpoint: RouteEndpoint,
  { codec, agents, send, pool, responseLimits, onReport }: StartCheckOptions,
): Promise<Buffer | undefined> {
  const { address, pool: name } = endpoint;
  const max_connections = pool(name)?.max_connections ?? 1;
  const signal = AbortSignal.timeout(TIMEOUT_MS);
  const result = await send(endpoint, () => ({
    address,
    agent: agents.agentFor(address, max_connections),
    ...codec.encodeStatusRequest(address),
    signal,
  }));
  if (result.kind !== ExchangeOutcome.ResponseReceived) return undefined;
  const { status, headers } = result.response;
  onReport?.(endpoint, codec.decodeResponse(status, headers).report);
  if (status !== HTTP_OK) {
    discardResponse(result.response);
    return NO_STATUS;
  }
  const read = await readFullBody(result.response, {
    max_bytes: MAX_STATUS_BYTES,
    limits: responseLimits,
  });
  if (read.kind === BytesReadKind.BrokenOff) return undefined;
  if (read.kind !== BytesReadKind.Complete) return NO_STATUS;
  read.held?.release();
  return read.bytes;
}
