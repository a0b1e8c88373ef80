/** tRPC procedures between gateway hosts; jobs use plain HTTP instead. */
import { initTRPC } from "@trpc/server";
import type {
  ChangeRevisions,
  StateSnapshot,
} from "../store_sync/state_snapshot.ts";

/** Handlers of the procedures. */
export interface GatewayRpcHandlers {
  /** Whether the host forms batches, which it does while it is ready. */
  isBatching: () => boolean;
  snapshot: () => StateSnapshot;
  changeRevisions: () => ChangeRevisions;
}

const trpc = initTRPC.create();

/** Creates the tRPC router. */
export function createGatewayRpcRouter(handlers: GatewayRpcHandlers) {
  return trpc.router({
    ping: trpc.procedure.query(() => handlers.isBatching()),
    progress: trpc.procedure.query(() => handlers.changeRevisions()),
    beliefs: trpc.procedure.query(() => handlers.snapshot()),
  });
}

/** Type of the router, for typed clients. */
export type GatewayRpcRouter = ReturnType<typeof createGatewayRpcRouter>;
