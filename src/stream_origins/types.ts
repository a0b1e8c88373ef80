/** Types of what is known of the start of streams that may be resumed. */
import { z } from "zod";
import { MAX_NAME_LENGTH } from "../store_sync/sound_values.ts";

/** Longest id of an attempt with its organisation, in characters. */
const MAX_KEY_LENGTH = 1_024;

/** Which software version wrote the first event of a stream. */
export const streamOriginSchema = z.object({
  /** Organisation and id of the attempt that brought the first event. */
  key: z.string().max(MAX_KEY_LENGTH),
  pool: z.string().max(MAX_NAME_LENGTH),
  /** Empty if the endpoint names none. */
  version: z.string().max(MAX_NAME_LENGTH),
  /** How often its host has corrected it; 0 if missing. */
  corrections: z.int().nonnegative().optional(),
});

/** Which software version wrote the first event of a stream. */
export type StreamOrigin = z.infer<typeof streamOriginSchema>;

/** Most versions of a pool that are read. */
const MAX_VERSIONS = 1_000;

/** The versions of a pool that have lately been in service, as they are stored. */
export const poolVersionsSchema = z.object({
  pool: z.string().max(MAX_NAME_LENGTH),
  /** In alphabetical order. */
  versions: z.array(z.string().max(MAX_NAME_LENGTH)).min(1).max(MAX_VERSIONS),
});

/** The versions of a pool that have lately been in service, as they are stored. */
export type PoolVersions = z.infer<typeof poolVersionsSchema>;

/** Most groups of a batch, and most streams of a group, that are read. */
const MAX_GROUPS = 1_000;
const MAX_KEYS = 2_000;
const MAX_HASH_LENGTH = 64;

/** Records of streams as they are stored: by version, with hashes as keys. */
export const originBatchSchema = z.array(z.object({
  pool: z.string().max(MAX_NAME_LENGTH),
  /** Null if it isn't known. */
  version: z.string().max(MAX_NAME_LENGTH).nullable(),
  keys: z.array(z.string().max(MAX_HASH_LENGTH)).max(MAX_KEYS),
})).max(MAX_GROUPS);

/** Records of streams as they are stored: by version, with hashes as keys. */
export type OriginBatch = z.infer<typeof originBatchSchema>;

/** Where the version of a stream is known from; the values are logged. */
export enum OriginSource {
  /** This host relayed the first event, or resumed the stream before. */
  Own = "own",
  /** A host that keeps a copy. */
  Keeper = "keeper",
  /** The store, which outlasts all hosts. */
  Stored = "stored",
  /** No other version was in service in the life of the stream. */
  OnlyVersion = "only_version",
}

/** Where a stream must go on; undefined if that isn't known. */
export type ResolvedOrigin =
  | { pool: string; version: string; source: OriginSource }
  | undefined;
