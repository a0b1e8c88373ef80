/**
 * The accepted configuration: one platform object that holds every active
 * record and a generation number that only increases.
 */
import { parseRecordValue } from "../records/parse_record.ts";
import { createRecordSet, type RecordSet } from "../records/record_set.ts";

/** Platform key of the object that holds the accepted configuration. */
export const ACCEPTED_CONFIGURATION_KEY = "accepted/configuration";

/** A record as the operator wrote it, before it is parsed. */
export interface AcceptedRecord {
  key: string;
  value: unknown;
}

/** The content of that platform object. */
export interface AcceptedConfiguration {
  generation: number;
  /** The platform's revision at which the records were listed. */
  records_revision: number;
  /** Sorted by key. */
  records: AcceptedRecord[];
}

/** Parses and indexes the accepted records; invalid ones are left out. */
export function indexAcceptedRecords(
  accepted: AcceptedConfiguration,
): RecordSet {
  const records = accepted.records.flatMap(({ key, value }) => {
    const parsed = parseRecordValue(key, value);
    return parsed.ok ? [parsed.value.record] : [];
  });
  return createRecordSet(records);
}
