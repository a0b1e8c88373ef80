/** Sends requests directly, and tells the routes what came of it. */
import { ENDPOINT_UNAVAILABLE } from "../endpoints/endpoint_agents.ts";
import {
  type EndpointRequest,
  type EndpointResponse,
  ExchangeOutcome,
  type ExchangeResult,
  sendRequest,
} from "../endpoints/exchange.ts";
import type { DirectExchange, EndpointRoutes } from "../reachability/types.ts";
import type { RouteEndpoint } from "../routes/types.ts";

/** Reason of a request that was given up, as no bytes come from its endpoint. */
export const OUT_OF_REACH = "out_of_reach";

/** Sends a request to an endpoint directly; never rejects. */
export async function sendDirectly(
  routes: EndpointRoutes,
  endpoint: RouteEndpoint,
  request: EndpointRequest,
): Promise<ExchangeResult> {
  const exchange = routes.begin(endpoint);
  const result = await sendRequest({
    ...request,
    signal: AbortSignal.any([request.signal, exchange.lost]),
  });
  if (result.kind === ExchangeOutcome.ResponseReceived) {
    watchBody(exchange, result.response, request.signal);
    return result;
  }
  const isOwnEnd = request.signal.aborted ||
    result.reason === ENDPOINT_UNAVAILABLE ||
    result.kind === ExchangeOutcome.NotSent && result.malformed === true;
  if (!isOwnEnd) exchange.recordFailure(result.reason);
  exchange.end();
  const lost = exchange.lost.aborted && !request.signal.aborted;
  return {
    ...result,
    reason: lost ? OUT_OF_REACH : result.reason,
    way_failed: !isOwnEnd && routes.isOutOfReach(endpoint),
  };
}

/** Records the bytes of a response until its body has ended. */
function watchBody(
  exchange: DirectExchange,
  { body, socket }: EndpointResponse,
  signal: AbortSignal,
): void {
  const onData = () => exchange.recordBytes();
  exchange.recordBytes();
  socket.on("data", onData);
  body.on("error", (error: NodeJS.ErrnoException) => {
    if (!signal.aborted) exchange.recordFailure(error.code ?? error.message);
  });
  body.once("close", () => {
    socket.off("data", onData);
    exchange.end();
  });
}
