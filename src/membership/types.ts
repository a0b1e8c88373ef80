/** Heartbeats that entry hosts exchange. */
import { z } from "zod";
import { addressSchema } from "../settings/settings.ts";

/** An organisation's request rate at one host. */
export const demandSchema = z.strictObject({
  /** Formatted identity. */
  organisation: z.string(),
  requests_per_second: z.number().nonnegative(),
});

/** Another host known to the sender of a heartbeat. */
export const knownMemberSchema = z.strictObject({
  address: addressSchema,
  callers_address: addressSchema,
  incarnation: z.string(),
  /** Time since any host received a heartbeat directly from it. */
  age_ms: z.number().nonnegative(),
});

/** One host's description of itself. */
export const heartbeatSchema = z.strictObject({
  /** Address for peers, as `ip:port`. */
  address: addressSchema,
  callers_address: addressSchema,
  /** Changes with every start of the process. */
  incarnation: z.string(),
  generation: z.int().nonnegative(),
  draining: z.boolean(),
  demand: z.array(demandSchema),
  known: z.array(knownMemberSchema),
});

/** One host's description of itself. */
export type Heartbeat = z.infer<typeof heartbeatSchema>;
/** An organisation's request rate at one host. */
export type Demand = z.infer<typeof demandSchema>;
/** Another host known to the sender of a heartbeat. */
export type KnownMember = z.infer<typeof knownMemberSchema>;
