/** Creates the components of an entry host and connects them. */
import type { Server } from "node:http";
import { startBackgroundTasks } from "./entry/background_tasks.ts";
import {
  createClaimComponents,
  waitForClaimWrites,
} from "./entry/claim_components.ts";
import {
  createHostContext,
  type EntryHostEnvironment,
} from "./entry/host_context.ts";
import { createPeerComponents } from "./entry/peer_components.ts";
import { createRequestComponents } from "./entry/request_components.ts";
import { drainHost } from "./lifecycle/drain_host.ts";
import { HostLifecycleEvent } from "./lifecycle/host_lifecycle.ts";
import type { Logger } from "./logging/logger.ts";
import { notifyLiveMembers } from "./peers/heartbeats.ts";
import {
  type Address,
  formatAddress,
  type Settings,
} from "./settings/settings.ts";

/** An entry host, which takes requests from callers. */
export interface EntryHost {
  log: Logger;
  /** Starts listening; rejects if an address cannot be bound. */
  start(): Promise<void>;
  /** Finishes running requests, then stops. */
  drain(): void;
  /** Stops immediately; running requests are aborted. */
  stop(): void;
  /** Resolves when the host has stopped. */
  stopped: Promise<void>;
}

/** Creates an entry host; it does nothing until it is started. */
export function createEntryHost(
  settings: Settings,
  environment: EntryHostEnvironment,
): EntryHost {
  const context = createHostContext(settings, environment);
  const claimComponents = createClaimComponents(context);
  const requestComponents = createRequestComponents(context, claimComponents);
  const peerComponents = createPeerComponents(context, {
    claimComponents,
    requestComponents,
    drain: () => drain(),
  });
  const servers = [requestComponents.callerServer, peerComponents.peerServer];
  const { promise: stopped, resolve } = Promise.withResolvers<void>();

  function stop(): void {
    context.lifecycle.handle(HostLifecycleEvent.Stop);
    context.stopping.abort();
    for (const server of servers) {
      server.close();
      server.closeAllConnections();
    }
    context.closeConnections();
    resolve();
  }

  function drain(): void {
    if (!context.lifecycle.handle(HostLifecycleEvent.Drain)) return;
    notifyLiveMembers(
      context,
      (peer) => peer.heartbeat.mutate(peerComponents.describeHost()),
    );
    void drainHost({
      lifecycle: context.lifecycle,
      running: requestComponents.running,
      flushClaims: () => waitForClaimWrites(claimComponents, context.signal),
      ...settings.drain,
      signal: context.signal,
    }).then(stop);
  }

  async function start(): Promise<void> {
    await listenOn(peerComponents.peerServer, settings.listen.peers);
    await listenOn(requestComponents.callerServer, settings.listen.callers);
    context.log.info({
      event: "start",
      incarnation: context.incarnation,
      callers: formatAddress(settings.listen.callers),
      peers: context.self,
      availability_zone: settings.host.availability_zone,
    });
    startBackgroundTasks(context, { claimComponents, peerComponents });
  }

  return { log: context.log, stopped, stop, drain, start };
}

function listenOn(server: Server, { ip, port }: Address): Promise<void> {
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(port, ip, resolve);
  });
}
