/** The part of a gateway host that carries exchanges for other hosts. */
import { CarriedSide } from "../metrics/forward_metrics.ts";
import { ExchangeCarrier } from "../relaying/exchange_carrier.ts";
import type { BatchingComponents } from "./batching_components.ts";
import { maySendTo } from "./evacuation_components.ts";
import type { HostContext } from "./host_context.ts";

/** Creates it. */
export function createExchangeCarrier(
  context: HostContext,
  { pool }: BatchingComponents,
): ExchangeCarrier {
  const { lifecycle, endpoints, metrics } = context;
  return new ExchangeCarrier({
    ...context,
    codec: context.adapter.codec,
    agents: context.carriedAgents,
    pool,
    endpointAt: (address) => endpoints.findByAddress(address),
    isEvacuated: (endpoint) => !maySendTo(endpoint, context),
    isCold: (endpoint) => context.rateLimits.isCold(endpoint),
    isShuttingDown: () => lifecycle.isShuttingDown,
    onResult: (outcome) =>
      metrics.carriedExchanges.inc({ side: CarriedSide.Carrier, outcome }),
  });
}
