/**
 * The accepted configuration: one platform object that holds every record in
 * force and a generation that only rises.
 */
import { parseRecordValue } from "../records/parse_record.ts";
import { createRecordSet, type RecordSet } from "../records/record_set.ts";

/** Platform key of the accepted configuration. */
export const ACCEPTED_CONFIGURATION_KEY = "accepted/configuration";

/** A record as its operator wrote it. */
export interface AcceptedRecord {
  key: string;
  value: unknown;
}

/** The content of the platform object. */
export interface AcceptedConfiguration {
  generation: number;
  /** The store's revision at which the records were listed. */
  records_revision: number;
  /** Sorted by key. */
  records: AcceptedRecord[];
}

/** Indexes the records of an accepted configuration. */
export function indexAcceptedRecords(
  accepted: AcceptedConfiguration,
): RecordSet {
  const records = accepted.records.flatMap(({ key, value }) => {
    const parsed = parseRecordValue(key, value);
    return parsed.ok ? [parsed.value.record] : [];
  });
  return createRecordSet(records);
}
