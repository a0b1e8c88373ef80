/**
 * Computes the next accepted configuration, without side effects. The accepted
 * configuration must be read before the records are listed: otherwise a listing
 * older than the accepted configuration could restore replaced records.
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

/** What the publisher has to do. */
export enum PublicationPlanKind {
  /** The accepted configuration is up to date. */
  Unchanged = "unchanged",
  /** The listing is older than the accepted configuration; list again. */
  StaleListing = "stale_listing",
  /** Write the next configuration. */
  Publish = "publish",
}

/** What to do next, with the findings about the listed records. */
export type PublicationPlan =
  | { kind: PublicationPlanKind.Unchanged; findings: Finding[] }
  | { kind: PublicationPlanKind.StaleListing; findings: Finding[] }
  | {
    kind: PublicationPlanKind.Publish;
    findings: Finding[];
    next: AcceptedConfiguration;
  };

/**
 * Plans the next publication from the accepted configuration, undefined if none
 * exists yet, and a listing of the records made after it was read. The next
 * generation is also above `known_generation`, the highest that this host knows:
 * the platform may have gone back to an older copy, and hosts take no generation
 * that is not above theirs.
 */
export function planPublication(
  accepted: AcceptedConfiguration | undefined,
  listing: PlatformListing,
  { known_generation = 0 } = {},
): PublicationPlan {
  if (accepted !== undefined && isStale(accepted, listing)) {
    return { kind: PublicationPlanKind.StaleListing, findings: [] };
  }
  const { records, findings } = selectRecords(accepted?.records ?? [], listing);
  if (accepted !== undefined && isDeepStrictEqual(records, accepted.records)) {
    return { kind: PublicationPlanKind.Unchanged, findings };
  }
  const next = {
    generation: Math.max(accepted?.generation ?? 0, known_generation) + 1,
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

interface SelectedRecords {
  records: AcceptedRecord[];
  findings: Finding[];
}

/**
 * Selects each listed record that is valid by itself and consistent with the
 * others; an invalid record is replaced by its accepted version, if any.
 */
function selectRecords(
  accepted: readonly AcceptedRecord[],
  listing: PlatformListing,
): SelectedRecords {
  const listed = listing.objects.map(({ key, value }) => ({ key, value }));
  const findings: Finding[] = [];
  const valid = listed.filter((record) => {
    const recordFindings = checkSingleRecord(record);
    findings.push(...recordFindings);
    return recordFindings.length === 0;
  });
  const listedKeys = new Set(listed.map((record) => record.key));
  const candidates = new Map(valid.map((record) => [record.key, record]));
  for (const record of accepted) {
    const hasValidVersion = candidates.has(record.key);
    if (!hasValidVersion && listedKeys.has(record.key)) {
      candidates.set(record.key, record);
    }
  }
  findings.push(...revertInconsistentRecords(candidates, accepted));
  const records = [...candidates.values()].sort((a, b) =>
    a.key < b.key ? -1 : 1
  );
  return { records, findings };
}

function checkSingleRecord({ key, value }: AcceptedRecord): Finding[] {
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

/**
 * Restores deleted pools, then reverts or drops records, until the candidates
 * are consistent; returns all findings on the way.
 */
function revertInconsistentRecords(
  candidates: Map<string, AcceptedRecord>,
  accepted: readonly AcceptedRecord[],
): Finding[] {
  const acceptedByKey = new Map(accepted.map((record) => [record.key, record]));
  const allFindings: Finding[] = [];
  let findings = checkRecordConsistency(parseValidRecords(candidates.values()));
  while (findings.length > 0) {
    allFindings.push(...findings);
    if (!restoreDeletedPools(candidates, accepted)) {
      revertToAccepted(
        candidates,
        acceptedByKey,
        new Set(findings.map((finding) => finding.file)),
      );
    }
    findings = checkRecordConsistency(parseValidRecords(candidates.values()));
  }
  return allFindings;
}

function restoreDeletedPools(
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

function revertToAccepted(
  candidates: Map<string, AcceptedRecord>,
  acceptedByKey: Map<string, AcceptedRecord>,
  keys: ReadonlySet<string>,
): void {
  for (const key of keys) {
    const previous = acceptedByKey.get(key);
    const alreadyReverted = candidates.get(key) === previous;
    if (previous === undefined || alreadyReverted) candidates.delete(key);
    else candidates.set(key, previous);
  }
}

function parseValidRecords(records: Iterable<AcceptedRecord>): ParsedRecord[] {
  return [...records].flatMap(({ key, value }) => {
    const parsed = parseRecordValue(key, value);
    return parsed.ok ? [parsed.value] : [];
  });
}
