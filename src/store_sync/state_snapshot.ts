/** State that hosts share with peers that cannot reach the object store. */
import type { RouteConfiguration, RouteEndpoint } from "../routes/types.ts";
import type { QuarantineService } from "../quarantine/quarantine_service.ts";
import type { QuarantinedParts } from "../quarantine/types.ts";
import type { ActiveConfiguration } from "./active_configuration.ts";
import type { EndpointRegistry } from "./endpoint_registry.ts";

/** A host's copy of the configuration and the endpoints. */
export interface StateSnapshot {
  /** Undefined before the first configuration. */
  configuration: SerialisedConfiguration | undefined;
  endpoints: RouteEndpoint[];
  /** Whether the host currently receives endpoint changes from its source. */
  endpoints_fresh: boolean;
  /** Undefined from hosts of an older release. */
  quarantined: QuarantinedParts[] | undefined;
}

/** Revision of the last change that a host has read from each feed. */
export interface ChangeRevisions {
  configuration: number;
  endpoints: number;
  /** Missing from hosts of an older release. */
  quarantined?: number;
}

/** A route configuration in JSON-compatible form. */
export interface SerialisedConfiguration
  extends Omit<RouteConfiguration, "pools"> {
  pools: RouteConfiguration["pools"] extends Map<infer Name, infer Pool>
    ? [Name, Pool][]
    : never;
}

/** Creates a snapshot of this host's state. */
export function createStateSnapshot(
  { configuration, endpoints, quarantine, now }: {
    configuration: ActiveConfiguration;
    endpoints: EndpointRegistry;
    quarantine: QuarantineService;
    now: () => number;
  },
): StateSnapshot {
  const active = configuration.routeTable?.configuration;
  return {
    configuration: active && serialiseConfiguration(active),
    endpoints: endpoints.all(now()),
    endpoints_fresh: endpoints.sourceAvailable,
    quarantined: quarantine.entries.all(),
  };
}

/** Converts a configuration to JSON-compatible form. */
export function serialiseConfiguration(
  configuration: RouteConfiguration,
): SerialisedConfiguration {
  return { ...configuration, pools: [...configuration.pools] };
}

/** Converts a configuration from its JSON-compatible form. */
export function deserialiseConfiguration(
  serialised: SerialisedConfiguration,
): RouteConfiguration {
  return { ...serialised, pools: new Map(serialised.pools) };
}
