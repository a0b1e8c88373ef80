/**
 * YAML and JSON documents with the position of each field, so that schema
 * errors become findings with a line and a column.
 */
import { type Document, isMap, isNode, LineCounter, parseDocument } from "yaml";
import type { z } from "zod";
import type { CheckResult, Finding } from "./finding.ts";

/** Names of fields and indices of entries, from the outermost inwards. */
export type FieldPath = readonly (string | number)[];

/** A parsed document in which fields can be located. */
export interface LocatedDocument {
  file: string;
  content: unknown;
  /** Creates a finding located at `path`, or at its nearest existing parent. */
  findingAt(path: FieldPath, message: string, hint: string): Finding;
}

/** Parses YAML or JSON text; syntax errors and duplicate keys are findings. */
export function parseLocatedDocument(
  file: string,
  text: string,
): CheckResult<LocatedDocument> {
  const lineCounter = new LineCounter();
  const document = parseDocument(text, { lineCounter, uniqueKeys: true });
  if (document.errors.length > 0) {
    const findings = document.errors.map((error): Finding => {
      const { line, col } = lineCounter.linePos(error.pos[0]);
      const message = error.message.split(" at line ")[0] ?? error.code;
      return {
        file,
        path: "",
        line,
        column: col,
        message,
        hint: "Correct the YAML syntax here",
      };
    });
    return { ok: false, findings };
  }
  try {
    return { ok: true, value: createFromParsed(file, document, lineCounter) };
  } catch (error) {
    // The library resolves aliases only now; it throws this for a missing
    // anchor and for aliases that expand too far.
    if (!(error instanceof ReferenceError)) throw error;
    const { message } = error;
    const hint = "Write the value in place of the alias";
    const place = { path: "", line: 1, column: 1 };
    return { ok: false, findings: [{ file, ...place, message, hint }] };
  }
}

/**
 * Creates a document from a value that is already parsed. Findings are located
 * in its indented JSON text, which is created only when a finding needs it.
 */
export function createLocatedDocument(
  file: string,
  content: unknown,
): LocatedDocument {
  let located: LocatedDocument | undefined;
  return {
    file,
    content,
    findingAt(path, message, hint) {
      located ??= createFromJson(file, content);
      return located.findingAt(path, message, hint);
    },
  };
}

/** Validates a document against a schema; every error becomes a finding. */
export function validateDocument<T>(
  document: LocatedDocument,
  schema: z.ZodType<T>,
): CheckResult<T> {
  const parsed = schema.safeParse(document.content);
  if (parsed.success) return { ok: true, value: parsed.data };
  const findings = parsed.error.issues.flatMap((issue) =>
    createIssueFindings(document, issue)
  );
  return { ok: false, findings };
}

function createFromJson(file: string, content: unknown): LocatedDocument {
  const lineCounter = new LineCounter();
  const text = JSON.stringify(content, null, 2) ?? "null";
  const document = parseDocument(text, { lineCounter });
  return createFromParsed(file, document, lineCounter);
}

function createFromParsed(
  file: string,
  document: Document,
  lineCounter: LineCounter,
): LocatedDocument {
  return {
    file,
    content: document.toJS(),
    findingAt(path, message, hint) {
      const offset = findOffset(document, path);
      const { line, col } = lineCounter.linePos(offset);
      const position = { line: Math.max(line, 1), column: Math.max(col, 1) };
      return { file, path: formatPath(path), ...position, message, hint };
    },
  };
}

function findOffset(document: Document, path: FieldPath): number {
  for (let length = path.length; length > 0; length--) {
    const parent = document.getIn(path.slice(0, length - 1), true);
    const key = path[length - 1];
    if (isMap(parent)) {
      const pair = parent.items.find((item) => keyValue(item.key) === key);
      if (isNode(pair?.key)) return pair.key.range?.[0] ?? 0;
    }
    const node = document.getIn(path.slice(0, length), true);
    if (isNode(node)) return node.range?.[0] ?? 0;
  }
  return isNode(document.contents) ? document.contents.range?.[0] ?? 0 : 0;
}

function keyValue(key: unknown): unknown {
  return isNode(key) && "value" in key ? key.value : key;
}

/** Formats a path, such as `stages[0].pool`. */
export function formatPath(path: FieldPath): string {
  return path
    .map((part) => typeof part === "number" ? `[${part}]` : `.${part}`)
    .join("")
    .replace(/^\./, "");
}

function createIssueFindings(
  document: LocatedDocument,
  issue: z.core.$ZodIssue,
): Finding[] {
  const path = issue.path.map((part) =>
    typeof part === "symbol" ? String(part) : part
  );
  if (issue.code === "unrecognized_keys") {
    return issue.keys.map((key) =>
      document.findingAt(
        [...path, key],
        `Unknown field "${key}"`,
        "Remove it or correct its name",
      )
    );
  }
  if (valueAt(document.content, path) === undefined) {
    return [
      document.findingAt(path, "The field is missing", describeHint(issue)),
    ];
  }
  return [document.findingAt(path, describeIssue(issue), describeHint(issue))];
}

function valueAt(content: unknown, path: FieldPath): unknown {
  return path.reduce(
    (value, key) => (value as Record<string, unknown> | undefined)?.[key],
    content,
  );
}

function describeIssue(issue: z.core.$ZodIssue): string {
  return issue.code === "invalid_union"
    ? "The value has none of the forms allowed here"
    : issue.message;
}

function describeHint(issue: z.core.$ZodIssue): string {
  switch (issue.code) {
    case "invalid_type":
      return `Write a value of type ${issue.expected}`;
    case "too_small":
      return issue.inclusive
        ? `Use at least ${issue.minimum}`
        : `Use more than ${issue.minimum}`;
    case "invalid_union":
      return "Write one of the forms in docs/SETTINGS.md";
    case "too_big":
      return `Use at most ${issue.maximum}`;
    case "invalid_value":
      return `Use one of: ${issue.values.join(", ")}`;
    default:
      return "Correct the value";
  }
}
