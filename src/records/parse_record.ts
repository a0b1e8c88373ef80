/** Turns one document into a record in its internal form. */
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

/** A record and the document that it came from. */
export interface ParsedRecord {
  record: AnyRecord;
  document: LocatedDocument;
}

/** Parses a record's text; `file` names it in findings. */
export function parseRecord(
  file: string,
  text: string,
): CheckResult<ParsedRecord> {
  const located = parseLocatedDocument(file, text);
  return located.ok ? parseDocumentRecord(located.value) : located;
}

/** Parses a record from the value that the platform keeps under `key`. */
export function parseRecordValue(
  key: string,
  value: unknown,
): CheckResult<ParsedRecord> {
  return parseDocumentRecord(createLocatedDocument(key, value));
}

function parseDocumentRecord(
  document: LocatedDocument,
): CheckResult<ParsedRecord> {
  const findings = headFindings(document);
  if (findings.length > 0) return { ok: false, findings };
  const { kind, schema_version } = document.content as RecordHead;
  const schemas = schema_version === 1 ? schemasV1 : schemasV2;
  const checked = validateDocument(document, schemas[kind]);
  if (!checked.ok) return checked;
  return { ok: true, value: { record: checked.value, document } };
}

interface RecordHead {
  kind: RecordKind;
  schema_version: 1 | 2;
}

function headFindings(document: LocatedDocument): Finding[] {
  const { content } = document;
  if (typeof content !== "object" || content === null) {
    return [document.findingAt(
      [],
      "The document is not a record",
      "Write a mapping with schema_version, kind, fleet and name",
    )];
  }
  const head = content as Partial<Record<keyof RecordHead, unknown>>;
  const findings: Finding[] = [];
  const kinds = Object.values(RecordKind);
  if (!kinds.includes(head.kind as RecordKind)) {
    const hint = `Use one of: ${kinds.join(", ")}`;
    findings.push(document.findingAt(["kind"], "Unknown kind", hint));
  }
  if (head.schema_version !== 1 && head.schema_version !== 2) {
    findings.push(document.findingAt(
      ["schema_version"],
      "Unknown schema version",
      "Use 1 or 2",
    ));
  }
  return findings;
}
