/** Servers of a gateway host, but that for callers. */
import type { Server } from "node:http";
import {
  createChangeRevisions,
  createStateSnapshot,
} from "../store_sync/state_snapshot.ts";
import { createReadinessServer } from "../forwarding/gateway_server.ts";
import { HostLifecycleState } from "../lifecycle/host_lifecycle.ts";
import { createMetricsServer } from "../metrics/metrics_server.ts";
import { createGatewayPeerServer } from "../peers/gateway_peer_server.ts";
import { ListenerCheck } from "../quarantine/probe_endpoint.ts";
import type { ExchangeCarrier } from "../relaying/exchange_carrier.ts";
import type { Address } from "../settings/settings.ts";
import type { BatchingComponents } from "./batching_components.ts";
import type { HostContext } from "./host_context.ts";

/** Creates the servers for peers, readiness and metrics, with their addresses. */
export function createServers(
  context: HostContext,
  { batcher, carrier }: BatchingComponents & { carrier: ExchangeCarrier },
): [Server, Address][] {
  const { lifecycle, settings, adapter, syncOptions } = context;
  const peerServer = createGatewayPeerServer({
    isBatching: () => lifecycle.state === HostLifecycleState.Ready,
    run: (job, signal) => batcher.runForPeer(job, signal),
    free(freedResults) {
      for (const freed of freedResults) batcher.free(freed);
    },
    serveExchange: (request, response) => carrier.serve(request, response),
    reportLoad: (queue) => batcher.reportLoad(queue),
    reportReached: (endpoints) => context.reachability.answer(endpoints),
    lists: (host) => context.members.lists(host),
    snapshot: () => createStateSnapshot(syncOptions),
    handlePermitRequest: (request) => context.rateLimits.handleRequest(request),
    handlePlaceRequest: (request) => context.places.handleRequest(request),
    reportRamps: () => context.places.rampNews(),
    handlePlaceReport: (report) => context.places.handleReport(report),
    handleEndpointReport: (notice) => context.reports.handleReport(notice),
    handleEndpointNotice: (notice, targets) =>
      context.reports.handleNotice(notice, targets),
    handleOrigins: (origins) => context.streamOrigins.keep(origins),
    findOrigin: (key) => context.streamOrigins.find(key) ?? null,
    reportVersions: () => context.knownVersions.report(),
    handleCrashReport: (report) => context.quarantine.handleReport(report),
    handleAnsweredParts: (parts) => context.quarantine.handleAnswered(parts),
    checkListener: (address) =>
      context.endpoints.findByAddress(address) === undefined
        ? Promise.resolve(ListenerCheck.Unknown)
        : context.checkEndpoint(address),
    handleNotice: (notice, route) =>
      context.quarantine.handleNotice(notice, route),
    changeRevisions: () =>
      createChangeRevisions(
        syncOptions.progress,
        context.configuration.version,
      ),
    feeds: {
      caches: syncOptions.watchCaches,
      selfIsReader: () => syncOptions.readers.selfIsReader,
      log: context.log,
      now: context.now,
    },
    log: context.log,
  });
  const readiness = createReadinessServer(
    adapter.codec.readinessPath,
    () =>
      lifecycle.state === HostLifecycleState.Ready &&
      context.evacuations?.isConfirmed !== false &&
      !context.endpoints.isEmpty,
  );
  const servers: [Server, Address][] = [
    [peerServer, settings.listen.peers],
    [readiness, settings.listen.readiness],
  ];
  if (settings.listen.metrics !== undefined) {
    const server = createMetricsServer(context.metrics.registry);
    servers.push([server, settings.listen.metrics]);
  }
  return servers;
}
