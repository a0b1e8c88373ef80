/** Runs the check commands on the example files of the documentation. */
import assert from "node:assert/strict";
import { execFileSync } from "node:child_process";
import { join } from "node:path";
import { test } from "node:test";

const root = join(import.meta.dirname, "../..");
const secrets = {
  SESAMEQUAY_PEER_SECRET: "an-example-peer-secret",
  SESAMEQUAY_OPERATOR_SECRET: "an-example-operator-secret",
};

function run(...args: string[]): string {
  return execFileSync(
    process.execPath,
    ["--import", "tsx", "src/main.ts", ...args],
    { cwd: root, env: { ...process.env, ...secrets } },
  ).toString().trim();
}

test("the example settings and records pass the checks", () => {
  const settings = run("check", "--settings", "docs/examples/entry-1.yaml");
  assert.equal(settings, "The settings of host entry-1 are fine");
  const gateway = "docs/examples/gateway-1.yaml";
  assert.equal(
    run("check-gateway", "--settings", gateway),
    `${gateway} is fine`,
  );
  const records = ["records-v1.yaml", "records-v2.yaml"]
    .map((file) => `docs/examples/${file}`);
  assert.equal(run("check-records", ...records), "10 records are fine");
});
