/** Decides whether a request is for the host that minted its key. */
import { randomUUID } from "node:crypto";
import type { IncomingMessage, ServerResponse } from "node:http";
import { KeyKind } from "../claims/idempotency_key.ts";
import type { Logger } from "../logging/logger.ts";
import type { MemberTable } from "../membership/member_table.ts";
import { type Outcome, OutcomeKind, Reason } from "../pipelines/outcome.ts";
import { formatIdentity } from "../records/types.ts";
import { waitForResponseClose } from "../utils/wait_for_response_close.ts";
import { sendOutcome } from "./answer.ts";
import { ForwardEnd, forwardRequest } from "./forward.ts";
import type { RequestBody, RequestTerms } from "./read_request.ts";
import type { RunningRequests } from "./running_requests.ts";

/** A caller's request and the answer to it. */
export interface Exchange {
  request: IncomingMessage;
  response: ServerResponse;
}

/** Passes a request on; true if it has been answered. */
export type PassOn = (
  exchange: Exchange,
  accepted: { terms: RequestTerms; body: RequestBody },
) => Promise<boolean>;

/** What passing on needs. */
export interface PassOnOptions {
  members: MemberTable;
  running: RunningRequests;
  /** This process's own incarnation. */
  incarnation: string;
  host: string;
  log: Logger;
}

const FORWARD_GRACE_MS = 200;
const RETRY_ELSEWHERE_MS = 1_000;

/** Creates the function that passes requests on. */
export function createPassOn(options: PassOnOptions): PassOn {
  const { members, incarnation, log } = options;
  return async (exchange, { terms, body }) => {
    const { key } = terms;
    if (key?.kind !== KeyKind.Minted || terms.forwarded) return false;
    if (key.incarnation === incarnation) return false;
    const minter = members.findByIncarnation(key.incarnation);
    if (minter === undefined) return false;
    const end = await forwardWhileRunning(exchange, options, {
      address: minter.callers_address,
      body: JSON.stringify(body),
      timeout_ms: terms.remaining_ms + FORWARD_GRACE_MS,
    });
    log.info({
      event: "forward",
      organisation: formatIdentity(terms.organisation),
      minter: minter.address,
      result: end,
    });
    if (end === ForwardEnd.Lost) {
      sendOutcome(exchange.response, lostOutcome, randomUUID());
    }
    return end !== ForwardEnd.NotSent;
  };
}

/** A forwarded request runs here too, so that a drain waits for it. */
async function forwardWhileRunning(
  { request, response }: Exchange,
  { running, host }: PassOnOptions,
  target: { address: string; body: string; timeout_ms: number },
): Promise<ForwardEnd> {
  const entry = running.start(target.timeout_ms);
  try {
    const end = await forwardRequest(
      { request, body: target.body },
      response,
      { ...target, self: host },
    );
    if (end === ForwardEnd.Answered) await waitForResponseClose(response);
    return end;
  } finally {
    entry.finish();
  }
}

const lostOutcome: Outcome = {
  kind: OutcomeKind.Unknown,
  reason: Reason.KeyUndecided,
  message: "The host that minted the key gave no answer",
  retry_after_ms: RETRY_ELSEWHERE_MS,
  stages: [],
};
