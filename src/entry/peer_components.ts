/** What serves other hosts and operators on an entry host. */
import type { Server } from "node:http";
import type { Heartbeat } from "../membership/types.ts";
import {
  type HeartbeatOptions,
  receiveHeartbeat,
} from "../peers/heartbeats.ts";
import { createPeerRpcRouter } from "../peers/peer_rpc_router.ts";
import { createPeerServer } from "../peers/peer_server.ts";
import { readHostStatus } from "../peers/read_host_status.ts";
import { formatIdentity } from "../records/types.ts";
import type { ClaimComponents } from "./claim_components.ts";
import type { HostContext } from "./host_context.ts";
import type { RequestComponents } from "./request_components.ts";

/** Components that serve other hosts and operators. */
export interface PeerComponents {
  describeHost: () => Heartbeat;
  heartbeatOptions: HeartbeatOptions;
  peerServer: Server;
}

/** Creates what serves other hosts; the server does not listen yet. */
export function createPeerComponents(
  context: HostContext,
  { claimComponents, requestComponents, drain }: {
    claimComponents: ClaimComponents;
    requestComponents: RequestComponents;
    drain: () => void;
  },
): PeerComponents {
  const { settings, configuration, states, members, lifecycle, now } = context;
  const { shards } = claimComponents;
  const { running, allowances } = requestComponents;
  const describeHost = (): Heartbeat => ({
    address: context.self,
    callers_address: settings.advertise.callers,
    incarnation: context.incarnation,
    generation: configuration.generation,
    draining: lifecycle.isShuttingDown,
    demand: allowances.demand(now()),
    known: members.sampleForGossip(now(), context.random),
  });
  const { heartbeat_ms } = settings.peers;
  const heartbeatOptions = {
    ...context,
    createHeartbeat: describeHost,
    heartbeat_ms,
  };
  const router = createPeerRpcRouter({
    heartbeat: (heartbeat) => receiveHeartbeat(heartbeat, heartbeatOptions),
    configuration: () => configuration.accepted,
    endpointLeaving: (identity) => {
      const { endpoints } = configuration.records;
      const endpoint = endpoints.get(formatIdentity(identity));
      if (endpoint !== undefined) states.markLeaving(endpoint);
    },
    claim: (request) => shards.commit(request),
    recordOutcome: (outcome) => shards.storeOutcome(outcome),
    status: () =>
      readHostStatus({
        host: settings.host.name,
        state: lifecycle.state,
        configuration,
        running,
        members,
        endpointStates: states,
        now_ms: now(),
      }),
    drain,
  });
  const peerServer = createPeerServer(router, {
    peers: settings.peers.secret,
    operators: settings.operators.secret,
  });
  return { describeHost, heartbeatOptions, peerServer };
}
