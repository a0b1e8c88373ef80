/**
 * A set of records, indexed for lookups while requests are served, and the
 * checks that records are consistent with one another.
 */
import type { Finding } from "../findings/finding.ts";
import type { ParsedRecord } from "./parse_record.ts";
import {
  type AnyRecord,
  type Endpoint,
  type EndpointPool,
  formatIdentity,
  type Organisation,
  type Pipeline,
  type Rank,
  RecordKind,
} from "./types.ts";

/**
 * Records by formatted identity; endpoints also by the identity of their pool,
 * organisations also by the SHA-256 digest of each API key. Of evacuations, only
 * the zones.
 */
export interface RecordSet {
  pipelines: Map<string, Pipeline>;
  ranks: Map<string, Rank>;
  organisations: Map<string, Organisation>;
  pools: Map<string, EndpointPool>;
  endpoints: Map<string, Endpoint>;
  endpointsByPool: Map<string, Endpoint[]>;
  organisationsByKeyHash: Map<string, Organisation>;
  evacuatedZones: Set<string>;
}

/** Indexes records; of several with the same identity, the last one counts. */
export function createRecordSet(records: Iterable<AnyRecord>): RecordSet {
  const set = createEmptyRecordSet();
  for (const record of records) addRecord(set, record);
  for (const endpoint of set.endpoints.values()) {
    const pool = formatIdentity(endpoint.pool);
    const endpoints = set.endpointsByPool.get(pool) ?? [];
    endpoints.push(endpoint);
    set.endpointsByPool.set(pool, endpoints);
  }
  for (const organisation of set.organisations.values()) {
    for (const hash of organisation.key_hashes) {
      set.organisationsByKeyHash.set(hash, organisation);
    }
  }
  return set;
}

/** Creates a set without records. */
export function createEmptyRecordSet(): RecordSet {
  return {
    pipelines: new Map(),
    ranks: new Map(),
    organisations: new Map(),
    pools: new Map(),
    endpoints: new Map(),
    endpointsByPool: new Map(),
    organisationsByKeyHash: new Map(),
    evacuatedZones: new Set(),
  };
}

/** Finds references to missing pools, and API keys that organisations share. */
export function checkRecordConsistency(
  parsed: readonly ParsedRecord[],
): Finding[] {
  const set = createRecordSet(parsed.map((item) => item.record));
  return [
    ...parsed.flatMap((item) => findMissingPools(item, set)),
    ...findSharedKeys(parsed),
  ];
}

function addRecord(set: RecordSet, record: AnyRecord): void {
  const identity = formatIdentity(record);
  switch (record.kind) {
    case RecordKind.Pipeline:
      set.pipelines.set(identity, record);
      break;
    case RecordKind.Rank:
      set.ranks.set(identity, record);
      break;
    case RecordKind.Organisation:
      set.organisations.set(identity, record);
      break;
    case RecordKind.EndpointPool:
      set.pools.set(identity, record);
      break;
    case RecordKind.Endpoint:
      set.endpoints.set(identity, record);
      break;
    case RecordKind.Evacuation:
      set.evacuatedZones.add(record.zone);
      break;
  }
}

function findMissingPools(
  { record, document }: ParsedRecord,
  set: RecordSet,
): Finding[] {
  if (record.kind === RecordKind.Endpoint) {
    if (set.pools.has(formatIdentity(record.pool))) return [];
    return [document.findingAt(["pool"], ...describeMissingPool(record.pool))];
  }
  if (record.kind !== RecordKind.Pipeline) return [];
  return record.stages.flatMap((stage, position) => {
    if (set.pools.has(formatIdentity(stage.pool))) return [];
    const path = ["stages", position, "pool"];
    return [document.findingAt(path, ...describeMissingPool(stage.pool))];
  });
}

function describeMissingPool(pool: Endpoint["pool"]): [string, string] {
  const identity = formatIdentity(pool);
  return [
    `The pool ${identity} does not exist`,
    `Write an EndpointPool record ${identity} first`,
  ];
}

function findSharedKeys(parsed: readonly ParsedRecord[]): Finding[] {
  const owners = new Map<string, string>();
  const findings: Finding[] = [];
  for (const { record, document } of parsed) {
    if (record.kind !== RecordKind.Organisation) continue;
    const identity = formatIdentity(record);
    for (const hash of record.key_hashes) {
      const owner = owners.get(hash) ?? identity;
      owners.set(hash, owner);
      if (owner === identity) continue;
      findings.push(document.findingAt(
        ["name"],
        `The organisation shares a key with ${owner}`,
        "Give each organisation keys of its own",
      ));
    }
  }
  return findings;
}
