/** Status that an entry host reports to operators. */

/** One host's status. */
export interface HostStatus {
  host: string;
  state: string;
  generation: number;
  requests_running: number;
  members: MemberStatus[];
  endpoints: EndpointStatus[];
}

/** Another host, as the reporting host sees it. */
export interface MemberStatus {
  address: string;
  live: boolean;
  draining: boolean;
  generation: number;
}

/** An endpoint, as the reporting host sees it. */
export interface EndpointStatus {
  endpoint: string;
  pool: string;
  health: string;
  leaving: boolean;
  in_flight: number;
  service_ms: number;
}
