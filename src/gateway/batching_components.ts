/** The components of a gateway host that form batches and route jobs. */
import { Batcher } from "../batching/batcher.ts";
import { JobRouter } from "../batching/job_router.ts";
import { KnownPoolLoads } from "../batching/known_pool_loads.ts";
import { listShards } from "../batching/pool_shards.ts";
import { PoolWaits } from "../batching/pool_waits.ts";
import { createCrashRecorder } from "../batching/crash_recorder.ts";
import { createPieceClient } from "../batching/piece_client.ts";
import type {
  RouteConfiguration,
  RouteEndpoint,
  RoutePool,
} from "../routes/types.ts";
import type { HostContext } from "./host_context.ts";

/** Components that form batches and route jobs to the hosts that do. */
export interface BatchingComponents {
  batcher: Batcher;
  jobRouter: JobRouter;
  /** Finds a pool by name; undefined if it is not configured. */
  pool: (name: string) => RoutePool | undefined;
}

/** Creates them. */
export function createBatching(context: HostContext): BatchingComponents {
  const { configuration, endpoints, members, peers, log, now } = context;
  const pool = (name: string) =>
    configuration.routeTable?.configuration.pools.get(name);
  /** Time until the endpoint takes a call, in milliseconds. */
  const pauseMs = (endpoint: RouteEndpoint) =>
    Math.max(
      context.reports.pauseMs(endpoint),
      context.rateLimits.coldWaitMs(endpoint),
    );
  const batcher: Batcher = new Batcher({
    pool,
    endpoints: (name) => endpoints.inPool(name, now()),
    pauseMs,
    client: createPieceClient({
      codec: context.adapter.codec,
      agents: context.agents,
      send: context.send,
      pool,
      endpointAt: (address) => endpoints.findByAddress(address),
      reports: {
        record: (...report) => context.reports.record(...report),
        pauseMs,
      },
      keepsResults: (address) => keepsResults(context, address),
      responseLimits: context.responseLimits,
      log,
      now,
    }),
    freeAtBatcher: (freed) => jobRouter.free(freed),
    laterLoad: (name) => knownLoads.loadOf(name),
    ...createCrashRecorder(context.quarantine),
    isEvacuated: (name) => endpoints.isPoolEvacuated(name, now()),
    isCutOffFrom: (all) => context.reachability.isCutOffFrom(all),
    onUnwantedCall: (unwanted_ms) =>
      context.metrics.workAfterCallerLeft.observe(
        { work: "stage_call" },
        unwanted_ms,
      ),
    log,
    now,
  });
  context.lossListeners.push((endpoint) => batcher.forgetFailures(endpoint));
  let batchPools: readonly string[] = [];
  context.configurationListeners.push(({ configuration }) => {
    const names = namesOfBatchPools(configuration);
    if (names.join() !== batchPools.join()) batchPools = names;
  });
  const waits = new PoolWaits();
  const jobRouter: JobRouter = new JobRouter({
    self: context.self,
    batchers: () => members.batchers(context.lifecycle.isShuttingDown),
    pools: () => batchPools,
    hosts: () => members.addresses(),
    local: batcher,
    peers,
    waits,
    zone: context.settings.host.availability_zone,
    // A zone without work for its shard must not share the others' endpoints.
    shards: (name) =>
      listShards(
        endpoints.inPool(name, now())
          .filter((endpoint) => !endpoints.isEvacuated(endpoint, now())),
      ),
    zoneAt: (address) => endpoints.findByAddress(address)?.availability_zone,
    log,
    now,
    signal: context.signal,
  });
  const knownLoads: KnownPoolLoads = new KnownPoolLoads({
    queuesOf: (name) => jobRouter.queuesOf(name),
    ask: (queue) => jobRouter.askLoad(queue),
    log,
    now,
    signal: context.signal,
  });
  return { batcher, jobRouter, pool };
}

function namesOfBatchPools({ pools }: RouteConfiguration): string[] {
  return [...pools.values()].filter(({ batch }) => batch !== undefined)
    .map(({ name }) => name)
    .sort();
}

/**
 * Whether results at an address aren't freed, as its zone is evacuated; or as it
 * may be, if the endpoint is no longer known.
 */
function keepsResults(
  { endpoints, evacuations, now }: HostContext,
  address: string,
): boolean {
  if (evacuations === undefined) return false;
  const endpoint = endpoints.findByAddress(address);
  return endpoint === undefined
    ? evacuations.zones.all().length > 0
    : endpoints.isEvacuated(endpoint, now());
}
