/** The procedures that gateway hosts call on one another, but for jobs. */
import { initTRPC } from "@trpc/server";
import type {
  ChangeRevisions,
  StateSnapshot,
} from "../store_sync/state_snapshot.ts";

/** What a host does when it is called. */
export interface GatewayRpcHandlers {
  /** Whether the host batches pieces; a leaving one does not. */
  isBatching: () => boolean;
  snapshot: () => StateSnapshot;
  changeRevisions: () => ChangeRevisions;
}

const trpc = initTRPC.create();

/** Creates the router over a host's handlers. */
export function createGatewayRpcRouter(handlers: GatewayRpcHandlers) {
  return trpc.router({
    ping: trpc.procedure.query(() => handlers.isBatching()),
    progress: trpc.procedure.query(() => handlers.changeRevisions()),
    beliefs: trpc.procedure.query(() => handlers.snapshot()),
  });
}

/** The router's type, for clients. */
export type GatewayRpcRouter = ReturnType<typeof createGatewayRpcRouter>;
