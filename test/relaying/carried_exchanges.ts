/** Hosts that carry exchanges in this process, and a sender, for tests. */
import { once } from "node:events";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { performance } from "node:perf_hooks";
import type { TestContext } from "node:test";
import { deploymentCodec } from "../../platform/codec.ts";
import type { EndpointReport } from "../../src/endpoint_reports/endpoint_report.ts";
import { EndpointAgents } from "../../src/endpoints/endpoint_agents.ts";
import type {
  EndpointRequest,
  ExchangeResult,
  RawHeaders,
} from "../../src/endpoints/exchange.ts";
import { createLogger } from "../../src/logging/logger.ts";
import type { EndpointRoutes } from "../../src/reachability/types.ts";
import { CarrierConnections } from "../../src/relaying/carrier_connections.ts";
import {
  type CarriedResult,
  createEndpointSender,
} from "../../src/relaying/endpoint_sender.ts";
import { ExchangeCarrier } from "../../src/relaying/exchange_carrier.ts";
import { MAX_HEAD_BYTES } from "../../src/relaying/exchange_head.ts";
import {
  type RouteEndpoint,
  RouteEndpointState,
  type RoutePool,
} from "../../src/routes/types.ts";
import { createBodyLimits } from "../../stand_ins/deployment/body_limits.ts";

const log = createLogger({ level: "error", host: "h", writeLine: () => {} });
const now = () => performance.now();
export const ATTEMPT_ID = "a1";
const MAX_BYTES = 100_000_000;

/** An endpoint at an address. */
export function endpointAt(address: string, id = "e1"): RouteEndpoint {
  return {
    id,
    pool: "desk",
    address,
    availability_zone: "a",
    slots: 8,
    state: RouteEndpointState.Ready,
    born_ms: 1,
  };
}

/** Routes on which all exchanges go through these hosts, in order. */
export function routesThrough(carriers: string[]): EndpointRoutes & {
  failures: string[];
  unreached: string[];
} {
  const failures: string[] = [];
  const unreached: string[] = [];
  return {
    failures,
    unreached,
    carrierFor: (_endpoint, { avoid }) =>
      carriers.find((carrier) => !avoid.has(carrier)),
    begin: () => ({
      lost: new AbortController().signal,
      recordBytes() {},
      recordFailure() {},
      end() {},
    }),
    recordCarrierFailure: (address) => failures.push(address),
    recordCarrierUnreached: (address) => unreached.push(address),
    isCutOff: () => false,
    isOutOfReach: () => false,
  };
}

/** A host that carries exchanges with one endpoint. */
export interface Carrier {
  address: string;
  carrier: ExchangeCarrier;
  /** What it has recorded of the endpoint. */
  reports: { report: EndpointReport; sent_ms: number | undefined }[];
  /** Time for which the endpoint wants none of its requests. */
  pause_ms: number;
  /** Whether the endpoint is cold. */
  isCold: boolean;
  isShuttingDown: boolean;
  /** Closes all its connections, as when its process ends. */
  kill: () => void;
}

/** Starts a host that carries exchanges. */
export async function startCarrier(
  t: TestContext,
  endpoint: RouteEndpoint,
  { max_connections = 100, routes = routesThrough([]), isEvacuated }: {
    max_connections?: number;
    routes?: EndpointRoutes;
    isEvacuated?: (endpoint: RouteEndpoint) => boolean;
  } = {},
): Promise<Carrier> {
  const agents = new EndpointAgents(() => 1);
  const pool: RoutePool = {
    name: endpoint.pool,
    max_connections,
    batch: undefined,
    model_engine: false,
  };
  const limits = () => createBodyLimits({ max_bytes: MAX_BYTES, log });
  const host: Carrier = {
    address: "",
    reports: [],
    pause_ms: 0,
    isCold: false,
    isShuttingDown: false,
    carrier: new ExchangeCarrier({
      codec: deploymentCodec,
      routes,
      agents,
      pool: () => pool,
      endpointAt: (address) =>
        address === endpoint.address ? endpoint : undefined,
      reports: {
        record: (_endpoint, report, sent_ms) =>
          host.reports.push({ report, sent_ms }),
        pauseMs: () => host.pause_ms,
      },
      ...(isEvacuated && { isEvacuated }),
      isCold: () => host.isCold,
      isShuttingDown: () => host.isShuttingDown,
      requestLimits: limits(),
      responseLimits: limits(),
      onResult: () => {},
      log,
      now,
    }),
    kill() {
      server.close();
      server.closeAllConnections();
      agents.close();
    },
  };
  const server = createServer(
    { maxHeaderSize: MAX_HEAD_BYTES, noDelay: true },
    (request, response) => void host.carrier.serve(request, response),
  );
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  t.after(() => host.kill());
  host.address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
  return host;
}

/** A host that sends through the given routes. */
export function createSender(
  t: TestContext,
  routes: EndpointRoutes,
  options: { mayBeCarried?: (endpoint: RouteEndpoint) => boolean } = {},
) {
  const carriers = new CarrierConnections();
  const agents = new EndpointAgents(() => 1);
  t.after(() => {
    carriers.close();
    agents.close();
  });
  const results: CarriedResult[] = [];
  const send = createEndpointSender({
    routes,
    carriers,
    ...options,
    onCarried: (result) => results.push(result),
  });
  return {
    carriers,
    results,
    send(
      endpoint: RouteEndpoint,
      request: Partial<EndpointRequest> = {},
    ): Promise<ExchangeResult> {
      const { signal } = new AbortController();
      return send(endpoint, () => ({
        address: endpoint.address,
        agent: agents.agentFor(endpoint.address, 100),
        method: "POST",
        target: "/x",
        headers: requestHeaders(endpoint, request.body),
        body: undefined,
        attempt_id: ATTEMPT_ID,
        signal,
        ...request,
      }));
    },
  };
}

/** Headers of a request to a stand-in endpoint. */
export function requestHeaders(
  { address }: RouteEndpoint,
  body?: Buffer,
): RawHeaders {
  return [
    "Host",
    address,
    "X-Attempt-Id",
    ATTEMPT_ID,
    "Content-Length",
    String(body?.length ?? 0),
  ];
}
