/** What the ramp-ups of endpoints need of a gateway host. */
import type { RampOptions } from "../endpoint_places/endpoint_ramps.ts";
import type { ForwardMetrics } from "../metrics/forward_metrics.ts";
import type { GatewayClients } from "../peers/gateway_clients.ts";
import type { RoutePool } from "../routes/types.ts";
import type { ObservedLoad } from "../routing/observed_load.ts";
import type { ActiveConfiguration } from "../store_sync/active_configuration.ts";
import type { EndpointRegistry } from "../store_sync/endpoint_registry.ts";
import { abortableDelay } from "../utils/delay.ts";

/** Dependencies of the ramp-ups. */
export interface RampDependencies {
  configuration: ActiveConfiguration;
  endpoints: EndpointRegistry;
  load: ObservedLoad;
  peers: GatewayClients;
  metrics: ForwardMetrics;
  reportRamp: RampOptions["tellHosts"];
  now: () => number;
  random: () => number;
}

/** Creates what the ramp-ups of endpoints need. */
export function createRampOptions(
  { configuration, endpoints, load, peers, metrics, reportRamp, now, random }:
    RampDependencies,
): RampOptions {
  const pools = () => configuration.routeTable?.configuration.pools;
  // Endpoints of a stage pool are called by one batcher.
  const isRamped = (pool: RoutePool | undefined) =>
    pool !== undefined && pool.batch === undefined &&
    ((pool.cold?.start_ms ?? 0) > 0 || load.reportsSpeed(pool.name));
  return {
    isOn: (pool) => isRamped(pools()?.get(pool)),
    isAnyOn: () => [...pools()?.values() ?? []].some(isRamped),
    allEndpoints: () => endpoints.all(now()),
    tellHosts: reportRamp,
    askRamps: (address) => peers.askRamps(address),
    onChange({ reason, end, bound }) {
      if (end === undefined) return metrics.rampStarts.inc({ reason });
      metrics.rampEnds.inc({ end });
      for (const [outcome, count] of Object.entries(bound.counts)) {
        metrics.rampedRequests.inc({ outcome }, count);
      }
    },
    onRecovered: (endpoint) => load.forgetTrouble(endpoint),
    delay: abortableDelay,
    random,
  };
}
