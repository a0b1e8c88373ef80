/**
 * Findings: problems in settings or records, each with its place, collected and
 * reported together.
 */

/** One problem in a document. `line` and `column` count from 1. */
export interface Finding {
  /** The file or the record key in which the problem stands. */
  file: string;
  /** The field, as in `stages[0].pool`; empty for the whole document. */
  path: string;
  line: number;
  column: number;
  message: string;
  /** What the author can do about it. */
  hint: string;
}

/** The outcome of a check: a value, or every finding. */
export type CheckResult<T> =
  | { ok: true; value: T }
  | { ok: false; findings: Finding[] };

/** Renders a finding as `file:line:column path: message (hint)`. */
export function formatFinding(finding: Finding): string {
  const place = `${finding.file}:${finding.line}:${finding.column}`;
  const subject = finding.path === "" ? "" : ` ${finding.path}:`;
  return `${place}${subject} ${finding.message} (${finding.hint})`;
}

/** Renders findings one a line, in the order of their places. */
export function formatFindings(findings: readonly Finding[]): string {
  return [...findings].sort(compareFindings).map(formatFinding).join("\n");
}

function compareFindings(a: Finding, b: Finding): number {
  return a.file.localeCompare(b.file) || a.line - b.line || a.column - b.column;
}
