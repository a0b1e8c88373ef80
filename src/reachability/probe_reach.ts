/** Tries whether bytes come from an endpoint, on a connection of its own. */
import { ENDPOINT_UNAVAILABLE } from "../endpoints/endpoint_agents.ts";
import {
  discardResponse,
  ExchangeOutcome,
  type ExchangeResult,
  sendRequest,
} from "../endpoints/exchange.ts";
import {
  StrictKeepAliveAgent,
  type TranslateAddress,
} from "../endpoints/strict_keep_alive_agent.ts";
import type { ProtocolCodec } from "../forwarding/protocol_codec.ts";
import { ProbeOutcome } from "./endpoint_reach.ts";

/**
 * Tries an endpoint; never rejects. `mayBegin` is asked once the attempt has its
 * connection; if it returns false, nothing is sent, and the result is undefined.
 */
export type ProbeReach = (
  address: string,
  mayBegin?: () => boolean,
) => Promise<ProbeOutcome | undefined>;

/** A sound endpoint answers at once, as the request needs no slot. */
const PROBE_TIMEOUT_MS = 800;
const PROBE_OVER = "probe_over";
const REFUSED_REASONS: ReadonlySet<string> = new Set([
  "ECONNREFUSED",
  "ECONNRESET",
  "EPIPE",
  "closed",
]);

/** Creates a function that asks endpoints for their status. */
export function createProbeReach(
  codec: Pick<ProtocolCodec, "encodeStatusRequest">,
  translateAddress?: TranslateAddress,
): ProbeReach {
  return async (address, mayBegin) => {
    const agent = new StrictKeepAliveAgent(1, translateAddress);
    const expiry = new AbortController();
    const timer = setTimeout(() => expiry.abort(PROBE_OVER), PROBE_TIMEOUT_MS);
    try {
      const result = await sendRequest({
        address,
        agent,
        ...codec.encodeStatusRequest(address),
        signal: expiry.signal,
        ...(mayBegin && { mayBegin }),
      });
      return outcomeOf(result);
    } finally {
      clearTimeout(timer);
      agent.destroy();
    }
  };
}

function outcomeOf(result: ExchangeResult): ProbeOutcome | undefined {
  if (result.kind === ExchangeOutcome.ResponseReceived) {
    discardResponse(result.response);
    return ProbeOutcome.Reached;
  }
  if (result.reason === ENDPOINT_UNAVAILABLE) return undefined;
  if (REFUSED_REASONS.has(result.reason)) return ProbeOutcome.Refused;
  return result.kind === ExchangeOutcome.NotSent
    ? ProbeOutcome.NoConnection
    : ProbeOutcome.Silent;
}
