/** `check-records`: checks record files before they are written. */
import { readFileSync } from "node:fs";
import { type Finding, formatFindings } from "../../findings/finding.ts";
import type { ParsedRecord } from "../../records/parse_record.ts";
import { defineCommand, UsageError } from "../define_command.ts";
import { ExitCode } from "../exit_code.ts";

/** Checks each record by itself and the records of all files together. */
export const checkRecordsCommand = defineCommand({
  usage: "check-records <file>",
  description: "Check record files, alone and against one another",
  options: [],
  example: "check-records records.yaml more.yaml",
  async run(invocation) {
    const { parsed, findings } = await readRecordFiles(invocation.positional);
    const { checkRecordConsistency } = await import(
      "../../records/record_set.ts"
    );
    const all = [...findings, ...checkRecordConsistency(parsed)];
    if (all.length > 0) {
      invocation.printError(formatFindings(all));
      return ExitCode.Failure;
    }
    invocation.print(`${parsed.length} records are fine`);
    return ExitCode.Success;
  },
});

/** Parses the records of all files; throws UsageError if one can't be read. */
export async function readRecordFiles(
  files: readonly string[],
): Promise<{ parsed: ParsedRecord[]; findings: Finding[] }> {
  const { parseRecord } = await import("../../records/parse_record.ts");
  const { splitYamlDocuments } = await import(
    "../../records/split_yaml_documents.ts"
  );
  const parsed: ParsedRecord[] = [];
  const findings: Finding[] = [];
  for (const file of files) {
    for (const text of splitYamlDocuments(readText(file))) {
      const record = parseRecord(file, text);
      if (record.ok) parsed.push(record.value);
      else findings.push(...record.findings);
    }
  }
  return { parsed, findings };
}

function readText(file: string): string {
  try {
    return readFileSync(file, "utf8");
  } catch (error) {
    throw new UsageError(`Cannot read ${file}: ${(error as Error).message}`);
  }
}
