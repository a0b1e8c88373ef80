/** Status that an entry host reports to operators. */

/** One host's status. */
export interface HostStatus {
  host: string;
  /** A value of `HostLifecycleState`. */
  state: string;
  /** Generation of its configuration. */
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
  /** A value of `HealthState`. */
  health: string;
  /** Whether it is shutting down and gets no new calls. */
  leaving: boolean;
  /** Calls of the reporting host in flight. */
  in_flight: number;
  /**
   * Median time of recent calls, decaying while idle; rounded to 0.1 ms.
   */
  service_ms: number;
}
