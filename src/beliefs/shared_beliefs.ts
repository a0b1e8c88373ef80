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
  /** Undefined if the host itself does not hear of endpoints now. */
  endpoints: RouteEndpoint[] | undefined;
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
    configuration: known && { ...known, pools: [...known.pools] },
    endpoints: endpoints.sourceIsWell ? endpoints.all(now()) : undefined,
  };
}

/** A configuration as another host told it. */
export function readSharedConfiguration(
  shared: SharedConfiguration,
): RouteConfiguration {
  return { ...shared, pools: new Map(shared.pools) };
}
