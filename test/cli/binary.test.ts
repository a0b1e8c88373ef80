/** Builds the single executable and serves a request with it. */
import assert from "node:assert/strict";
import { execFileSync } from "node:child_process";
import { join } from "node:path";
import { test } from "node:test";
import { VERSION } from "../../src/version.ts";
import { Fleet } from "../../stand_ins/fleet.ts";
import { postJson } from "../../stand_ins/json_client.ts";
import {
  sampleEndpoints,
  SampleKey,
  sampleRecords,
} from "../../stand_ins/sample_records.ts";

const root = join(import.meta.dirname, "../..");
const program = join(root, "dist/sesamequay");

test("the executable checks settings and serves a request", async () => {
  execFileSync(process.execPath, ["--import", "tsx", "scripts/build.ts"], {
    cwd: root,
    stdio: "ignore",
  });
  const version = execFileSync(program, ["--version"]).toString();
  assert.equal(version.trim(), `sesamequay, ${VERSION}`);
  const fleet = new Fleet({
    hosts: 1,
    program,
    endpoints: sampleEndpoints(),
    records: sampleRecords(),
  });
  try {
    await fleet.start();
    const [host] = fleet.hosts;
    assert.ok(host !== undefined);
    const env = { ...process.env, ...fleet.environment };
    const args = ["check", "--settings", host.settingsFile];
    const checked = execFileSync(program, args, { env }).toString();
    assert.match(checked, /The settings of host entry-1 are fine/);
    const path = "/v1/pipelines/khuree/review/requests";
    const response = await postJson(host.callers, path, { input: "a" }, {
      headers: { authorization: `Bearer ${SampleKey.KhureeDocks}` },
    });
    assert.equal(response.status, 200);
  } finally {
    await fleet.stop();
  }
});

test("the version equals that of the package", async () => {
  const manifest = await import("../../package.json", {
    with: { type: "json" },
  });
  assert.equal(manifest.default.version, VERSION);
});
