/**
 * What hosts tell one another of their beliefs, for those that can't reach the
 * object store.
 */
import type { RouteConfiguration, RouteEndpoint } from "../routes/types.ts";
import type { ActiveConfiguration } from "./active_configuration.ts";
import type { EndpointRegistry } from "./endpoint_registry.ts";

/** What a host believes. */
export interface StateSnapshot {
  configuration: SerialisedConfiguration | undefined;
  endpoints: RouteEndpoint[];
  /** Whether the host itself hears of endpoints now. */
  endpoints_fresh: boolean;
}

/** Revisions at which a host last read a change of each feed. */
export interface ChangeRevisions {
  configuration: number;
  endpoints: number;
}

/** A configuration in a form that JSON can carry. */
export interface SerialisedConfiguration
  extends Omit<RouteConfiguration, "pools"> {
  pools: RouteConfiguration["pools"] extends Map<infer Name, infer Pool>
    ? [Name, Pool][]
    : never;
}

/** This host's beliefs. */
export function createStateSnapshot(
  { configuration, endpoints, now }: {
    configuration: ActiveConfiguration;
    endpoints: EndpointRegistry;
    now: () => number;
  },
): StateSnapshot {
  const known = configuration.routeTable?.configuration;
  return {
    configuration: known && serialiseConfiguration(known),
    endpoints: endpoints.all(now()),
    endpoints_fresh: endpoints.sourceAvailable,
  };
}

/** A configuration as JSON can carry it. */
export function serialiseConfiguration(
  configuration: RouteConfiguration,
): SerialisedConfiguration {
  return { ...configuration, pools: [...configuration.pools] };
}

/** A configuration as another host told it. */
export function deserialiseConfiguration(
  shared: SerialisedConfiguration,
): RouteConfiguration {
  return { ...shared, pools: new Map(shared.pools) };
}
