/** Schemas that both record schema versions use. */
import { z } from "zod";

/** The name of a fleet or record. */
export const nameSchema = z.string().regex(/^[a-z0-9][a-z0-9-]{0,62}$/, {
  message: "The name is not lower-case letters, digits and hyphens",
});

/** A reference to a record: `{ fleet, name }`. */
export const identitySchema = z.strictObject({
  fleet: nameSchema,
  name: nameSchema,
});

/** A SHA-256 digest in lower-case hexadecimal. */
export const digestSchema = z.string().regex(/^[0-9a-f]{64}$/, {
  message: "The value is not a SHA-256 digest in hexadecimal",
});

/** The name of an availability zone. */
export const zoneSchema = z.string().min(1);

/** The path of an HTTP request. */
export const pathSchema = z.string().startsWith("/");

/** Maximum number of stages of a pipeline. */
export const MAX_STAGES_PER_PIPELINE = 16;
