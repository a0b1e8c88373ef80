/** What a gateway host knows of the software versions of streams. */
import type { GatewayStore } from "../forwarding/adapter.ts";
import type { Logger } from "../logging/logger.ts";
import type { GatewayMembers } from "../membership/gateway_members.ts";
import type { StoreReaders } from "../membership/store_readers.ts";
import type { GatewayClients } from "../peers/gateway_clients.ts";
import type { RouteEndpoint } from "../routes/types.ts";
import type { ActiveConfiguration } from "../store_sync/active_configuration.ts";
import type { EndpointRegistry } from "../store_sync/endpoint_registry.ts";
import type { FeedPosition } from "../store_sync/feed_position.ts";
import type { FeedChange } from "../store_sync/object_feed.ts";
import { createConfirmSource } from "../stream_origins/confirm_source.ts";
import { KnownVersions } from "../stream_origins/known_versions.ts";
import { StoredOrigins } from "../stream_origins/stored_origins.ts";
import { StoredVersions } from "../stream_origins/stored_versions.ts";
import { StreamOriginService } from "../stream_origins/stream_origin_service.ts";
import { VersionHistory } from "../stream_origins/version_history.ts";

/** What the components need of their host. */
export interface StreamOriginDependencies {
  /** Name of this host. */
  host: string;
  /** Address at which peers reach this host. */
  self: string;
  store: GatewayStore;
  configuration: ActiveConfiguration;
  endpoints: EndpointRegistry;
  members: GatewayMembers;
  peers: GatewayClients;
  readers: StoreReaders;
  /** How far this host has read the source of the endpoints. */
  position: () => FeedPosition;
  log: Logger;
  /** Monotonic clock, in milliseconds. */
  now: () => number;
  random: () => number;
  signal: AbortSignal;
}

/** Creates the components; nothing runs yet. */
export function createStreamOrigins(dependencies: StreamOriginDependencies) {
  const { store, configuration, endpoints, members, readers, position, now } =
    dependencies;
  const history = new VersionHistory();
  const hosts = () => members.addresses();
  const isReading = () => readers.selfIsReader && endpoints.sourceAvailable;
  const storedVersions = new StoredVersions({
    ...dependencies,
    history,
    isWriter: isReading,
    isResumable: (pool) =>
      configuration.routeTable?.resumablePools.has(pool) ?? false,
    epoch: () => position().epoch,
  });
  const storedOrigins = new StoredOrigins({
    ...dependencies,
    unixTime: () => Date.now(),
  });
  const knownVersions = new KnownVersions({
    ...dependencies,
    history,
    hosts,
    sourceReaders: () => readers.readersToFollow(),
    confirmSource: createConfirmSource({
      source: store.endpoints,
      position,
      isReading,
      isKnown: (name) => endpoints.has(name),
      onMissed: () => history.forgetSpan(),
      now,
    }),
    learnStored: () => storedVersions.learn(),
  });
  const streamOrigins = new StreamOriginService({
    ...dependencies,
    history,
    versions: knownVersions,
    stored: storedOrigins,
    hosts,
  });
  return {
    streamOrigins,
    knownVersions,
    storedVersions,
    storedOrigins,
    /** Records the endpoints that are in service now. */
    observeEndpoints: (changes: readonly FeedChange<RouteEndpoint>[] = []) =>
      streamOrigins.observeEndpoints(endpoints.all(now()), {
        list: endpoints.lists,
        changes,
      }),
  };
}
