/**
 * Schema version 1: flat fields, durations in milliseconds, and references by
 * name within the record's own fleet.
 */
import { z } from "zod";
import { addressSchema } from "../settings/settings.ts";
import {
  digestSchema,
  MAX_STAGES_PER_PIPELINE,
  nameSchema,
  pathSchema,
  zoneSchema,
} from "./schema_common.ts";
import { type AnyRecord, EndpointProtocol, RecordKind } from "./types.ts";

const commonFields = {
  schema_version: z.literal(1),
  fleet: nameSchema,
  name: nameSchema,
};

const PERCENT = 100;
const DEFAULT_ATTEMPT_TIMEOUT_MS = 10_000;
const DEFAULT_PROGRESS_TIMEOUT_MS = 2_000;

const pipeline = z.strictObject({
  ...commonFields,
  kind: z.literal(RecordKind.Pipeline),
  deadline_ms: z.int().positive(),
  stages: z.array(z.strictObject({
    name: nameSchema,
    pool: nameSchema,
    idempotent: z.boolean().optional(),
  })).min(1).max(MAX_STAGES_PER_PIPELINE),
}).transform((record): AnyRecord => ({
  kind: RecordKind.Pipeline,
  fleet: record.fleet,
  name: record.name,
  deadline_ms: record.deadline_ms,
  stages: record.stages.map((stage) => ({
    name: stage.name,
    pool: { fleet: record.fleet, name: stage.pool },
    idempotent: stage.idempotent ?? false,
  })),
}));

const rank = z.strictObject({
  ...commonFields,
  kind: z.literal(RecordKind.Rank),
  priority: z.int().min(0).max(99),
  guaranteed_percent: z.number().min(0).max(PERCENT),
}).transform((record): AnyRecord => ({
  kind: RecordKind.Rank,
  fleet: record.fleet,
  name: record.name,
  priority: record.priority,
  guaranteed_share: record.guaranteed_percent / PERCENT,
}));

const organisation = z.strictObject({
  ...commonFields,
  kind: z.literal(RecordKind.Organisation),
  key_sha256: z.array(digestSchema),
  requests_per_second: z.number().positive(),
  burst_requests: z.int().positive(),
}).transform((record): AnyRecord => ({
  kind: RecordKind.Organisation,
  fleet: record.fleet,
  name: record.name,
  key_hashes: record.key_sha256,
  requests_per_second: record.requests_per_second,
  burst_requests: record.burst_requests,
  fleets: [record.fleet],
}));

const endpointPool = z.strictObject({
  ...commonFields,
  kind: z.literal(RecordKind.EndpointPool),
  protocol: z.enum(EndpointProtocol),
  path: pathSchema,
  model: z.string().optional(),
  attempt_timeout_ms: z.int().positive().optional(),
  progress_timeout_ms: z.int().positive().optional(),
  echoes_request_id: z.boolean().optional(),
  refusal_means_not_run: z.boolean().optional(),
  desired_model: z.string().min(1).optional(),
}).transform((record): AnyRecord => ({
  kind: RecordKind.EndpointPool,
  fleet: record.fleet,
  name: record.name,
  protocol: record.protocol,
  path: record.path,
  model: record.model ?? record.name,
  attempt_timeout_ms: record.attempt_timeout_ms ?? DEFAULT_ATTEMPT_TIMEOUT_MS,
  progress_timeout_ms: record.progress_timeout_ms ??
    DEFAULT_PROGRESS_TIMEOUT_MS,
  echoes_request_id: record.echoes_request_id ?? false,
  refusal_means_not_run: record.refusal_means_not_run ?? false,
  desired_model: record.desired_model,
}));

const endpoint = z.strictObject({
  ...commonFields,
  kind: z.literal(RecordKind.Endpoint),
  pool: nameSchema,
  address: addressSchema,
  availability_zone: zoneSchema,
  slots: z.int().positive(),
  leaving: z.boolean().optional(),
  checks_fencing: z.boolean().optional(),
}).transform((record): AnyRecord => ({
  kind: RecordKind.Endpoint,
  fleet: record.fleet,
  name: record.name,
  pool: { fleet: record.fleet, name: record.pool },
  address: record.address,
  availability_zone: record.availability_zone,
  slots: record.slots,
  leaving: record.leaving ?? false,
  checks_fencing: record.checks_fencing ?? false,
}));

const evacuation = z.strictObject({
  ...commonFields,
  kind: z.literal(RecordKind.Evacuation),
  zone: zoneSchema,
}).transform(({ kind, fleet, name, zone }): AnyRecord => ({
  kind,
  fleet,
  name,
  zone,
}));

/** The schema of each record kind; parsing gives the internal form. */
export const schemasV1: Record<RecordKind, z.ZodType<AnyRecord>> = {
  [RecordKind.Pipeline]: pipeline,
  [RecordKind.Rank]: rank,
  [RecordKind.Organisation]: organisation,
  [RecordKind.EndpointPool]: endpointPool,
  [RecordKind.Endpoint]: endpoint,
  [RecordKind.Evacuation]: evacuation,
};
