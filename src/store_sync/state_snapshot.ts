/** State that hosts share with peers that cannot reach the object store. */
import type { EvacuationService } from "../evacuations/evacuation_service.ts";
import type { EvacuationReport } from "../evacuations/types.ts";
import type { RouteConfiguration, RouteEndpoint } from "../routes/types.ts";
import type { QuarantineService } from "../quarantine/quarantine_service.ts";
import type { QuarantinedParts } from "../quarantine/types.ts";
import { decodePosition, type FeedPosition } from "./feed_position.ts";
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
  /**
   * Incarnations that have said themselves that they are leaving; missing from
   * hosts of an older release.
   */
  leaving?: string[];
  /**
   * Missing from hosts that don't read evacuations, and from those of an older
   * release.
   */
  evacuations?: EvacuationReport;
}

/** Feeds of which hosts compare how far they have read. */
export type ComparedFeed =
  | "configuration"
  | "endpoints"
  | "quarantined"
  | "evacuations";

/** Revision of the last change that a host has read from each feed. */
export interface ChangeRevisions {
  configuration: number;
  endpoints: number;
  /** Missing from hosts of an older release. */
  quarantined?: number;
  /** Missing from hosts that don't read evacuations. */
  evacuations?: number;
  /**
   * Epochs of these revisions, as far as they are known. Missing from hosts of an
   * older release.
   */
  epochs?: Partial<Record<ComparedFeed, number>>;
  /**
   * Version of the active configuration, 0 before the first. Missing from hosts
   * of an older release.
   */
  configuration_version?: number;
}

/** Tells peers of the last change that this host has read from each feed. */
export function createChangeRevisions(
  { configuration, endpoints, quarantined, evacuations }:
    & Record<
      Exclude<ComparedFeed, "evacuations">,
      { lastChange: FeedPosition }
    >
    & { evacuations?: { lastChange: FeedPosition } },
  configuration_version: number,
): ChangeRevisions {
  return {
    configuration: configuration.lastChange.revision,
    endpoints: endpoints.lastChange.revision,
    quarantined: quarantined.lastChange.revision,
    ...(evacuations && { evacuations: evacuations.lastChange.revision }),
    epochs: {
      configuration: configuration.lastChange.epoch,
      endpoints: endpoints.lastChange.epoch,
      quarantined: quarantined.lastChange.epoch,
      ...(evacuations?.lastChange.epoch !== undefined &&
        { evacuations: evacuations.lastChange.epoch }),
    },
    configuration_version,
  };
}

/** Reads a feed's position from what a peer told; undefined if it told none. */
export function peerPosition(
  revisions: ChangeRevisions,
  feed: ComparedFeed,
): FeedPosition | undefined {
  return decodePosition(revisions.epochs?.[feed], revisions[feed]);
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
  { configuration, endpoints, quarantine, evacuations, now }: {
    configuration: ActiveConfiguration;
    endpoints: EndpointRegistry;
    quarantine: QuarantineService;
    /** Undefined if this host doesn't read evacuations. */
    evacuations?: EvacuationService;
    now: () => number;
  },
): StateSnapshot {
  const active = configuration.routeTable?.configuration;
  return {
    configuration: active && serialiseConfiguration(active),
    endpoints: endpoints.all(now()),
    endpoints_fresh: endpoints.sourceAvailable,
    quarantined: quarantine.entries.all(),
    leaving: endpoints.leaving,
    ...(evacuations && { evacuations: evacuations.report() }),
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
