/**
 * tRPC procedures that entry hosts and operators call on an entry host. A bearer
 * secret authenticates the role of the caller.
 */
import { initTRPC, TRPCError } from "@trpc/server";
import { z } from "zod";
import {
  type ClaimReply,
  claimRequestSchema,
  outcomeReportSchema,
} from "../claims/types.ts";
import type { ClaimRequest, OutcomeReport } from "../claims/types.ts";
import type { AcceptedConfiguration } from "../configuration/accepted_configuration.ts";
import { type Heartbeat, heartbeatSchema } from "../membership/types.ts";
import type { HostStatus } from "./host_status.ts";

/** Role of a caller. */
export enum CallerRole {
  Peer = "peer",
  Operator = "operator",
  /** No valid secret. */
  Unauthenticated = "stranger",
}

/** Context of a call. */
export interface PeerRpcContext {
  role: CallerRole;
}

/** Handlers of the procedures. */
export interface PeerRpcHandlers {
  /** Records a peer's heartbeat and returns this host's own. */
  heartbeat(heartbeat: Heartbeat): Heartbeat;
  /** This host's configuration; undefined before the first. */
  configuration(): AcceptedConfiguration | undefined;
  /** Marks an endpoint as leaving, as a peer reports it. */
  endpointLeaving(endpoint: { fleet: string; name: string }): void;
  claim(request: ClaimRequest): Promise<ClaimReply>;
  recordOutcome(outcome: OutcomeReport): void;
  status(): HostStatus;
  /** Starts the shutdown and returns at once. */
  drain(): void;
}

const trpc = initTRPC.context<PeerRpcContext>().create();

function procedureFor(role: CallerRole) {
  return trpc.procedure.use(({ ctx, next }) => {
    if (ctx.role === role) return next();
    throw new TRPCError({
      code: "UNAUTHORIZED",
      message: `The call needs the ${role} secret`,
    });
  });
}

const peer = procedureFor(CallerRole.Peer);
const operator = procedureFor(CallerRole.Operator);

/** Creates the tRPC router. */
export function createPeerRpcRouter(handlers: PeerRpcHandlers) {
  return trpc.router({
    heartbeat: peer.input(heartbeatSchema).mutation(({ input }) =>
      handlers.heartbeat(input)
    ),
    configuration: peer.query(() => handlers.configuration() ?? null),
    endpointLeaving: peer
      .input(z.strictObject({ fleet: z.string(), name: z.string() }))
      .mutation(({ input }) => handlers.endpointLeaving(input)),
    claim: peer.input(claimRequestSchema).mutation(({ input }) =>
      handlers.claim(input)
    ),
    recordOutcome: peer.input(outcomeReportSchema).mutation(({ input }) =>
      handlers.recordOutcome(input)
    ),
    status: operator.query(() => handlers.status()),
    drain: operator.mutation(() => handlers.drain()),
  });
}

/** Type of the router, for typed clients. */
export type PeerRpcRouter = ReturnType<typeof createPeerRpcRouter>;
