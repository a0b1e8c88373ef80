/** The `config check` command on the files of test/config_check. */
import assert from "node:assert/strict";
import { spawnSync } from "node:child_process";
import { readFileSync } from "node:fs";
import { join } from "node:path";
import { test } from "node:test";
import { parse } from "yaml";
import { configurationFormat } from "../../platform/configuration_format.ts";
import {
  CONFIGURATION_NAME,
  decodeConfiguration,
} from "../../platform/decode_objects.ts";
import { createConfigCheckCommand } from "../../src/cli/commands/config_check.ts";
import { UsageError } from "../../src/cli/define_command.ts";
import { ExitCode } from "../../src/cli/exit_code.ts";
import { FindingKind } from "../../src/config_check/types.ts";

const root = join(import.meta.dirname, "../..");
const files = join(root, "test/config_check/files");
const command = createConfigCheckCommand(configurationFormat);

/** Runs the command on a file of the directory, whose path is left out. */
async function check(
  name: string,
  { against, json = false }: { against?: string; json?: boolean } = {},
) {
  const lines: string[] = [];
  const errors: string[] = [];
  const add = (list: string[]) => (text: string) =>
    list.push(...text.replaceAll(`${files}/`, "").split("\n"));
  const exit = await command.run({
    positional: [join(files, name)],
    options: {
      against: against === undefined ? undefined : join(files, against),
      json,
    },
    print: add(lines),
    printError: add(errors),
  });
  return { exit, lines, errors };
}

function decodes(name: string): boolean {
  const content = parse(readFileSync(join(files, name), "utf8"));
  return decodeConfiguration(CONFIGURATION_NAME, content) !== undefined;
}

// Guards against a check that finds faults in what is right.
test("a sound configuration is fine", async () => {
  assert.deepEqual(await check("sound.yaml"), {
    exit: ExitCode.Success,
    lines: ["sound.yaml is fine"],
    errors: [],
  });
  const json = await check("sound.yaml", { json: true });
  assert.deepEqual([json.exit, json.lines], [ExitCode.Success, ["[]"]]);
});

// Guards against a check that stops at the first problem or names no place.
test("every entry without effect and every contradiction is found", async (t) => {
  assert.ok(decodes("faulty.yaml"));
  const text = await check("faulty.yaml");
  assert.equal(text.exit, ExitCode.Failure);
  t.assert.snapshot(text.errors);
  const json = await check("faulty.yaml", { json: true });
  assert.deepEqual([json.exit, json.errors], [ExitCode.Failure, []]);
  t.assert.snapshot(JSON.parse(json.lines.join("\n")));
  const found = JSON.parse(json.lines.join("\n"));
  const kinds = new Set(found.map(({ kind }: { kind: string }) => kind));
  const elsewhere = [
    FindingKind.Invalid,
    FindingKind.VersionNotHigher,
    FindingKind.Added,
    FindingKind.Removed,
    FindingKind.Changed,
  ];
  assert.deepEqual(
    Object.values(FindingKind).filter((kind) => !kinds.has(kind)),
    elsewhere,
  );
});

// Guards against a check that accepts what hosts ignore as a whole.
test("every field that hosts reject is found", async (t) => {
  assert.ok(!decodes("rejected.json"));
  const { exit, errors, lines } = await check("rejected.json");
  assert.deepEqual([exit, lines], [ExitCode.Failure, []]);
  t.assert.snapshot(errors);
  const against = await check("sound.yaml", { against: "rejected.json" });
  assert.equal(against.exit, ExitCode.Failure);
  assert.deepEqual(against.errors, errors);
});

// Guards against a difference that the operator isn't shown.
test("the differences from the version in force are listed", async (t) => {
  const compared = await check("next.yaml", { against: "sound.yaml" });
  assert.equal(compared.exit, ExitCode.Failure);
  t.assert.snapshot(compared);
  const json = await check("next.yaml", { against: "sound.yaml", json: true });
  t.assert.snapshot(JSON.parse(json.lines.join("\n")));
});

// A key in a terminal or a log of CI would have to be replaced.
test("no key is printed in full", async () => {
  const runs = [
    await check("faulty.yaml"),
    await check("rejected.json"),
    await check("next.yaml", { against: "sound.yaml" }),
    await check("next.yaml", { against: "sound.yaml", json: true }),
  ];
  const printed = JSON.stringify(runs);
  for (
    const key of [
      "docks-secret-key",
      "docks-second-key",
      "mill-secret-key",
      "12345678",
    ]
  ) {
    assert.ok(!printed.includes(key), key);
  }
});

test("a missing file or an option without its value is wrong usage", async () => {
  await assert.rejects(check("absent.yaml"), UsageError);
  await assert.rejects(
    check("sound.yaml", { against: "absent.yaml" }),
    UsageError,
  );
  const invocation = { print: () => {}, printError: () => {} };
  for (
    const args of [
      { positional: [], options: {} },
      { positional: ["a", "b"], options: {} },
      { positional: [join(files, "sound.yaml")], options: { against: true } },
    ]
  ) {
    await assert.rejects(
      async () => await command.run({ ...invocation, ...args }),
      UsageError,
    );
  }
});

// Guards against a name of two words or --json that swallows the file.
test("the program runs the command", () => {
  const args = ["--import", "tsx", "src/main.ts", "config", "check"];
  const run = (...rest: string[]) =>
    spawnSync(process.execPath, [...args, ...rest], { cwd: root });
  const sound = "test/config_check/files/sound.yaml";
  const json = run("--json", sound);
  assert.deepEqual([json.status, json.stdout.toString()], [0, "[]\n"]);
  const faulty = "test/config_check/files/faulty.yaml";
  assert.equal(run(faulty, "--against", sound).status, 1);
  const usage = run(sound, "--against");
  assert.equal(usage.status, 2);
  assert.match(usage.stderr.toString(), /see sesamequay config check --help/);
});
