/** A client that calls one endpoint for pieces, for tests of that client. */
import { deploymentCodec } from "../../platform/codec.ts";
import type { PieceClient } from "../../src/batching/piece_call.ts";
import { createPieceClient } from "../../src/batching/piece_client.ts";
import type { EndpointAgents } from "../../src/endpoints/endpoint_agents.ts";
import { sendRequest } from "../../src/endpoints/exchange.ts";
import { createLogger } from "../../src/logging/logger.ts";
import { createBodyLimits } from "./body_limits.ts";
import {
  type RouteEndpoint,
  RouteEndpointState,
} from "../../src/routes/types.ts";

/** Creates a client with one connection for each endpoint. */
export function createSingleConnectionClient(
  agents: EndpointAgents,
): PieceClient {
  const log = createLogger({ level: "error", host: "h", writeLine: () => {} });
  return createPieceClient({
    codec: deploymentCodec,
    agents,
    send: (_endpoint, formRequest) => sendRequest(formRequest()),
    pool: () => undefined,
    endpointAt: () => undefined,
    reports: { record: () => {}, pauseMs: () => 0 },
    responseLimits: createBodyLimits({ max_bytes: 10_000_000, log }),
    log,
    now: () => performance.now(),
  });
}

/** An endpoint for pieces that listens at a port of the loopback address. */
export function pieceEndpoint(port: number): RouteEndpoint {
  return {
    id: "encode-1",
    pool: "encode",
    address: `127.0.0.1:${port}`,
    availability_zone: "a",
    slots: 1,
    state: RouteEndpointState.Ready,
    born_ms: 1,
  };
}
