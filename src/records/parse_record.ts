/** Parses documents into records in their internal form. */
import type { CheckResult, Finding } from "../findings/finding.ts";
import {
  createLocatedDocument,
  type LocatedDocument,
  parseLocatedDocument,
  validateDocument,
} from "../findings/located_document.ts";
import { schemasV1 } from "./schema_v1.ts";
import { schemasV2 } from "./schema_v2.ts";
import { type AnyRecord, RecordKind } from "./types.ts";

/** A record and the document that it was parsed from. */
export interface ParsedRecord {
  record: AnyRecord;
  document: LocatedDocument;
}

/** Parses a record from YAML or JSON text; findings refer to `file`. */
export function parseRecord(
  file: string,
  text: string,
): CheckResult<ParsedRecord> {
  const located = parseLocatedDocument(file, text);
  return located.ok ? parseRecordDocument(located.value) : located;
}

/** Parses a record from the value stored on the platform under `key`. */
export function parseRecordValue(
  key: string,
  value: unknown,
): CheckResult<ParsedRecord> {
  return parseRecordDocument(createLocatedDocument(key, value));
}

function parseRecordDocument(
  document: LocatedDocument,
): CheckResult<ParsedRecord> {
  const findings = checkHeader(document);
  if (findings.length > 0) return { ok: false, findings };
  const { kind, schema_version } = document.content as RecordHeader;
  const schemas = schema_version === 1 ? schemasV1 : schemasV2;
  const checked = validateDocument(document, schemas[kind]);
  if (!checked.ok) return checked;
  return { ok: true, value: { record: checked.value, document } };
}

interface RecordHeader {
  kind: RecordKind;
  schema_version: 1 | 2;
}

function checkHeader(document: LocatedDocument): Finding[] {
  const { content } = document;
  if (typeof content !== "object" || content === null) {
    return [document.findingAt(
      [],
      "The document is not a record",
      "Write a mapping with schema_version, kind, fleet and name",
    )];
  }
  const header = content as Partial<Record<keyof RecordHeader, unknown>>;
  const findings: Finding[] = [];
  const kinds = Object.values(RecordKind);
  if (!kinds.includes(header.kind as RecordKind)) {
    const hint = `Use one of: ${kinds.join(", ")}`;
    findings.push(document.findingAt(["kind"], "Unknown kind", hint));
  }
  if (header.schema_version !== 1 && header.schema_version !== 2) {
    findings.push(document.findingAt(
      ["schema_version"],
      "Unknown schema version",
      "Use 1 or 2",
    ));
  }
  return findings;
}
