/** Shows that scenarios fail when the mechanism that they prove is left out. */
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

const folder = join(import.meta.dirname, "../../scenarios");
const output = mkdtempSync(join(tmpdir(), "sesamequay-variants-"));

for (const file of readdirSync(folder).sort()) {
  const scenario = parseScenario(
    file,
    readFileSync(join(folder, file), "utf8"),
  );
  if (!scenario.ok) continue;
  const variants = scenario.value.broken_variants ?? [];
  for (const [number, variant] of variants.entries()) {
    test(`${file} fails when ${variant.name}`, async () => {
      const outfile = join(output, `${file}-${number}.cjs`);
      const program = await buildProgram(outfile, variant);
      const result = await runScenario(scenario.value, program);
      assert.ok(violations(result) > 0, JSON.stringify(result));
    });
  }
}

function violations(
  { violations: verdicts, unmetExpectations: unmet }: ScenarioResult,
): number {
  const counts = Object.values(verdicts).map(({ sent: _, ...counts }) =>
    Object.values(counts).reduce((sum, count) => sum + count, 0)
  );
  return unmet.length + counts.reduce((sum, count) => sum + count, 0);
}
