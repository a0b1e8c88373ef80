/** Forwards a request to the host that minted its idempotency key. */
import { randomUUID } from "node:crypto";
import type { IncomingMessage, ServerResponse } from "node:http";
import { KeyKind } from "../claims/idempotency_key.ts";
import type { Logger } from "../logging/logger.ts";
import type { MemberTable } from "../membership/member_table.ts";
import { type Outcome, OutcomeKind, Reason } from "../pipelines/outcome.ts";
import { formatIdentity } from "../records/types.ts";
import { waitForResponseClose } from "../utils/wait_for_response_close.ts";
import { sendOutcome } from "./outcome_response.ts";
import { ProxyOutcome, proxyRequest } from "./proxy_request.ts";
import type { RequestBody, RequestTerms } from "./read_request.ts";
import type { RunningRequests } from "./running_requests.ts";

/** A caller's request and its pending response. */
export interface CallerExchange {
  request: IncomingMessage;
  response: ServerResponse;
}

/**
 * Forwards a request if another host minted its key. Resolves to true if the
 * caller got a response, false if this host must serve the request because no
 * other host has received it.
 */
export type ForwardToMinter = (
  exchange: CallerExchange,
  validated: { terms: RequestTerms; body: RequestBody },
) => Promise<boolean>;

/** Dependencies of forwarding. */
export interface ForwardToMinterOptions {
  members: MemberTable;
  running: RunningRequests;
  /** Incarnation id of this process. */
  incarnation: string;
  /** Name of this host, sent to the minter. */
  host: string;
  log: Logger;
}

/** Time beyond the request's deadline for the minter's response to arrive. */
const FORWARD_TIMEOUT_GRACE_MS = 200;
/** Retry delay for callers whose outcome the minter did not report. */
const UNDECIDED_RETRY_AFTER_MS = 1_000;

/** Creates the function that forwards requests to their keys' minters. */
export function createForwardToMinter(
  options: ForwardToMinterOptions,
): ForwardToMinter {
  const { members, incarnation, log } = options;
  return async (exchange, { terms, body }) => {
    const { key } = terms;
    if (key?.kind !== KeyKind.Minted || terms.forwarded) return false;
    if (key.incarnation === incarnation) return false;
    const minter = members.findByIncarnation(key.incarnation);
    if (minter === undefined) return false;
    const outcome = await proxyAndTrack(exchange, options, {
      address: minter.callers_address,
      body: JSON.stringify(body),
      timeout_ms: terms.remaining_ms + FORWARD_TIMEOUT_GRACE_MS,
    });
    log.info({
      event: "forward",
      organisation: formatIdentity(terms.organisation),
      minter: minter.address,
      result: outcome,
    });
    if (outcome === ProxyOutcome.ResponseLost) {
      sendOutcome(exchange.response, responseLostOutcome, randomUUID());
    }
    return outcome !== ProxyOutcome.NotSent;
  };
}

/**
 * Proxies a request and counts it as running here as well, so that a drain waits
 * for it.
 */
async function proxyAndTrack(
  { request, response }: CallerExchange,
  { running, host }: ForwardToMinterOptions,
  target: { address: string; body: string; timeout_ms: number },
): Promise<ProxyOutcome> {
  const runningRequest = running.start(target.timeout_ms);
  try {
    const outcome = await proxyRequest(
      { request, body: target.body },
      response,
      { ...target, forwardingHost: host },
    );
    if (outcome === ProxyOutcome.ResponseRelayed) {
      await waitForResponseClose(response);
    }
    return outcome;
  } finally {
    runningRequest.finish();
  }
}

const responseLostOutcome: Outcome = {
  kind: OutcomeKind.Unknown,
  reason: Reason.KeyUndecided,
  message: "The host that minted the key gave no answer",
  retry_after_ms: UNDECIDED_RETRY_AFTER_MS,
  stages: [],
};
