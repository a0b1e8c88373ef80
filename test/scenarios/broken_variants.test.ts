/**
 * Checks that each scenario fails when run against a build in which the
 * mechanism it tests is disabled. A scenario that still passes tests nothing.
 */
import assert from "node:assert/strict";
import { mkdtempSync, readdirSync, readFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { test } from "node:test";
import { buildProgram } from "../../stand_ins/scenario/build_program.ts";
import {
  runScenario,
  type ScenarioResult,
} from "../../stand_ins/scenario/run_scenario.ts";
import { parseScenario } from "../../stand_ins/scenario/scenario.ts";

const scenarioDirectory = join(import.meta.dirname, "../../scenarios");
const buildDirectory = mkdtempSync(join(tmpdir(), "sesamequay-variants-"));

for (const file of readdirSync(scenarioDirectory).sort()) {
  const scenario = parseScenario(
    file,
    readFileSync(join(scenarioDirectory, file), "utf8"),
  );
  if (!scenario.ok) continue;
  const variants = scenario.value.broken_variants ?? [];
  for (const [number, variant] of variants.entries()) {
    test(`${file} fails when ${variant.name}`, async () => {
      const outfile = join(buildDirectory, `${file}-${number}.cjs`);
      const program = await buildProgram(outfile, variant);
      const result = await runScenario(scenario.value, program);
      assert.ok(countFailures(result) > 0, JSON.stringify(result));
    });
  }
}

function countFailures(
  { violations, unmetExpectations }: ScenarioResult,
): number {
  const counts = Object.values(violations).map(({ sent: _, ...counts }) =>
    Object.values(counts).reduce((sum, count) => sum + count, 0)
  );
  return unmetExpectations.length +
    counts.reduce((sum, count) => sum + count, 0);
}
