/** What a gateway host knows of its ways to endpoints, and how it sends to them. */
import { createColdSender, takePermit } from "../cold_endpoints/cold_sender.ts";
import { EndpointAgents } from "../endpoints/endpoint_agents.ts";
import type { ProtocolCodec } from "../forwarding/protocol_codec.ts";
import type { Logger } from "../logging/logger.ts";
import type { GatewayMembers } from "../membership/gateway_members.ts";
import {
  CarriedSide,
  type ForwardMetrics,
} from "../metrics/forward_metrics.ts";
import type { GatewayClients } from "../peers/gateway_clients.ts";
import type { EvacuationService } from "../evacuations/evacuation_service.ts";
import { createProbeReach } from "../reachability/probe_reach.ts";
import { ReachabilityService } from "../reachability/reachability_service.ts";
import { CarrierConnections } from "../relaying/carrier_connections.ts";
import { createEndpointSender } from "../relaying/endpoint_sender.ts";
import type { RateLimitService } from "../rate_limits/rate_limit_service.ts";
import type { RouteEndpoint } from "../routes/types.ts";
import type { ObservedLoad } from "../routing/observed_load.ts";
import type { EndpointRegistry } from "../store_sync/endpoint_registry.ts";
import { guardSender, maySendTo } from "./evacuation_components.ts";

/** What the components need of their host. */
export interface ReachabilityDependencies {
  /** This host's availability zone. */
  zone: string;
  codec: ProtocolCodec;
  /** Address at which this host connects to an endpoint, if that is another. */
  translateAddress: ((address: string) => string) | undefined;
  members: GatewayMembers;
  endpoints: EndpointRegistry;
  /** Undefined if this host doesn't read evacuations. */
  evacuations: EvacuationService | undefined;
  peers: GatewayClients;
  load: ObservedLoad;
  metrics: ForwardMetrics;
  log: Logger;
  /** Monotonic clock, in milliseconds. */
  now: () => number;
  random: () => number;
  signal: AbortSignal;
  rateLimits: RateLimitService;
}

/**
 * Connections to an endpoint for carried exchanges, in shares of one host. Senders
 * keep within their own shares, so together they keep within the endpoint's limit.
 */
const MAX_CARRIED_SHARES = 4;

/** Creates the components; nothing runs yet. */
export function createReachability(dependencies: ReachabilityDependencies) {
  const { codec, translateAddress, members, endpoints, load, metrics, now } =
    dependencies;
  const { rateLimits } = dependencies;
  const lossListeners: ((endpoint: RouteEndpoint) => void)[] = [];
  const carriers = new CarrierConnections();
  const isOpen = (endpoint: RouteEndpoint) => maySendTo(endpoint, dependencies);
  const reachability = new ReachabilityService({
    ...dependencies,
    zoneOf: (address) => members.zoneOf(address),
    otherHosts: () => members.otherAddresses(),
    carriedInFlight: (address) => carriers.inFlight(address),
    readyIn: (pool) => endpoints.readyInPool(pool, now()),
    endpointAt: (address) => endpoints.findByAddress(address),
    probe: createProbeReach(codec, translateAddress),
    async permitProbe(endpoint) {
      if (!isOpen(endpoint)) return undefined;
      if (!rateLimits.isCold(endpoint)) return () => isOpen(endpoint);
      const permit = await takePermit(endpoint, rateLimits);
      return permit &&
        (() => isOpen(endpoint) && now() < permit.expires_ms);
    },
    onProbe: (outcome) => metrics.reachProbes.inc({ outcome }),
    onLost(endpoint) {
      load.forEndpoint(endpoint).forgetFailures();
      for (const listener of lossListeners) listener(endpoint);
    },
  });
  metrics.exportLostEndpoints(reachability);
  const send = createColdSender({
    send: createEndpointSender({
      routes: reachability,
      carriers,
      mayBeCarried: (endpoint) => !rateLimits.isCold(endpoint),
      onCarried: (outcome) =>
        metrics.carriedExchanges.inc({ side: CarriedSide.Sender, outcome }),
    }),
    rateLimits,
    isReached: (endpoint) =>
      reachability.carrierFor(endpoint, { avoid: new Set() }) === undefined,
    now,
  });
  return {
    reachability,
    routes: reachability,
    lossListeners,
    carriers,
    carriedAgents: new EndpointAgents(
      () => members.count / MAX_CARRIED_SHARES,
      translateAddress,
    ),
    send: guardSender(send, dependencies),
  };
}
