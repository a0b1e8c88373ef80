/** The procedures that gateway hosts call on one another, but for jobs. */
import { initTRPC } from "@trpc/server";
import type {
  SharedBeliefs,
  SharedProgress,
} from "../beliefs/shared_beliefs.ts";

/** What a host does when it is called. */
export interface GatewayHandlers {
  /** Whether the host batches pieces; a leaving one does not. */
  batches: () => boolean;
  beliefs: () => SharedBeliefs;
  progress: () => SharedProgress;
}

const trpc = initTRPC.create();

/** Creates the router over a host's handlers. */
export function createGatewayRouter(handlers: GatewayHandlers) {
  return trpc.router({
    ping: trpc.procedure.query(() => handlers.batches()),
    progress: trpc.procedure.query(() => handlers.progress()),
    beliefs: trpc.procedure.query(() => handlers.beliefs()),
  });
}

/** The router's type, for clients. */
export type GatewayRouter = ReturnType<typeof createGatewayRouter>;
