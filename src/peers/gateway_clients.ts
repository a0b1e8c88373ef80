/** Clients of other gateway hosts, one for each address. */
import {
  createTRPCClient,
  httpLink,
  type TRPCClient,
  TRPCClientError,
} from "@trpc/client";
import { z } from "zod";
import type { BatcherPeers } from "../batching/job_router.ts";
import type { PoolLoadReport } from "../batching/pool_load_report.ts";
import type { FreedResults, JobOutcome, StageJob } from "../batching/types.ts";
import type {
  ChangeRevisions,
  StateSnapshot,
} from "../store_sync/state_snapshot.ts";
import { readEndpoint } from "../store_sync/sound_values.ts";
import { formatAddress, parseAddress } from "../settings/settings.ts";
import { HttpClient } from "../utils/http_client.ts";
import { createHttpFetch } from "../utils/http_fetch.ts";
import { FREED_PATH, JOB_PATH } from "./job_messages.ts";
import type {
  EndpointNotice,
  EndpointNoticePeers,
} from "../endpoint_reports/endpoint_notices.ts";
import type { EndpointPlacesPeers } from "../endpoint_places/endpoint_places.ts";
import {
  type PlaceReply,
  type PlaceReport,
  type PlaceRequest,
  type RampNews,
  rampNewsSchema,
} from "../endpoint_places/types.ts";
import type { NoticeRoute } from "../quarantine/quarantine_notices.ts";
import type { ListenerCheck } from "../quarantine/probe_endpoint.ts";
import type { QuarantinePeers } from "../quarantine/quarantine_service.ts";
import type {
  CrashReply,
  CrashReport,
  QuarantineNotice,
} from "../quarantine/types.ts";
import type { AwarenessPeers } from "../cold_endpoints/awareness.ts";
import type { RegisteredHost } from "../cold_endpoints/host_standing.ts";
import type { RateLimitPeers } from "../rate_limits/rate_limit_service.ts";
import type { PermitReply, PermitRequest } from "../rate_limits/types.ts";
import type { ReachabilityPeers } from "../reachability/reachability_service.ts";
import type { AskedEndpoint } from "../reachability/reachable_endpoints.ts";
import type { KnownVersionsPeers } from "../stream_origins/known_versions.ts";
import type { StreamOriginPeers } from "../stream_origins/stream_origin_service.ts";
import type { StreamOrigin } from "../stream_origins/types.ts";
import type { VersionReport } from "../stream_origins/version_history.ts";
import type { GatewayRpcRouter } from "./gateway_rpc_router.ts";

/** Timeout of calls that the peer answers without waiting. */
const QUICK_CALL_TIMEOUT_MS = 400;
/** Upper bound for a job; the caller's signal usually aborts it earlier. */
const JOB_TIMEOUT_MS = 60_000;

const HTTP_OK = 200;

interface PeerConnection {
  trpc: TRPCClient<GatewayRpcRouter>;
  /** For jobs and freed results, which do not use tRPC. */
  jobs: HttpClient;
  close: () => void;
}

/**
 * Opens and caches the clients of all gateway hosts. Every call rejects if the
 * host does not respond or responds with an error.
 */
