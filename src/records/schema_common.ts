/** Schema parts that both versions of the records share. */
import { z } from "zod";

/** A fleet's or a record's name. */
export const nameSchema = z.string().regex(/^[a-z0-9][a-z0-9-]{0,62}$/, {
  message: "The name is not lower-case letters, digits and hyphens",
});

/** Identity as a field: `{ fleet, name }`. */
export const identitySchema = z.strictObject({
  fleet: nameSchema,
  name: nameSchema,
});

/** A SHA-256 digest in lower-case hexadecimal. */
export const digestSchema = z.string().regex(/^[0-9a-f]{64}$/, {
  message: "The value is not a SHA-256 digest in hexadecimal",
});

/** The path of an HTTP call. */
export const pathSchema = z.string().startsWith("/");

/** Number of stages that a pipeline may have. */
export const MAX_STAGES_PER_PIPELINE = 16;
