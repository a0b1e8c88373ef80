/** `config check`: checks a configuration of gateway hosts before it is sent. */
import { readFileSync } from "node:fs";
import type { FindingText } from "../../config_check/describe_finding.ts";
import {
  type ConfigurationFinding,
  type ConfigurationFormat,
  FindingKind,
  type ReadConfiguration,
  Severity,
} from "../../config_check/types.ts";
import type { Finding } from "../../findings/finding.ts";
import type { LocatedDocument } from "../../findings/located_document.ts";
import {
  type CommandDefinition,
  defineCommand,
  UsageError,
} from "../define_command.ts";
import { ExitCode } from "../exit_code.ts";

/** A finding as it is printed, with its place in a file. */
type PrintedFinding = Finding & { severity: Severity; kind: FindingKind };

/** A file that was read, or what hosts would reject in it. */
type ReadFile =
  | { ok: true; document: LocatedDocument; read: ReadConfiguration }
  | { ok: false; findings: PrintedFinding[] };

/** Creates the `config check` command for a deployment's format. */
export function createConfigCheckCommand(
  format: ConfigurationFormat,
): CommandDefinition {
  return defineCommand({
    usage: "config check <file>",
    description: "Check a configuration of gateway hosts before it is sent",
    options: [
      {
        flags: "--against",
        description: "The configuration in force, to list the differences",
      },
      {
        flags: "--json",
        description: "Print an array of findings",
        default: false,
      },
    ],
    example: "config check next.json --against in_force.json",
    async run({ positional, options, print, printError }) {
      const [file, ...others] = positional;
      if (file === undefined || others.length > 0) {
        throw new UsageError("Give one file");
      }
      const findings = await checkFile(file, {
        against: parseAgainst(options.against),
        format,
      });
      const problems = findings.filter(({ severity }) =>
        severity !== Severity.Note
      );
      if (options.json === true) print(JSON.stringify(findings, null, 2));
      else {
        for (const finding of findings) {
          const isNote = finding.severity === Severity.Note;
          (isNote ? print : printError)(formatPrinted(finding));
        }
        if (problems.length === 0) print(`${file} is fine`);
      }
      return problems.length === 0 ? ExitCode.Success : ExitCode.Failure;
    },
  });
}

function parseAgainst(value: string | boolean | undefined): string | undefined {
  if (value === undefined) return undefined;
  if (typeof value === "string" && value !== "") return value;
  throw new UsageError("Give a file after --against");
}

async function checkFile(
  file: string,
  { against, format }: {
    against: string | undefined;
    format: ConfigurationFormat;
  },
): Promise<PrintedFinding[]> {
  const checked = await readFile(file, format);
  const inForce = against === undefined
    ? undefined
    : await readFile(against, format);
  const rejected = [checked, inForce].flatMap((each) =>
    each === undefined || each.ok ? [] : each.findings
  );
  if (!checked.ok) return rejected;
  const { checkConfiguration } = await import(
    "../../config_check/check_configuration.ts"
  );
  const { compareConfigurations } = await import(
    "../../config_check/compare_configurations.ts"
  );
  const { describeFinding } = await import(
    "../../config_check/describe_finding.ts"
  );
  const { read, document } = checked;
  const found = [
    ...read.findings,
    ...checkConfiguration(read.configuration).map((finding) => ({
      ...finding,
      path: read.placeInFile(finding.path),
    })),
    ...(inForce?.ok ? compareConfigurations(read, inForce.read) : []),
  ];
  const printed = found.map((finding) =>
    locate(finding, { document, text: describeFinding(finding) })
  );
  return [...printed.sort(comparePrinted), ...rejected];
}

function locate(
  { severity, kind, path }: ConfigurationFinding,
  { document, text }: { document: LocatedDocument; text: FindingText },
): PrintedFinding {
  const located = document.findingAt(path, text.message, text.hint);
  return { severity, kind, ...located };
}

async function readFile(
  file: string,
  format: ConfigurationFormat,
): Promise<ReadFile> {
  const { parseLocatedDocument } = await import(
    "../../findings/located_document.ts"
  );
  const parsed = parseLocatedDocument(file, readText(file));
  const read = parsed.ok ? format.read(parsed.value) : parsed;
  if (parsed.ok && read.ok) {
    return { ok: true, document: parsed.value, read: read.value };
  }
  const findings = read.ok ? [] : read.findings.map((finding) => ({
    severity: Severity.Error,
    kind: FindingKind.Invalid,
    ...finding,
  }));
  return { ok: false, findings: findings.sort(comparePrinted) };
}

function readText(file: string): string {
  try {
    return readFileSync(file, "utf8");
  } catch (error) {
    throw new UsageError(`Cannot read ${file}: ${(error as Error).message}`);
  }
}

/** Sorts problems before differences, then by place. */
function comparePrinted(a: PrintedFinding, b: PrintedFinding): number {
  const notes = Number(a.severity === Severity.Note) -
    Number(b.severity === Severity.Note);
  return notes || a.line - b.line || a.column - b.column;
}

function formatPrinted(finding: PrintedFinding): string {
  const { file, line, column, path, severity, message, hint } = finding;
  const subject = path === "" ? "" : ` ${path}:`;
  const advice = hint === "" ? "" : ` (${hint})`;
  return `${file}:${line}:${column} ${severity}:${subject} ${message}${advice}`;
}
