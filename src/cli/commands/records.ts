/** `get`, `put` and `delete`: read and write records on the platform. */
import { formatFindings } from "../../findings/finding.ts";
import { createPlatformClient } from "../../object_api/platform_client.ts";
import type {
  Platform,
  PlatformFailure,
  PlatformResult,
  WriteCondition,
} from "../../object_api/types.ts";
import type { ParsedRecord } from "../../records/parse_record.ts";
import { recordKey, RecordKind } from "../../records/types.ts";
import type { Settings } from "../../settings/settings.ts";
import { HttpClient } from "../../utils/http_client.ts";
import {
  type CommandInvocation,
  defineCommand,
  settingsOption,
  UsageError,
} from "../define_command.ts";
import { ExitCode } from "../exit_code.ts";
import { readRecordFiles } from "./check_records.ts";
import { loadCommandSettings } from "./load_command_settings.ts";

const versionOption = {
  flags: "--version-seen",
  description: "Write only if the record still has this version",
};

/** Prints the records of a kind, or one record, as JSON lines. */
export const getCommand = defineCommand({
  usage: "get <kind> [name]",
  description: "Print the records of a kind, or one record by FLEET/NAME",
  options: [settingsOption],
  example: "get Pipeline docks/certify --settings entry-1.yaml",
  run: (invocation) =>
    withPlatformClient(invocation, async (platform) => {
      const [kind, name] = invocation.positional;
      const prefix = `records/${parseKind(kind)}/${name ?? ""}`;
      const listing = await platform.list(prefix);
      if (!listing.ok) return printFailure(invocation, listing.failure);
      const found = listing.value.objects.filter(({ key }) =>
        name === undefined || key === prefix
      );
      for (const { key, version, value } of found) {
        invocation.print(JSON.stringify({ key, version, value }));
      }
      return found.length > 0 ? ExitCode.Success : ExitCode.Failure;
    }),
});

/** Checks the records of files and writes them. */
export const putCommand = defineCommand({
  usage: "put <file>",
  description: "Check the records of a file and write them",
  options: [settingsOption, versionOption],
  example: "put records.yaml --settings entry-1.yaml",
  run: (invocation) =>
    withPlatformClient(invocation, async (platform) => {
      const { parsed, findings } = await readRecordFiles(
        invocation.positional,
      );
      if (findings.length > 0) {
        invocation.printError(formatFindings(findings));
        return ExitCode.Failure;
      }
      for (const record of parsed) {
        const written = await putRecord(platform, record, invocation);
        if (!written.ok) return printFailure(invocation, written.failure);
        const key = recordKey(record.record.kind, record.record);
        invocation.print(`${key} version ${written.value}`);
      }
      return ExitCode.Success;
    }),
});

/** Deletes one record, if it has the expected version. */
export const deleteCommand = defineCommand({
  usage: "delete <kind> <name>",
  description: "Delete one record by FLEET/NAME",
  options: [settingsOption, versionOption],
  example: "delete Endpoint docks/encode-1 --settings entry-1.yaml",
  run: (invocation) =>
    withPlatformClient(invocation, async (platform) => {
      const [kind, name] = invocation.positional;
      const key = `records/${parseKind(kind)}/${name}`;
      const found = await platform.get(key);
      if (!found.ok) return printFailure(invocation, found.failure);
      if (found.value === undefined) {
        invocation.printError(`There is no ${key}`);
        return ExitCode.Failure;
      }
      const version = expectedVersion(invocation) ?? found.value.version;
      const deleted = await platform.delete(key, version);
      if (!deleted.ok) return printFailure(invocation, deleted.failure);
      invocation.print(`${key} deleted`);
      return ExitCode.Success;
    }),
});

/** Calls `run` with a platform client for the command's settings. */
export async function withPlatformClient(
  invocation: CommandInvocation,
  run: (platform: Platform, settings: Settings) => Promise<ExitCode>,
): Promise<ExitCode> {
  const settings = loadCommandSettings(invocation);
  if (settings === undefined) return ExitCode.Failure;
  const http = new HttpClient(settings.platform.address);
  const platform = createPlatformClient({
    http,
    ...settings.platform,
    now: Date.now,
  });
  try {
    return await run(platform, settings);
  } finally {
    http.close();
  }
}

async function putRecord(
  platform: Platform,
  { record, document }: ParsedRecord,
  invocation: CommandInvocation,
): Promise<PlatformResult<string>> {
  const key = recordKey(record.kind, record);
  const found = await platform.get(key);
  if (!found.ok) return found;
  const condition = createWriteCondition(
    found.value?.version,
    expectedVersion(invocation),
  );
  return await platform.put(key, document.content, condition);
}

function createWriteCondition(
  current: string | undefined,
  expected: string | undefined,
): WriteCondition {
  const version = expected ?? current;
  return version === undefined ? { absent: true } : { version };
}

function expectedVersion(invocation: CommandInvocation): string | undefined {
  const version = invocation.options["version-seen"];
  return version === undefined ? undefined : String(version);
}

function parseKind(text: string | undefined): RecordKind {
  const kinds = Object.values(RecordKind);
  const kind = kinds.find((candidate) => candidate === text);
  if (kind !== undefined) return kind;
  throw new UsageError(`Name one of the kinds ${kinds.join(", ")}`);
}

function printFailure(
  invocation: CommandInvocation,
  failure: PlatformFailure,
): ExitCode {
  const effectNote = failure.sent ? "; it may have taken effect" : "";
  const detail = failure.kind === "conflict" ? "" : effectNote;
  invocation.printError(`${failure.kind}: ${failure.message}${detail}`);
  return ExitCode.Failure;
}
