/** What entry hosts tell one another about themselves. */
import { z } from "zod";
import { addressSchema } from "../settings/settings.ts";

/** An organisation's demand at one host. */
export const demandSchema = z.strictObject({
  /** Identity text. */
  organisation: z.string(),
  requests_per_second: z.number().nonnegative(),
});

/** A host that the sender knows. */
export const knownMemberSchema = z.strictObject({
  address: addressSchema,
  callers_address: addressSchema,
  incarnation: z.string(),
  /** Time since the host was heard, by anyone, directly. */
  age_ms: z.number().nonnegative(),
});

/** One host's description of itself. */
export const heartbeatSchema = z.strictObject({
  /** Address for peers. */
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
/** An organisation's demand at one host. */
export type Demand = z.infer<typeof demandSchema>;
/** A host that the sender knows. */
export type KnownMember = z.infer<typeof knownMemberSchema>;
