/** tRPC procedures between gateway hosts; jobs use plain HTTP instead. */
import { initTRPC } from "@trpc/server";
import { z } from "zod";
import {
  type EndpointNotice,
  endpointNoticeSchema,
} from "../endpoint_reports/endpoint_notices.ts";
import {
  type PlaceReply,
  type PlaceReport,
  placeReportSchema,
  type PlaceRequest,
  placeRequestSchema,
  type RampNews,
} from "../endpoint_places/types.ts";
import { registeredHostSchema } from "../cold_endpoints/awareness.ts";
import type { RegisteredHost } from "../cold_endpoints/host_standing.ts";
import type { PoolLoadReport } from "../batching/pool_load_report.ts";
import type { NoticeRoute } from "../quarantine/quarantine_notices.ts";
import type { ListenerCheck } from "../quarantine/probe_endpoint.ts";
import {
  type CrashReply,
  type CrashReport,
  crashReportSchema,
  type QuarantineNotice,
  quarantineNoticeSchema,
} from "../quarantine/types.ts";
import {
  type PermitReply,
  type PermitRequest,
  permitRequestSchema,
} from "../rate_limits/types.ts";
import type { AskedEndpoint } from "../reachability/reachable_endpoints.ts";
import { reachedQuestionSchema } from "../reachability/reached_question.ts";
import type { ReachedAge } from "../reachability/types.ts";
import {
  type StreamOrigin,
  streamOriginSchema,
} from "../stream_origins/types.ts";
import type { VersionReport } from "../stream_origins/version_history.ts";
import type {
  ChangeRevisions,
  StateSnapshot,
} from "../store_sync/state_snapshot.ts";

/** Handlers of the procedures. */
export interface GatewayRpcHandlers {
  /** Whether the host forms batches, which it does while it is ready. */
  isBatching: () => boolean;
  /** Reports the load of a pool, or of one shard of it. */
  reportLoad: (queue: { pool: string; shard?: string }) => PoolLoadReport;
  /** Reports how long ago bytes came to this host directly from endpoints. */
  reportReached: (endpoints: AskedEndpoint[]) => Promise<ReachedAge[]>;
  /** Whether this host lists another one among the registered hosts. */
  lists: (host: RegisteredHost) => boolean;
  snapshot: () => StateSnapshot;
  changeRevisions: () => ChangeRevisions;
  /** Keeps copies of records of streams. */
  handleOrigins: (origins: StreamOrigin[]) => void;
  /** This host's record of a stream; null if it has none. */
  findOrigin: (key: string) => StreamOrigin | null;
  /** Reports which software versions have been in service, up to now if it can. */
  reportVersions: () => Promise<VersionReport>;
  /** Handles a report as a ledger. */
  handleCrashReport: (report: CrashReport) => Promise<CrashReply>;
  /** Handles answers to requests with quarantined prompt parts. */
  handleAnsweredParts: (parts: string[]) => Promise<void>;
  /** Tries to connect to an endpoint's address. */
  checkListener: (address: string) => Promise<ListenerCheck>;
  /** Handles, as the issuer, a request for a permit to send a request. */
  handlePermitRequest: (request: PermitRequest) => PermitReply;
  /** Handles, as the issuer, a request for a place at an endpoint. */
  handlePlaceRequest: (request: PlaceRequest) => Promise<PlaceReply>;
  /** Handles, as the issuer, a report of the places that a host holds. */
  handlePlaceReport: (report: PlaceReport) => void;
  /** The ramp-ups that this host knows of. */
  reportRamps: () => RampNews[];
  /** Tells all hosts what an endpoint has begun to say of itself. */
  handleEndpointReport: (notice: EndpointNotice) => void;
  /** Passes the notice on to the targets. */
  handleEndpointNotice: (notice: EndpointNotice, targets: string[]) => void;
  /** Passes the notice on to the targets; resolves to parts that got answers. */
  handleNotice: (
    notice: QuarantineNotice,
    route: NoticeRoute,
  ) => Promise<string[]>;
}

const queueSchema = z.object({
  pool: z.string(),
  /** Undefined if the pool has no shards. */
  shard: z.string().optional(),
});

const noticeRouteSchema = z.object({
  /** Addresses of the hosts to which the notice is passed on. */
  targets: z.array(z.string()),
  /** Time in which the reply is awaited, in milliseconds. */
  wait_ms: z.number(),
});

const trpc = initTRPC.create();

/** Creates the tRPC router. */
export function createGatewayRpcRouter(handlers: GatewayRpcHandlers) {
  return trpc.router({
    ping: trpc.procedure.query(() => handlers.isBatching()),
    load: trpc.procedure.input(queueSchema)
      .query(({ input }) => handlers.reportLoad(input)),
    // In a body, as the names would make a long path.
    reached: trpc.procedure.input(reachedQuestionSchema)
      .mutation(({ input }) => handlers.reportReached(input)),
    lists: trpc.procedure.input(registeredHostSchema)
      .query(({ input }) => handlers.lists(input)),
    progress: trpc.procedure.query(() => handlers.changeRevisions()),
    beliefs: trpc.procedure.query(() => handlers.snapshot()),
    keep_origins: trpc.procedure.input(z.array(streamOriginSchema))
      .mutation(({ input }) => handlers.handleOrigins(input)),
    origin: trpc.procedure.input(streamOriginSchema.shape.key)
      .query(({ input }) => handlers.findOrigin(input)),
    versions: trpc.procedure.query(() => handlers.reportVersions()),
    crash: trpc.procedure.input(crashReportSchema)
      .mutation(({ input }) => handlers.handleCrashReport(input)),
    answered: trpc.procedure.input(z.array(z.string()))
      .mutation(({ input }) => handlers.handleAnsweredParts(input)),
    listener: trpc.procedure.input(z.string())
      .query(({ input }) => handlers.checkListener(input)),
    permit: trpc.procedure.input(permitRequestSchema)
      .mutation(({ input }) => handlers.handlePermitRequest(input)),
    place: trpc.procedure.input(placeRequestSchema)
      .mutation(({ input }) => handlers.handlePlaceRequest(input)),
    ramps: trpc.procedure.query(() => handlers.reportRamps()),
    places: trpc.procedure.input(placeReportSchema)
      .mutation(({ input }) => handlers.handlePlaceReport(input)),
    limit_report: trpc.procedure.input(endpointNoticeSchema)
      .mutation(({ input }) => handlers.handleEndpointReport(input)),
    limit: trpc.procedure
      .input(endpointNoticeSchema.extend({ targets: z.array(z.string()) }))
      .mutation(({ input: { targets, ...notice } }) =>
        handlers.handleEndpointNotice(notice, targets)
      ),
    notice: trpc.procedure
      .input(noticeRouteSchema.extend({ notice: quarantineNoticeSchema }))
      .mutation(({ input: { notice, ...route } }) =>
        handlers.handleNotice(notice, route)
      ),
  });
}

/** Type of the router, for typed clients. */
export type GatewayRpcRouter = ReturnType<typeof createGatewayRpcRouter>;
