/**
 * Decides what the next accepted configuration is. Pure. The accepted object
 * must be read before the records are listed: a listing that is older than the
 * accepted one could otherwise bring back records that were replaced.
 */
import { isDeepStrictEqual } from "node:util";
import type { Finding } from "../findings/finding.ts";
import {
  type ParsedRecord,
  parseRecordValue,
} from "../records/parse_record.ts";
import { checkRecordConsistency } from "../records/record_set.ts";
import { recordKey, RecordKind } from "../records/types.ts";
import type { PlatformListing } from "../object_api/types.ts";
import type {
  AcceptedConfiguration,
  AcceptedRecord,
} from "./accepted_configuration.ts";

/** What a publisher should do. */
export enum PublicationPlanKind {
  /** The records in force are up to date. */
  Unchanged = "unchanged",
  /** The listing is older than the accepted configuration; list again. */
  StaleListing = "stale_listing",
  /** Write the next configuration. */
  Publish = "publish",
}

/** A plan, with the findings about the records as listed. */
export type PublicationPlan =
  | { kind: PublicationPlanKind.Unchanged; findings: Finding[] }
  | { kind: PublicationPlanKind.StaleListing; findings: Finding[] }
  | {
    kind: PublicationPlanKind.Publish;
    findings: Finding[];
    next: AcceptedConfiguration;
  };

/** Plans from the accepted configuration and a later listing. */
export function planPublication(
  accepted: AcceptedConfiguration | undefined,
  listing: PlatformListing,
): PublicationPlan {
  if (accepted !== undefined && isStale(accepted, listing)) {
    return { kind: PublicationPlanKind.StaleListing, findings: [] };
  }
  const { records, findings } = selectRecords(accepted?.records ?? [], listing);
  if (accepted !== undefined && isDeepStrictEqual(records, accepted.records)) {
    return { kind: PublicationPlanKind.Unchanged, findings };
  }
  const next = {
    generation: (accepted?.generation ?? 0) + 1,
    records_revision: listing.revision,
    records,
  };
  return { kind: PublicationPlanKind.Publish, findings, next };
}

function isStale(
  accepted: AcceptedConfiguration,
  listing: PlatformListing,
): boolean {
  return listing.revision < accepted.records_revision;
}

interface Selection {
  records: AcceptedRecord[];
  findings: Finding[];
}

/**
 * Takes each listed record that is valid, by itself and with the others; in
 * place of an invalid one the accepted record stays in force.
 */
function selectRecords(
  accepted: readonly AcceptedRecord[],
  listing: PlatformListing,
): Selection {
  const listed = listing.objects.map(({ key, value }) => ({ key, value }));
  const findings: Finding[] = [];
  const valid = listed.filter((record) => {
    const own = ownFindings(record);
    findings.push(...own);
    return own.length === 0;
  });
  const listedKeys = new Set(listed.map((record) => record.key));
  const candidates = new Map(valid.map((record) => [record.key, record]));
  for (const record of accepted) {
    const replaced = candidates.has(record.key);
    if (!replaced && listedKeys.has(record.key)) {
      candidates.set(record.key, record);
    }
  }
  findings.push(...settleReferences(candidates, accepted));
  const records = [...candidates.values()].sort((a, b) =>
    a.key < b.key ? -1 : 1
  );
  return { records, findings };
}

function ownFindings({ key, value }: AcceptedRecord): Finding[] {
  const parsed = parseRecordValue(key, value);
  if (!parsed.ok) return parsed.findings;
  const { record, document } = parsed.value;
  if (recordKey(record.kind, record) === key) return [];
  return [document.findingAt(
    ["name"],
    `The record says it is ${recordKey(record.kind, record)}`,
    "Write it under the key that its kind, fleet and name give",
  )];
}

/** Falls back until no cross finding is left; returns all that were seen. */
function settleReferences(
  candidates: Map<string, AcceptedRecord>,
  accepted: readonly AcceptedRecord[],
): Finding[] {
  const inForce = new Map(accepted.map((record) => [record.key, record]));
  const seen: Finding[] = [];
  let findings = checkRecordConsistency(parseAll(candidates.values()));
  while (findings.length > 0) {
    seen.push(...findings);
    if (!restorePools(candidates, accepted)) {
      fallBack(candidates, inForce, new Set(findings.map((each) => each.file)));
    }
    findings = checkRecordConsistency(parseAll(candidates.values()));
  }
  return seen;
}

function restorePools(
  candidates: Map<string, AcceptedRecord>,
  accepted: readonly AcceptedRecord[],
): boolean {
  const prefix = `records/${RecordKind.EndpointPool}/`;
  const missing = accepted.filter(({ key }) =>
    key.startsWith(prefix) && !candidates.has(key)
  );
  for (const record of missing) candidates.set(record.key, record);
  return missing.length > 0;
}

function fallBack(
  candidates: Map<string, AcceptedRecord>,
  inForce: Map<string, AcceptedRecord>,
  keys: ReadonlySet<string>,
): void {
  for (const key of keys) {
    const previous = inForce.get(key);
    const alreadyPrevious = candidates.get(key) === previous;
    if (previous === undefined || alreadyPrevious) candidates.delete(key);
    else candidates.set(key, previous);
  }
}

function parseAll(records: Iterable<AcceptedRecord>): ParsedRecord[] {
  return [...records].flatMap(({ key, value }) => {
    const parsed = parseRecordValue(key, value);
    return parsed.ok ? [parsed.value] : [];
  });
}
