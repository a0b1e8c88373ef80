/** How a gateway host bounds the requests to cold endpoints. */
import { becomeKnown } from "../cold_endpoints/awareness.ts";
import { ColdEndpoints } from "../cold_endpoints/cold_endpoints.ts";
import { createConfirmedFeed } from "../cold_endpoints/confirmed_feed.ts";
import {
  divideBound,
  MAX_SEND_DELAY_MS,
} from "../cold_endpoints/divide_bound.ts";
import { paceOf } from "../cold_endpoints/host_pace.ts";
import { HostStanding } from "../cold_endpoints/host_standing.ts";
import type { Logger } from "../logging/logger.ts";
import type {
  GatewayMember,
  GatewayMembers,
} from "../membership/gateway_members.ts";
import type { StoreReaders } from "../membership/store_readers.ts";
import type { ForwardMetrics } from "../metrics/forward_metrics.ts";
import type { GatewayClients } from "../peers/gateway_clients.ts";
import type { ColdSends } from "../rate_limits/rate_limit_service.ts";
import type { RouteEndpoint } from "../routes/types.ts";
import type { GatewaySettings } from "../settings/gateway_settings.ts";
import type { ActiveConfiguration } from "../store_sync/active_configuration.ts";
import type { EndpointRegistry } from "../store_sync/endpoint_registry.ts";
import type { FeedChange, ObjectFeed } from "../store_sync/object_feed.ts";

/** What the components need of their host. */
export interface ColdDependencies {
  /** Undefined if requests to cold endpoints are not bounded. */
  bound: GatewaySettings["cold_endpoints"];
  member: GatewayMember;
  members: GatewayMembers;
  configuration: ActiveConfiguration;
  endpoints: EndpointRegistry;
  peers: GatewayClients;
  metrics: ForwardMetrics;
  /** Called when the endpoint at an address turns cold. */
  onCold: (address: string) => void;
  log: Logger;
  /** Monotonic clock, in milliseconds. */
  now: () => number;
  signal: AbortSignal;
}

/** The components of a host that bounds the requests to cold endpoints. */
export interface ColdComponents {
  coldEndpoints: ColdEndpoints;
  coldSends: ColdSends;
  /** Records entries that have arrived; without changes, those of a list. */
  observeEndpoints: (changes?: readonly FeedChange<RouteEndpoint>[]) => void;
  /** Wraps the feed of the hosts. */
  confirmHosts: (
    feed: ObjectFeed<GatewayMember>,
    readers: StoreReaders,
  ) => ObjectFeed<GatewayMember>;
  /** Makes this host known to others until it stops. */
  run: () => Promise<void>;
  /** Grants no more sends; must be called before this host's entry is removed. */
  shutDown: () => void;
}

/** Creates the components; undefined without the settings. */
export function createColdComponents(
  dependencies: ColdDependencies,
): ColdComponents | undefined {
  const { bound, member, members, configuration, metrics, log, now } =
    dependencies;
  if (bound === undefined) return undefined;
  const pools = () => configuration.routeTable?.configuration.pools;
  const coldEndpoints = new ColdEndpoints({
    limitsOf: (pool) => pools()?.get(pool)?.cold,
    onCold(endpoint, { remaining_ms, source }) {
      metrics.coldSpells.inc({ source });
      log.info({
        event: "endpoint_cold",
        endpoint: endpoint.id,
        remaining_ms: Math.round(remaining_ms),
        source,
      });
      dependencies.onCold(endpoint.address);
    },
    onPresumed: (zone) => log.info({ event: "cold_presumed", zone }),
  });
  const { address, started_ms } = member;
  const self = { address, started_ms };
  const standing = new HostStanding(self);
  members.onChange((hosts) => standing.updateHosts(hosts, now()));
  return {
    coldEndpoints,
    coldSends: {
      limitPerS: (endpoint) => coldEndpoints.limitPerS(endpoint, now()),
      paceOf: (key, per_s) =>
        paceOf(divideBound(per_s, bound), {
          rank: standing.rankOf(key, now()),
          hostCount: standing.hostCount(now()),
        }),
      max_delay_ms: MAX_SEND_DELAY_MS,
      onPermit: (outcome) => metrics.coldPermits.inc({ outcome }),
    },
    observeEndpoints: createObserver(coldEndpoints, dependencies),
    confirmHosts: (feed, readers) =>
      createConfirmedFeed(feed, {
        onConfirmed: (at_ms) => standing.confirm(at_ms),
        readsStore: () => readers.selfIsReader,
        now,
      }),
    run: () =>
      becomeKnown({
        ...dependencies,
        self,
        standing,
        isNeeded: () =>
          [...pools()?.values() ?? []].some(({ cold }) =>
            cold !== undefined && cold.per_s > 0
          ),
      }),
    shutDown: () => standing.shutDown(),
  };
}

function createObserver(
  coldEndpoints: ColdEndpoints,
  { endpoints, now }: ColdDependencies,
): ColdComponents["observeEndpoints"] {
  const observed = new WeakSet<RouteEndpoint>();
  return (changes) => {
    if (changes !== undefined) {
      for (const { value } of changes) {
        if (value !== undefined) coldEndpoints.observeEntry(value, now());
      }
    }
    for (const endpoint of endpoints.all(now())) {
      if (observed.has(endpoint)) continue;
      observed.add(endpoint);
      // While the source is away, peers list the same entries again and again.
      const isNews = endpoints.sourceAvailable ||
        !coldEndpoints.isKnown(endpoint);
      if (changes === undefined && isNews) {
        coldEndpoints.observeListed(endpoint, now());
      }
    }
  };
}
