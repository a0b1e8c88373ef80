/** The procedures that gateway hosts call on one another. */
import { initTRPC, TRPCError } from "@trpc/server";
import { z } from "zod";
import type { FreedResults, JobOutcome, StageJob } from "../batching/types.ts";
import type { SharedBeliefs } from "../beliefs/shared_beliefs.ts";

/** What a host does when it is called. */
export interface GatewayHandlers {
  /** Whether the host gathers pieces; a leaving one does not. */
  gathers: () => boolean;
  run: (job: StageJob, signal: AbortSignal) => Promise<JobOutcome>;
  free: (freed: FreedResults[]) => void;
  beliefs: () => SharedBeliefs;
}

const pieceSchema = z.object({
  index: z.number(),
  key: z.string().optional(),
  inputs: z.array(z.string()).optional(),
});

const freedSchema = z.object({
  pool: z.string(),
  address: z.string(),
  handles: z.array(z.string()),
  spare: z.boolean().optional(),
});

const jobSchema = z.object({
  attempt_id: z.string(),
  pool: z.string(),
  stage: z.number(),
  pieces: z.array(pieceSchema),
  result_bytes: z.number(),
  priority: z.number(),
  due_in_ms: z.number(),
  expires_in_ms: z.number(),
  home_zone: z.string().optional(),
  input_bytes: z.number(),
  last_read: z.array(freedSchema),
});

const trpc = initTRPC.create();

/** Creates the router over a host's handlers. */
export function createGatewayRouter(handlers: GatewayHandlers) {
  const assertGathers = () => {
    if (handlers.gathers()) return;
    throw new TRPCError({ code: "PRECONDITION_FAILED", message: "leaving" });
  };
  return trpc.router({
    run: trpc.procedure.input(jobSchema).mutation(({ input, signal }) => {
      assertGathers();
      const job: StageJob = {
        ...input,
        home_zone: input.home_zone,
        pieces: input.pieces.map(({ index, key, inputs }) => ({
          index,
          key,
          inputs,
        })),
      };
      return handlers.run(job, signal ?? new AbortController().signal);
    }),
    free: trpc.procedure.input(z.array(freedSchema)).mutation(({ input }) =>
      handlers.free(input)
    ),
    ping: trpc.procedure.query(() => assertGathers()),
    beliefs: trpc.procedure.query(() => handlers.beliefs()),
  });
}

/** The router's type, for clients. */
export type GatewayRouter = ReturnType<typeof createGatewayRouter>;
