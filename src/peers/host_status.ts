/** What a host tells operators about itself. */

/** One host's status. */
export interface HostStatus {
  host: string;
  state: string;
  generation: number;
  requests_running: number;
  members: MemberStatus[];
  endpoints: EndpointStatus[];
}

/** What the host thinks of another host. */
export interface MemberStatus {
  address: string;
  live: boolean;
  draining: boolean;
  generation: number;
}

/** What the host thinks of an endpoint. */
export interface EndpointStatus {
  endpoint: string;
  pool: string;
  health: string;
  leaving: boolean;
  in_flight: number;
  service_ms: number;
}
