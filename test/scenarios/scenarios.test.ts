/** Runs every scenario against a fleet of real processes. */
import assert from "node:assert/strict";
import { readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";
import { test } from "node:test";
import { formatFindings } from "../../src/findings/finding.ts";
import { runScenario } from "../../stand_ins/scenario/run_scenario.ts";
import { parseScenario } from "../../stand_ins/scenario/scenario.ts";

const scenarioDirectory = join(import.meta.dirname, "../../scenarios");

for (const file of readdirSync(scenarioDirectory).sort()) {
  const text = readFileSync(join(scenarioDirectory, file), "utf8");
  const scenario = parseScenario(file, text);
  test(scenario.ok ? scenario.value.name : file, async (t) => {
    assert.ok(
      scenario.ok,
      scenario.ok ? "" : formatFindings(scenario.findings),
    );
    const result = await runScenario(scenario.value);
    assert.deepEqual(result.unmetExpectations, []);
    t.assert.snapshot(result.violations);
  });
}
