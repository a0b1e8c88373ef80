/**
 * Short soaks of real processes, and one of a program in which a mechanism is
 * disabled, which must be found. `npm run soak` plays more seeds.
 */
import assert from "node:assert/strict";
import { mkdtempSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { test, type TestContext } from "node:test";
import { buildProgram } from "../../stand_ins/scenario/build_program.ts";
import {
  buildNetworkShim,
  DEFAULT_SOAK,
  formatResult,
  runSoak,
  type SoakResult,
} from "../../stand_ins/soak/run_soak.ts";
import { findVariant } from "../../stand_ins/soak/variants.ts";

const buildDirectory = mkdtempSync(join(tmpdir(), "sesamequay-soak-build-"));
const shim = await buildNetworkShim(join(buildDirectory, "shim.cjs"));

/** Seeds that found a fault, each with its cause in a comment. */
const REGRESSION_SEEDS = [
  // A host that is cut off from hosts and store takes streams up at the version
  // it knows, though newer endpoints wrote them.
  105,
];
const SEEDS = [1, ...REGRESSION_SEEDS];

async function playSeed(
  t: TestContext,
  seed: number,
  program: string,
): Promise<SoakResult> {
  const keptLogs = mkdtempSync(join(tmpdir(), "sesamequay-soak-logs-"));
  const result = await runSoak({
    ...DEFAULT_SOAK,
    seed,
    program,
    shim,
    keptLogs,
  });
  t.diagnostic(`${formatResult(result)} logs=${keptLogs}`);
  for (const { rule, detail } of result.violations) {
    t.diagnostic(`${rule} ${detail}`);
  }
  return result;
}

for (const seed of SEEDS) {
  test(`a soak of real processes holds, seed ${seed}`, async (t) => {
    const program = await buildProgram(join(buildDirectory, "program.cjs"));
    const result = await playSeed(t, seed, program);
    assert.equal(result.broken, false, formatResult(result));
    assert.ok(result.goneOn.some(Boolean), "no stream went on");
  });
}

test("a soak fails when a stream may go on at any version", async (t) => {
  const variant = findVariant("a stream may go on at any version");
  const outfile = join(buildDirectory, "variant.cjs");
  const program = await buildProgram(outfile, variant);
  const result = await playSeed(t, 1, program);
  assert.equal(result.broken, true, formatResult(result));
});
