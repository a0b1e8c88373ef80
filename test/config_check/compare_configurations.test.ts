import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import { join } from "node:path";
import { test } from "node:test";
import { parse } from "yaml";
import { configurationFormat } from "../../platform/configuration_format.ts";
import { compareConfigurations } from "../../src/config_check/compare_configurations.ts";
import { describeFinding } from "../../src/config_check/describe_finding.ts";
import { createLocatedDocument } from "../../src/findings/located_document.ts";

const sound = parse(
  readFileSync(join(import.meta.dirname, "files/sound.yaml"), "utf8"),
);

function read(changes: object) {
  const content = { ...sound, ...changes };
  const checked = configurationFormat.read(
    createLocatedDocument("test", content),
  );
  assert.ok(checked.ok);
  return checked.value;
}

function compare(changes: object): string[] {
  return compareConfigurations(read({ version: 8, ...changes }), read({}))
    .map((finding) => describeFinding(finding).message);
}

// Guards against the removal of all keys passing as the removal of tenants:
// without the list, every request is admitted without a key.
test("the list of tenants is told apart from an empty one", () => {
  const removed = ["tenant docks is removed", "tenant mill is removed"];
  assert.deepEqual(compare({ tenants: [] }), removed);
  assert.deepEqual(compare({ tenants: null }), [
    ...removed,
    "the list of tenants is removed",
  ]);
});

// Guards against differences that hosts don't see.
test("defaults that are written out are no difference", () => {
  const routes = sound.routes.map((route: object) => ({
    max_attempts: 1,
    priority: 0,
    target_gap_ms: null,
    ...route,
  }));
  assert.deepEqual(compare({ routes }), []);
});
