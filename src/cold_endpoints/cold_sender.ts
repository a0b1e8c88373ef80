/**
 * Sends no request to a cold endpoint without a permit that is still good, by
 * whichever path it comes.
 */
import { ExchangeOutcome, type ExchangeResult } from "../endpoints/exchange.ts";
import type {
  RateLimitService,
  SendPermit,
} from "../rate_limits/rate_limit_service.ts";
import type { SendToEndpoint } from "../relaying/endpoint_sender.ts";
import type { RouteEndpoint } from "../routes/types.ts";

/** Reason of a request that was not sent, as its endpoint is cold. */
export const COLD_ENDPOINT = "cold_endpoint";

/** Dependencies of the sender. */
export interface ColdSenderOptions {
  /** Sends a request that may be sent. */
  send: SendToEndpoint;
  rateLimits: Pick<
    RateLimitService,
    "isCold" | "coldWaitMs" | "refuse" | "takePermit"
  >;
  /** Whether this host reaches the endpoint itself. */
  isReached: (endpoint: RouteEndpoint) => boolean;
  now: () => number;
}

/** Time for which an endpoint out of reach gets no request while it is cold. */
const OUT_OF_REACH_WAIT_MS = 500;
/** Where the endpoint has turned warm meanwhile, its permit does not expire. */
const MAX_CONNECT_MS = 400;
const NOT_SENT: ExchangeResult = {
  kind: ExchangeOutcome.NotSent,
  reason: COLD_ENDPOINT,
};

/** Wraps the function by which all requests go to endpoints. */
export function createColdSender(
  { send, rateLimits, isReached, now }: ColdSenderOptions,
): SendToEndpoint {
  return async (endpoint, formRequest, permit) => {
    if (endpoint === undefined || !rateLimits.isCold(endpoint)) {
      return await send(endpoint, formRequest);
    }
    // Through another host, the request would take longer than a permit holds.
    if (!isReached(endpoint)) {
      rateLimits.refuse(endpoint, OUT_OF_REACH_WAIT_MS);
      return NOT_SENT;
    }
    // A request that was chosen while the endpoint was warm has no good permit.
    const isGood = permit !== undefined && permit.expires_ms !== Infinity &&
      permit.expires_ms > now();
    const used = isGood ? permit : await takePermit(endpoint, rateLimits);
    if (used === undefined) return NOT_SENT;
    const request = formRequest();
    // A request that waits for a connection would be sent at any time.
    if (request.agent.isFull) return NOT_SENT;
    // Nor must it be written when a connection opens late.
    const left_ms = Math.max(1, used.expires_ms - now());
    const connect_timeout_ms = Math.min(MAX_CONNECT_MS, left_ms);
    // After a pause of the event loop, the connection may open before the timeout.
    const mayBegin = () =>
      (now() < used.expires_ms || !rateLimits.isCold(endpoint)) &&
      request.mayBegin?.() !== false;
    return await send(
      endpoint,
      () => ({ ...request, connect_timeout_ms, mayBegin }),
    );
  };
}

/** Takes a permit for a send at once; resolves to undefined if there is none. */
export async function takePermit(
  endpoint: RouteEndpoint,
  rateLimits: Pick<RateLimitService, "coldWaitMs" | "takePermit">,
): Promise<SendPermit | undefined> {
  if (rateLimits.coldWaitMs(endpoint) > 0) return undefined;
  const waiting = { priority: 0, max_wait_ms: 0 };
  return await rateLimits.takePermit(endpoint, waiting);
}
