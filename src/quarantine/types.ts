/** Messages about endpoints that crash and about quarantined prompt parts. */
import { createHash } from "node:crypto";
import { z } from "zod";

const partsSchema = z.array(z.string());

/** The requests of one host that an endpoint held when it crashed. */
export const crashReportSchema = z.object({
  /** Address of the endpoint, as `ip:port`. */
  address: z.string(),
  requests: z.array(z.object({
    attempt_id: z.string(),
    /** Traits of the request; the endpoint did not begin to answer it. */
    parts: partsSchema,
    /** Age of the send at the time of the report, in milliseconds. */
    sent_ago_ms: z.number().nonnegative().optional(),
    /** Time since the send broke, in milliseconds. */
    broke_ago_ms: z.number().nonnegative().optional(),
  })),
});

/** Prompt parts that together crash endpoints. */
export const quarantinedPartsSchema = z.object({
  /** A request that has all of these parts is rejected. */
  parts: partsSchema.min(1),
  /** Number of requests that were let through as a test. */
  probes: z.int().nonnegative(),
});

/** What a ledger replies to a report. */
export const crashReplySchema = z.object({
  /** Parts that are suspected. */
  suspects: partsSchema,
  /** Entries that the reported requests fall under. */
  quarantined: z.array(quarantinedPartsSchema),
});

/** What a host replies to a notice: its parts that got answers. */
export const noticeReplySchema = partsSchema;

/** Kinds of {@linkcode QuarantineNotice}. */
export enum NoticeKind {
  /** Asks which prompt parts endpoints have answered lately. */
  AskAnswered = "ask_answered",
  Quarantine = "quarantine",
  Release = "release",
}

/** A message to every host. */
export const quarantineNoticeSchema = z.discriminatedUnion("kind", [
  z.object({
    kind: z.literal(NoticeKind.AskAnswered),
    questions: z.array(z.object({
      part: z.string(),
      /** Age up to which an answer counts, in milliseconds. */
      within_ms: z.number(),
      /** Where requests with it crashed endpoints; the next goes elsewhere. */
      addresses: z.array(z.string()).optional(),
    })),
  }),
  z.object({
    kind: z.literal(NoticeKind.Quarantine),
    quarantined: quarantinedPartsSchema,
    /** Age up to which an answer contradicts the notice, in milliseconds. */
    within_ms: z.number(),
  }),
  z.object({ kind: z.literal(NoticeKind.Release), name: z.string() }),
]);

/** The requests of one host that an endpoint held when it crashed. */
export type CrashReport = z.infer<typeof crashReportSchema>;
/** Prompt parts that together crash endpoints. */
export type QuarantinedParts = z.infer<typeof quarantinedPartsSchema>;
/** What a ledger replies to a report. */
export type CrashReply = z.infer<typeof crashReplySchema>;

/** A message to every host. */
export type QuarantineNotice = z.infer<typeof quarantineNoticeSchema>;

/** The entries among values from the store or from another host. */
export function readEntries(values: readonly unknown[]): QuarantinedParts[] {
  return values.map((value) => quarantinedPartsSchema.safeParse(value).data)
    .filter((entry) => entry !== undefined);
}

const NAME_LENGTH = 32;

/** Name of quarantined parts, the same on every host and in the store. */
export function quarantineName(parts: readonly string[]): string {
  return createHash("sha256").update([...parts].sort().join()).digest("hex")
    .slice(0, NAME_LENGTH);
}
