/** The evacuation of an availability zone, as hosts read it and pass it on. */
import { z } from "zod";
import { isCount } from "../store_sync/feed_position.ts";
import { headerNameSchema } from "../store_sync/sound_values.ts";

/** A request of the operator to send nothing more to a zone. */
export interface Evacuation {
  zone: string;
}

const evacuationSchema = z.object({ zone: headerNameSchema });

/** The evacuation that a value describes; undefined if it describes none. */
export function readEvacuation(value: unknown): Evacuation | undefined {
  return evacuationSchema.safeParse(value).data;
}

/** Time after which a caller may retry while all zones of a pool are evacuated. */
export const EVACUATED_RETRY_AFTER_MS = 1_000;

/** Most zones that a peer may report. */
const MAX_ZONES = 1_000;

const countSchema = z.custom<number>(isCount);

/** What a host knows of evacuations, for peers that can't reach the store. */
export const evacuationReportSchema = z.object({
  zones: z.array(headerNameSchema).max(MAX_ZONES),
  /** Whether the host receives changes from its source now. */
  fresh: z.boolean(),
  /** Position of the store as of which it is; the epoch if it is known. */
  revision: countSchema,
  epoch: countSchema.optional(),
});

/** See {@linkcode evacuationReportSchema}. */
export type EvacuationReport = z.infer<typeof evacuationReportSchema>;
