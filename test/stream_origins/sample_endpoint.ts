import {
  type RouteEndpoint,
  RouteEndpointState,
} from "../../src/routes/types.ts";

/** An endpoint of one pool, with a software version as its id. */
export function sampleEndpoint(software_version?: string): RouteEndpoint {
  return {
    id: `${software_version}`,
    pool: "model",
    address: "10.0.0.1:80",
    availability_zone: "a",
    slots: 1,
    state: RouteEndpointState.Ready,
    born_ms: 1,
    software_version,
  };
}
