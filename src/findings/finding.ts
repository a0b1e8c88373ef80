/** Findings: problems in settings or records, each with its location. */

/** A problem in a document. `line` and `column` start at 1. */
export interface Finding {
  /** The file name or platform key of the document. */
  file: string;
  /** The field, such as `stages[0].pool`; empty for the whole document. */
  path: string;
  line: number;
  column: number;
  message: string;
  /** How to correct the problem. */
  hint: string;
}

/** The result of a check: a valid value, or every finding. */
export type CheckResult<T> =
  | { ok: true; value: T }
  | { ok: false; findings: Finding[] };

/** Formats a finding as `file:line:column path: message (hint)`. */
export function formatFinding(finding: Finding): string {
  const location = `${finding.file}:${finding.line}:${finding.column}`;
  const subject = finding.path === "" ? "" : ` ${finding.path}:`;
  return `${location}${subject} ${finding.message} (${finding.hint})`;
}

/** Formats findings, one per line, sorted by location. */
export function formatFindings(findings: readonly Finding[]): string {
  return [...findings].sort(compareFindings).map(formatFinding).join("\n");
}

function compareFindings(a: Finding, b: Finding): number {
  return a.file.localeCompare(b.file) || a.line - b.line || a.column - b.column;
}
