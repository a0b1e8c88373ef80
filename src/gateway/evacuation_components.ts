/** How a gateway host learns of evacuated zones and sends nothing to them. */
import { EvacuationService } from "../evacuations/evacuation_service.ts";
import { createGuardedSender } from "../evacuations/guarded_sender.ts";
import { ZoneExchanges } from "../evacuations/zone_exchanges.ts";
import type { Logger } from "../logging/logger.ts";
import type { ForwardMetrics } from "../metrics/forward_metrics.ts";
import type { SendToEndpoint } from "../relaying/endpoint_sender.ts";
import type { RouteEndpoint } from "../routes/types.ts";
import type { GatewaySettings } from "../settings/gateway_settings.ts";
import type { EndpointRegistry } from "../store_sync/endpoint_registry.ts";

/** What the service needs of its host. */
export interface EvacuationDependencies {
  /** Undefined if this host doesn't read evacuations. */
  bound: GatewaySettings["evacuations"];
  /** Not created yet, as it asks the service which endpoints may be used. */
  endpoints: () => EndpointRegistry;
  /** Called when the endpoints that may be used have changed. */
  onChange: () => void;
  /** Called when the evacuation of a zone has ended. */
  onEnded: (zone: string) => void;
  /** Called when the feed must be listed again. */
  onDoubt: () => void;
  log: Logger;
  /** Monotonic clock, in milliseconds. */
  now: () => number;
}

/** Creates the service; undefined without the settings. */
export function createEvacuations(
  { bound, endpoints, ...dependencies }: EvacuationDependencies,
): EvacuationService | undefined {
  if (bound === undefined) return undefined;
  return new EvacuationService({
    ...bound,
    ...dependencies,
    isKnownZone: (zone) =>
      endpoints().isEmpty ? undefined : endpoints().hasInZone(zone),
  });
}

/** What decides whether a request may go to an endpoint. */
export interface EvacuationGuardDependencies {
  /** Undefined if this host doesn't read evacuations. */
  evacuations: EvacuationService | undefined;
  endpoints: EndpointRegistry;
  /** Monotonic clock, in milliseconds. */
  now: () => number;
}

/**
 * Whether a request may go to an endpoint now, as far as evacuations are
 * concerned: this host knows them, and the endpoint's zone isn't evacuated.
 */
export function maySendTo(
  endpoint: RouteEndpoint,
  { evacuations, endpoints, now }: EvacuationGuardDependencies,
): boolean {
  if (evacuations === undefined) return true;
  return evacuations.isConfirmed && !endpoints.isEvacuated(endpoint, now());
}

/** Wraps the function by which requests go to endpoints. */
export function guardSender(
  send: SendToEndpoint,
  { evacuations, endpoints, metrics, now }: EvacuationGuardDependencies & {
    metrics: ForwardMetrics;
  },
): SendToEndpoint {
  if (evacuations === undefined) return send;
  const exchanges = new ZoneExchanges();
  metrics.exportZones({
    exchanges: () => exchanges.running(),
    shares: () => evacuations.zones.shares(now()),
  });
  return createGuardedSender(send, {
    guard: {
      get isConfirmed() {
        return evacuations.isConfirmed;
      },
      confirmed: () => evacuations.confirmed(),
      isEvacuated: (endpoint) => endpoints.isEvacuated(endpoint, now()),
    },
    exchanges,
    onStopped: () => metrics.evacuatedSends.inc(),
  });
}
