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

/** An entry host's description of itself, which it sends to its peers. */
export const heartbeatSchema = z.strictObject({
  /** Address for peers, as `ip:port`. */
  address: addressSchema,
  callers_address: addressSchema,
  /** Changes with every start of the process. */
  incarnation: z.string(),
  /** Generation of the sender's configuration; 0 before the first. */
  generation: z.int().nonnegative(),
  /** Whether the sender is shutting down and takes no new requests. */
  draining: z.boolean(),
  /** Request rates at the sender. */
  demand: z.array(demandSchema),
  /** A random sample of the live members that the sender knows. */
  known: z.array(knownMemberSchema),
});

/** An entry host's description of itself, which it sends to its peers. */
export type Heartbeat = z.infer<typeof heartbeatSchema>;
/** An organisation's request rate at one host. */
export type Demand = z.infer<typeof demandSchema>;
/** Another host known to the sender of a heartbeat. */
export type KnownMember = z.infer<typeof knownMemberSchema>;
