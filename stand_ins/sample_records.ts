/**
 * Sample records of two fleets that use the same names for different records.
 * Khuree's records have schema version 1, Hooghly's schema version 2.
 */
import { sha256Hex } from "../src/utils/sha256.ts";
import type { EndpointDefinition } from "./fleet.ts";

/** API keys of the sample organisations. */
export enum SampleKey {
  KhureeDocks = "khuree-docks-key",
  KhureeFerries = "khuree-ferries-key",
  HooghlyDocks = "hooghly-docks-key",
}

const STAGES = ["encode", "retrieve", "rerank", "generate"];

/** Creates the records of both fleets except those of endpoints. */
export function sampleRecords(): object[] {
  return [...khureeRecords(), ...hooghlyRecords()];
}

/**
 * Endpoints of both fleets. Khuree's idempotent pools have two each, so that
 * routing has a choice; every other pool has one.
 */
export function sampleEndpoints(): EndpointDefinition[] {
  const jsonEndpoints = STAGES.slice(0, 3).flatMap((pool) => [
    { name: `${pool}-fast`, fleet: "khuree", pool, service_ms: 3 },
    { name: `${pool}-slow`, fleet: "khuree", pool, service_ms: 12 },
  ]);
  const engine = { protocol: "completions" as const, pool: "generate" };
  return [
    ...jsonEndpoints,
    {
      ...engine,
      name: "engine-1",
      fleet: "khuree",
      service_ms: 30,
      fencing: "checked",
    },
    { ...engine, name: "engine-2", fleet: "khuree", service_ms: 60 },
    { name: "stamp-1", fleet: "khuree", pool: "stamp", service_ms: 5 },
    { name: "encode-1", fleet: "hooghly", pool: "encode", service_ms: 4 },
    { ...engine, name: "engine-1", fleet: "hooghly", service_ms: 40 },
    { name: "print-1", fleet: "hooghly", pool: "print", service_ms: 5 },
  ];
}

function khureeRecords(): object[] {
  const common = { schema_version: 1, fleet: "khuree" };
  const pool = (name: string, protocol: string, path: string) => ({
    ...common,
    kind: "EndpointPool",
    name,
    protocol,
    path,
    echoes_request_id: true,
    progress_timeout_ms: 1_000,
  });
  const organisation = (name: string, key: string, rate: number) => ({
    ...common,
    kind: "Organisation",
    name,
    key_sha256: [sha256Hex(key)],
    requests_per_second: rate,
    burst_requests: rate,
  });
  const rank = (
    name: string,
    priority: number,
    guaranteed_percent: number,
  ) => ({
    ...common,
    kind: "Rank",
    name,
    priority,
    guaranteed_percent,
  });
  return [
    ...STAGES.slice(0, 3).map((name) => pool(name, "json", `/${name}`)),
    pool("generate", "completions", "/v1/completions"),
    pool("stamp", "json", "/stamp"),
    rank("urgent", 0, 50),
    rank("normal", 1, 20),
    rank("bulk", 2, 5),
    organisation("docks", SampleKey.KhureeDocks, 200),
    organisation("ferries", SampleKey.KhureeFerries, 50),
    {
      ...common,
      kind: "Pipeline",
      name: "review",
      deadline_ms: 3_000,
      stages: STAGES.map((name) => ({ name, pool: name, idempotent: true })),
    },
    {
      ...common,
      kind: "Pipeline",
      name: "stamp",
      deadline_ms: 3_000,
      stages: [
        { name: "encode", pool: "encode", idempotent: true },
        { name: "stamp", pool: "stamp" },
      ],
    },
  ];
}

function hooghlyRecords(): object[] {
  const common = { schema_version: 2, fleet: "hooghly" };
  const pool = (name: string, protocol: string, path: string) => ({
    ...common,
    kind: "EndpointPool",
    name,
    call: { protocol, path },
    timeouts: { attempt_s: 10, progress_s: 1 },
    trust: { echoes_request_id: true, refusal_means_not_run: true },
  });
  const rank = (name: string, priority: number, share: number) => ({
    ...common,
    kind: "Rank",
    name,
    priority,
    guarantee: { share },
  });
  const inFleet = (name: string) => ({ fleet: "hooghly", name });
  return [
    pool("encode", "json", "/encode"),
    pool("generate", "completions", "/v1/completions"),
    pool("print", "json", "/print"),
    rank("urgent", 0, 0.5),
    rank("bulk", 1, 0.1),
    {
      ...common,
      kind: "Organisation",
      name: "docks",
      keys: [{ label: "first", sha256: sha256Hex(SampleKey.HooghlyDocks) }],
      allowance: { requests_per_minute: 6_000, burst_requests: 100 },
    },
    {
      ...common,
      kind: "Pipeline",
      name: "review",
      deadline: { default_s: 3 },
      stages: [
        { name: "encode", pool: inFleet("encode"), repeat: "allowed" },
        { name: "generate", pool: inFleet("generate"), repeat: "allowed" },
      ],
    },
    {
      ...common,
      kind: "Pipeline",
      name: "print",
      deadline: { default_s: 3 },
      stages: [
        { name: "encode", pool: inFleet("encode"), repeat: "allowed" },
        { name: "print", pool: inFleet("print"), repeat: "forbidden" },
      ],
    },
  ];
}
