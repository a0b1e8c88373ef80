/** Creates the components of a gateway host and connects them. */
import type { Server } from "node:http";
import { runStoreSync } from "./store_sync/store_sync.ts";
import { type CheckResult, formatFindings } from "./findings/finding.ts";
import { GatewayServer } from "./forwarding/gateway_server.ts";
import { drainGateway } from "./lifecycle/drain_gateway.ts";
import { HostLifecycleEvent } from "./lifecycle/host_lifecycle.ts";
import type { Logger } from "./logging/logger.ts";
import { measureLoopLag } from "./metrics/loop_lag.ts";
import type { GatewaySettings } from "./settings/gateway_settings.ts";
import { type Address, formatAddress } from "./settings/settings.ts";
import { createBatching } from "./gateway/batching_components.ts";
import { createForwardingDependencies } from "./gateway/forwarding_components.ts";
import {
  createHostContext,
  type GatewayHostEnvironment,
} from "./gateway/host_context.ts";
import { createExchangeCarrier } from "./gateway/relaying_components.ts";
import { createServers } from "./gateway/servers.ts";

/** A running gateway host. */
export interface GatewayHost {
  log: Logger;
  start(): Promise<void>;
  /** Finishes running requests, then stops. */
  drain(): void;
  /** Stops immediately. */
  stop(): void;
  /**
   * Applies the reloaded settings that can change while the host runs; logs the
   * findings and changes nothing if the settings are invalid.
   */
  reload(checked: CheckResult<GatewaySettings>): void;
  /** Resolves when the host has stopped. */
  stopped: Promise<void>;
}

/** Creates a gateway host; it serves once started. */
export function createGatewayHost(
  settings: GatewaySettings,
  environment: GatewayHostEnvironment,
): GatewayHost {
  const context = createHostContext(settings, environment);
  const batching = createBatching(context);
  const gatewayServer = new GatewayServer(
    createForwardingDependencies(context, batching),
  );
  context.configurationListeners.push((table) =>
    gatewayServer.applyLimits(table.configuration.limits)
  );
  const { endpoints, agents, now } = context;
  context.endpointListeners.push(
    () => agents.failQueuedExcept(endpoints.readyAddresses(now())),
    () => batching.batcher.endpointsChanged(),
  );
  context.evacuationListeners.push(
    () => agents.failQueuedExcept(endpoints.readyAddresses(now())),
    () => batching.batcher.endpointsChanged(),
  );
  const carrier = createExchangeCarrier(context, batching);
  const servers = createServers(context, { ...batching, carrier });
  const { promise: stopped, resolve } = Promise.withResolvers<void>();

  function stop(): void {
    context.lifecycle.handle(HostLifecycleEvent.Stop);
    context.stopping.abort();
    gatewayServer.close();
    for (const [server] of servers) {
      server.close();
      server.closeAllConnections();
    }
    context.agents.close();
    context.carriers.close();
    context.carriedAgents.close();
    context.peers.close();
    context.feedClients.close();
    context.store.close();
    resolve();
  }

  function drain(): void {
    if (!context.lifecycle.handle(HostLifecycleEvent.Drain)) return;
    context.cold?.shutDown();
    batching.batcher.drain();
    void drainGateway({
      lifecycle: context.lifecycle,
      server: gatewayServer,
      runningJobs: () => batching.batcher.activeJobs + carrier.active,
      window: context.drain,
      withdrawEntry: () => context.ownEntry.withdraw(),
      timeout_ms: context.settings.drain.timeout_ms,
      log: context.log,
      now: context.now,
      signal: context.signal,
    }).then(stop);
  }

  function reload(checked: CheckResult<GatewaySettings>): void {
    if (!checked.ok) {
      const findings = formatFindings(checked.findings);
      context.log.error({ event: "reload", outcome: "rejected", findings });
      return;
    }
    const { repeats, drain, log } = checked.value;
    context.settings.drain = drain;
    context.retryBudget.setBound(repeats);
    context.log.info({ event: "reload", outcome: "applied", level: log.level });
    context.log.level = log.level;
  }

  async function start(): Promise<void> {
    for (const [server, address] of servers) await listenOn(server, address);
    await listenOn(gatewayServer.server, settings.listen.callers);
    context.log.info({
      event: "start",
      callers: formatAddress(settings.listen.callers),
      peers: context.self,
      availability_zone: settings.host.availability_zone,
    });
    const { metrics, log, now, signal } = context;
    const onLag = (lag_ms: number) => metrics.loopLag.observe(lag_ms);
    measureLoopLag({ onLag, log, now, signal });
    context.evacuations?.start(signal);
    void runStoreSync(context.syncOptions);
    void context.reachability.run();
    void context.ownEntry.announce();
    void context.cold?.run();
    void context.storedVersions.run();
    void context.storedOrigins.run();
  }

  return { log: context.log, stopped, stop, drain, reload, start };
}

function listenOn(server: Server, { ip, port }: Address): Promise<void> {
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(port, ip, resolve);
  });
}
