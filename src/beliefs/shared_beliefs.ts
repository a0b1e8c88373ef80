/**
 * What hosts tell one another of their beliefs, for those that can't reach the
 * object store.
 */
import type { RouteConfiguration, RouteEndpoint } from "../routes/types.ts";
import type { ConfigurationBelief } from "./configuration_belief.ts";
import type { EndpointBelief } from "./endpoint_belief.ts";

/** What a host believes. */
export interface SharedBeliefs {
  configuration: SharedConfiguration | undefined;
  endpoints: RouteEndpoint[];
  /** Whether the host itself hears of endpoints now. */
  endpoints_fresh: boolean;
}

/** Revisions at which a host last read a change of each feed. */
export interface SharedProgress {
  configuration: number;
  endpoints: number;
}

/** A configuration in a form that JSON can carry. */
export interface SharedConfiguration extends Omit<RouteConfiguration, "pools"> {
  pools: RouteConfiguration["pools"] extends Map<infer Name, infer Pool>
    ? [Name, Pool][]
    : never;
}

/** This host's beliefs. */
export function shareBeliefs(
  { configuration, endpoints, now }: {
    configuration: ConfigurationBelief;
    endpoints: EndpointBelief;
    now: () => number;
  },
): SharedBeliefs {
  const known = configuration.table?.configuration;
  return {
    configuration: known && shareConfiguration(known),
    endpoints: endpoints.all(now()),
    endpoints_fresh: endpoints.sourceIsWell,
  };
}

/** A configuration as JSON can carry it. */
export function shareConfiguration(
  configuration: RouteConfiguration,
): SharedConfiguration {
  return { ...configuration, pools: [...configuration.pools] };
}

/** A configuration as another host told it. */
export function readSharedConfiguration(
  shared: SharedConfiguration,
): RouteConfiguration {
  return { ...shared, pools: new Map(shared.pools) };
}
