/**
 * Schema version 2: nested fields, durations in seconds, shares as fractions,
 * and references that may name another fleet.
 */
import { z } from "zod";
import { addressSchema } from "../settings/settings.ts";
import {
  digestSchema,
  identitySchema,
  MAX_STAGES_PER_PIPELINE,
  nameSchema,
  pathSchema,
  zoneSchema,
} from "./schema_common.ts";
import { type AnyRecord, EndpointProtocol, RecordKind } from "./types.ts";

const commonFields = {
  schema_version: z.literal(2),
  fleet: nameSchema,
  name: nameSchema,
};

const MS_PER_S = 1_000;
const S_PER_MINUTE = 60;

const seconds = z.number().positive();
const toMs = (value_s: number) => Math.ceil(value_s * MS_PER_S);

const pipeline = z.strictObject({
  ...commonFields,
  kind: z.literal(RecordKind.Pipeline),
  deadline: z.strictObject({ default_s: seconds }),
  stages: z.array(z.strictObject({
    name: nameSchema,
    pool: identitySchema,
    repeat: z.enum(["allowed", "forbidden"]),
  })).min(1).max(MAX_STAGES_PER_PIPELINE),
}).transform((record): AnyRecord => ({
  kind: RecordKind.Pipeline,
  fleet: record.fleet,
  name: record.name,
  deadline_ms: toMs(record.deadline.default_s),
  stages: record.stages.map((stage) => ({
    name: stage.name,
    pool: stage.pool,
    idempotent: stage.repeat === "allowed",
  })),
}));

const rank = z.strictObject({
  ...commonFields,
  kind: z.literal(RecordKind.Rank),
  priority: z.int().min(0).max(99),
  guarantee: z.strictObject({ share: z.number().min(0).max(1) }),
}).transform((record): AnyRecord => ({
  kind: RecordKind.Rank,
  fleet: record.fleet,
  name: record.name,
  priority: record.priority,
  guaranteed_share: record.guarantee.share,
}));

const organisation = z.strictObject({
  ...commonFields,
  kind: z.literal(RecordKind.Organisation),
  keys: z.array(z.strictObject({
    label: z.string().min(1),
    sha256: digestSchema,
  })),
  allowance: z.strictObject({
    requests_per_minute: z.number().positive(),
    burst_requests: z.int().positive(),
  }),
  may_call_fleets: z.array(nameSchema).optional(),
}).transform((record): AnyRecord => ({
  kind: RecordKind.Organisation,
  fleet: record.fleet,
  name: record.name,
  key_hashes: record.keys.map((key) => key.sha256),
  requests_per_second: record.allowance.requests_per_minute / S_PER_MINUTE,
  burst_requests: record.allowance.burst_requests,
  fleets: [record.fleet, ...record.may_call_fleets ?? []],
}));

const endpointPool = z.strictObject({
  ...commonFields,
  kind: z.literal(RecordKind.EndpointPool),
  call: z.strictObject({
    protocol: z.enum(EndpointProtocol),
    path: pathSchema,
    model: z.string().optional(),
  }),
  timeouts: z.strictObject({ attempt_s: seconds, progress_s: seconds }),
  trust: z.strictObject({
    echoes_request_id: z.boolean(),
    refusal_means_not_run: z.boolean(),
  }),
  placement: z.strictObject({ model: z.string().min(1) }).optional(),
}).transform((record): AnyRecord => ({
  kind: RecordKind.EndpointPool,
  fleet: record.fleet,
  name: record.name,
  protocol: record.call.protocol,
  path: record.call.path,
  model: record.call.model ?? record.name,
  attempt_timeout_ms: toMs(record.timeouts.attempt_s),
  progress_timeout_ms: toMs(record.timeouts.progress_s),
  echoes_request_id: record.trust.echoes_request_id,
  refusal_means_not_run: record.trust.refusal_means_not_run,
  desired_model: record.placement?.model,
}));

const endpoint = z.strictObject({
  ...commonFields,
  kind: z.literal(RecordKind.Endpoint),
  pool: identitySchema,
  location: z.strictObject({
    address: addressSchema,
    availability_zone: zoneSchema,
  }),
  capacity: z.strictObject({ slots: z.int().positive() }),
  state: z.enum(["serving", "leaving"]),
  fencing: z.enum(["checked", "ignored"]).optional(),
}).transform((record): AnyRecord => ({
  kind: RecordKind.Endpoint,
  fleet: record.fleet,
  name: record.name,
  pool: record.pool,
  address: record.location.address,
  availability_zone: record.location.availability_zone,
  slots: record.capacity.slots,
  leaving: record.state === "leaving",
  checks_fencing: record.fencing === "checked",
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
export const schemasV2: Record<RecordKind, z.ZodType<AnyRecord>> = {
  [RecordKind.Pipeline]: pipeline,
  [RecordKind.Rank]: rank,
  [RecordKind.Organisation]: organisation,
  [RecordKind.EndpointPool]: endpointPool,
  [RecordKind.Endpoint]: endpoint,
  [RecordKind.Evacuation]: evacuation,
};
