/** Collects this host's status for operators. */
import type { ConfigurationState } from "../configuration/configuration_state.ts";
import type { RunningRequests } from "../http_api/running_requests.ts";
import type { MemberTable } from "../membership/member_table.ts";
import { formatIdentity } from "../records/types.ts";
import type { EndpointStates } from "../routing/endpoint_state.ts";
import type { HostStatus } from "./host_status.ts";

/** Sources of the status. */
export interface HostStatusSources {
  host: string;
  state: string;
  configuration: ConfigurationState;
  running: RunningRequests;
  members: MemberTable;
  endpointStates: EndpointStates;
  now_ms: number;
}

/** Creates the status report. */
export function readHostStatus(sources: HostStatusSources): HostStatus {
  const { configuration, members, endpointStates, now_ms } = sources;
  const live = new Set(members.live(now_ms));
  return {
    host: sources.host,
    state: sources.state,
    generation: configuration.generation,
    requests_running: sources.running.size,
    members: members.all().map((member) => ({
      address: member.address,
      live: live.has(member),
      draining: member.draining,
      generation: member.generation,
    })),
    endpoints: [...configuration.records.endpoints.values()].map((endpoint) => {
      const state = endpointStates.forEndpoint(endpoint);
      return {
        endpoint: formatIdentity(endpoint),
        pool: formatIdentity(endpoint.pool),
        health: state.health.state,
        leaving: endpoint.leaving || state.leaving,
        in_flight: state.in_flight,
        service_ms: Math.round(state.serviceMs(now_ms) * 10) / 10,
      };
    }),
  };
}
