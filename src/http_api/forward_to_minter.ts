/** Decides whether a request is for the host that minted its key. */
import { randomUUID } from "node:crypto";
import type { IncomingMessage, ServerResponse } from "node:http";
import { KeyKind } from "../claims/idempotency_key.ts";
import type { Logger } from "../logging/logger.ts";
import type { MemberTable } from "../membership/member_table.ts";
import { type Outcome, OutcomeKind, Reason } from "../pipelines/outcome.ts";
import { identityText } from "../records/types.ts";
import { responseClosed } from "../utils/response_closed.ts";
import { sendOutcome } from "./outcome_response.ts";
import { ProxyOutcome, proxyRequest } from "./proxy_request.ts";
import type { RequestBody, RequestParameters } from "./read_request.ts";
import type { RunningRequests } from "./running_requests.ts";

/** A caller's request and the answer to it. */
export interface CallerExchange {
  request: IncomingMessage;
  response: ServerResponse;
}

/** Passes a request on; true if it has been answered. */
export type ForwardToMinter = (
  exchange: CallerExchange,
  accepted: { terms: RequestParameters; body: RequestBody },
) => Promise<boolean>;

/** What passing on needs. */
export interface ForwardToMinterOptions {
  members: MemberTable;
  running: RunningRequests;
  /** This process's own incarnation. */
  incarnation: string;
  host: string;
  log: Logger;
}

const FORWARD_TIMEOUT_GRACE_MS = 200;
const UNDECIDED_RETRY_AFTER_MS = 1_000;

/** Creates the function that passes requests on. */
export function createForwardToMinter(
  options: ForwardToMinterOptions,
): ForwardToMinter {
  const { members, incarnation, log } = options;
  return async (exchange, { terms, body }) => {
    const { key } = terms;
    if (key?.kind !== KeyKind.Minted || terms.forwarded) return false;
    if (key.incarnation === incarnation) return false;
    const minter = members.byIncarnation(key.incarnation);
    if (minter === undefined) return false;
    const outcome = await proxyWhileRegistered(exchange, options, {
      address: minter.callers_address,
      body: JSON.stringify(body),
      timeout_ms: terms.remaining_ms + FORWARD_TIMEOUT_GRACE_MS,
    });
    log.info({
      event: "forward",
      organisation: identityText(terms.organisation),
      minter: minter.address,
      result: outcome,
    });
    if (outcome === ProxyOutcome.ResponseLost) {
      sendOutcome(exchange.response, responseLostOutcome, randomUUID());
    }
    return outcome !== ProxyOutcome.NotSent;
  };
}

/** A forwarded request runs here too, so that a drain waits for it. */
async function proxyWhileRegistered(
  { request, response }: CallerExchange,
  { running, host }: ForwardToMinterOptions,
  target: { address: string; body: string; timeout_ms: number },
): Promise<ProxyOutcome> {
  const entry = running.start(target.timeout_ms);
  try {
    const outcome = await proxyRequest(
      { request, body: target.body },
      response,
      { ...target, forwardingHost: host },
    );
    if (outcome === ProxyOutcome.Answered) await responseClosed(response);
    return outcome;
  } finally {
    entry.finish();
  }
}

const responseLostOutcome: Outcome = {
  kind: OutcomeKind.Unknown,
  reason: Reason.KeyUndecided,
  message: "The host that minted the key gave no answer",
  retry_after_ms: UNDECIDED_RETRY_AFTER_MS,
  stages: [],
};