export class GatewayClients
  implements
    AwarenessPeers,
    BatcherPeers,
    EndpointNoticePeers,
    EndpointPlacesPeers,
    QuarantinePeers,
    RateLimitPeers,
    ReachabilityPeers,
    StreamOriginPeers,
    KnownVersionsPeers {
  #connections = new Map<string, PeerConnection>();

  /** Runs a job at another host. */
  async run(
    address: string,
    job: StageJob,
    signal: AbortSignal,
  ): Promise<JobOutcome> {
    const request = { path: JOB_PATH, timeout_ms: JOB_TIMEOUT_MS, signal };
    return await this.#post(address, job, request) as JobOutcome;
  }

  /** Frees results whose memory another host accounts for. */
  async free(address: string, freed: FreedResults[]): Promise<void> {
    const request = { path: FREED_PATH, timeout_ms: QUICK_CALL_TIMEOUT_MS };
    await this.#post(address, freed, request);
  }

  /** Whether the host forms batches, which it does while it is ready. */
  async ping(address: string): Promise<boolean> {
    return await this.#connectionTo(address).trpc.ping.query();
  }

  /** Asks a batcher for the load of a pool or of one shard of it. */
  async loadReport(
    address: string,
    queue: { pool: string; shard?: string },
  ): Promise<PoolLoadReport> {
    return await this.#connectionTo(address).trpc.load.query(queue);
  }

  /** Asks how long ago bytes came to a host directly from endpoints. */
  async askReached(
    address: string,
    endpoints: AskedEndpoint[],
  ): Promise<unknown> {
    return await this.#connectionTo(address).trpc.reached.mutate(endpoints);
  }

  /**
   * Asks whether a host lists another one among the registered hosts; undefined
   * if it is of a release that doesn't know the call.
   */
  async askListed(
    address: string,
    { address: registered, started_ms }: RegisteredHost,
  ): Promise<boolean | undefined> {
    const host = { address: registered, started_ms };
    try {
      return await this.#connectionTo(address).trpc.lists.query(host) === true;
    } catch (error) {
      if (isUnknownCall(error)) return undefined;
      throw error;
    }
  }

  /** Fetches the last change revisions of another host. */
  async changeRevisions(address: string): Promise<ChangeRevisions> {
    return await this.#connectionTo(address).trpc.progress.query();
  }

  /** Fetches another host's copy of the configuration and the endpoints. */
  async snapshot(address: string): Promise<StateSnapshot> {
    const snapshot = await this.#connectionTo(address).trpc.beliefs
      .query() as StateSnapshot;
    const endpoints = snapshot.endpoints.map(readEndpoint)
      .filter((endpoint) => endpoint !== undefined);
    return { ...snapshot, endpoints };
  }

  /** Hands copies of records of streams to a host. */
  async keepOrigins(address: string, origins: StreamOrigin[]): Promise<void> {
    await this.#connectionTo(address).trpc.keep_origins.mutate(origins);
  }

  /** Asks a host for its record of a stream; null if it has none. */
  async askOrigin(address: string, key: string): Promise<StreamOrigin | null> {
    return await this.#connectionTo(address).trpc.origin.query(key);
  }

  /** Asks a host which software versions have been in service. */
  async askVersions(address: string): Promise<VersionReport> {
    return await this.#connectionTo(address).trpc.versions.query();
  }

  /** Reports a crash to a ledger. */
  async reportCrash(
    address: string,
    report: CrashReport,
  ): Promise<CrashReply> {
    return await this.#connectionTo(address).trpc.crash.mutate(report);
  }

  /** Reports answers to requests with quarantined prompt parts to a ledger. */
  async reportAnswered(address: string, parts: string[]): Promise<void> {
    await this.#connectionTo(address).trpc.answered.mutate(parts);
  }

  /** Has a host try to connect to an endpoint's address. */
  async checkListener(host: string, address: string): Promise<ListenerCheck> {
    return await this.#connectionTo(host).trpc.listener.query(address);
  }

  /** Delivers a notice, which the host passes on to the targets. */
  async notify(
    address: string,
    notice: QuarantineNotice,
    route: NoticeRoute,
  ): Promise<string[]> {
    const { trpc } = this.#connectionTo(address);
    return await trpc.notice.mutate({ ...route, notice });
  }

  /** Asks the issuer of an endpoint for a permit to send it a request. */
  async requestPermit(
    address: string,
    request: PermitRequest,
  ): Promise<PermitReply> {
    return await this.#connectionTo(address).trpc.permit.mutate(request);
  }

  /** Asks the issuer of an endpoint for a place there. */
  async requestPlace(
    address: string,
    request: PlaceRequest,
  ): Promise<PlaceReply> {
    return await this.#connectionTo(address).trpc.place.mutate(request);
  }

  /** Reports to the issuer of an endpoint the places that this host holds. */
  async reportPlaces(address: string, report: PlaceReport): Promise<void> {
    await this.#connectionTo(address).trpc.places.mutate(report);
  }

  /** Asks a host for the ramp-ups of endpoints that it knows of. */
  async askRamps(address: string): Promise<RampNews[]> {
    const news = await this.#connectionTo(address).trpc.ramps.query();
    return z.array(rampNewsSchema).parse(news);
  }

  /** Tells the host that tells all others what an endpoint says of itself. */
  async reportEndpoint(address: string, notice: EndpointNotice): Promise<void> {
    await this.#connectionTo(address).trpc.limit_report.mutate(notice);
  }

  /** Tells a host, which passes the notice on to the targets. */
  async announceEndpoint(
    address: string,
    notice: EndpointNotice,
    targets: string[],
  ): Promise<void> {
    const { trpc } = this.#connectionTo(address);
    await trpc.limit.mutate({ ...notice, targets });
  }

  /** Closes every client. */
  close(): void {
    for (const { close } of this.#connections.values()) close();
    this.#connections.clear();
  }

  async #post(
    address: string,
    content: unknown,
    request: { path: string; timeout_ms: number; signal?: AbortSignal },
  ): Promise<unknown> {
    const response = await this.#connectionTo(address).jobs.send({
      ...request,
      method: "POST",
      body: JSON.stringify(content),
    });
    if (response.status === HTTP_OK) return JSON.parse(response.body);
    throw new Error(`The peer responded with status ${response.status}`);
  }

  #connectionTo(address: string): PeerConnection {
    const known = this.#connections.get(address);
    if (known !== undefined) return known;
    const target = parseAddress(address);
    const { fetch, close } = createHttpFetch(target, QUICK_CALL_TIMEOUT_MS);
    const jobs = new HttpClient(target);
    const created = {
      trpc: createTRPCClient<GatewayRpcRouter>({
        links: [httpLink({
          url: `http://${formatAddress(target)}`,
          fetch: fetch as unknown as typeof globalThis.fetch,
        })],
      }),
      jobs,
      close() {
        close();
        jobs.close();
      },
    };
    this.#connections.set(address, created);
    return created;
  }
}

/** Whether a host responded that it has no such procedure. */
function isUnknownCall(error: unknown): boolean {
  return error instanceof TRPCClientError &&
    (error.data as { code?: unknown } | undefined)?.code === "NOT_FOUND";
}
