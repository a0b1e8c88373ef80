/**
 * Plays soaks of real processes, a seed each, and prints a line for each. Exits
 * with 1 if one broke the users' rules.
 */
import { mkdtempSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import sade from "sade";
import { buildProgram } from "../stand_ins/scenario/build_program.ts";
import {
  buildNetworkShim,
  DEFAULT_SOAK,
  formatResult,
  runSoak,
} from "../stand_ins/soak/run_soak.ts";
import { findVariant } from "../stand_ins/soak/variants.ts";

interface CommandOptions {
  seeds: string;
  hosts: number;
  endpoints: number;
  callers: number;
  seconds: number;
  logs: string;
  "keep-all"?: boolean;
  variant?: string;
}

const MS_PER_S = 1_000;

/** Reads `5` or `101..150`. */
function readSeeds(text: string): number[] {
  const [first = NaN, last = first] = text.split("..").map(Number);
  if (!Number.isInteger(first) || !Number.isInteger(last)) {
    throw new Error(`Name seeds as 5 or 101..150, not "${text}"`);
  }
  return Array.from({ length: last - first + 1 }, (_, n) => first + n);
}

async function soak(
  {
    "keep-all": keepsAll = false,
    seeds,
    hosts,
    endpoints,
    callers,
    seconds,
    logs,
    variant,
  }: CommandOptions,
): Promise<void> {
  const folder = mkdtempSync(join(tmpdir(), "sesamequay-soak-build-"));
  const broken = variant === undefined ? undefined : findVariant(variant);
  const program = await buildProgram(join(folder, "program.cjs"), broken);
  const shim = await buildNetworkShim(join(folder, "shim.cjs"));
  let brokenSeeds = 0;
  for (const seed of readSeeds(String(seeds))) {
    const result = await runSoak({
      seed,
      hosts: Number(hosts),
      endpoints: Number(endpoints),
      callers: Number(callers),
      duration_ms: Number(seconds) * MS_PER_S,
      program,
      shim,
      keptLogs: logs,
      keepsAll,
    });
    if (result.broken) brokenSeeds += 1;
    console.log(formatResult(result));
    for (const { rule, detail } of result.violations) {
      console.log(`  ${rule} ${detail}`);
    }
  }
  process.exit(brokenSeeds > 0 ? 1 : 0);
}

sade("soak", true)
  .describe(
    "Plays gateway hosts as processes while everything around them fails",
  )
  .option("--seeds", "One seed, or a range such as 101..150", "101..150")
  .option("--hosts", "Gateway hosts", DEFAULT_SOAK.hosts)
  .option("--endpoints", "Endpoints that stream", DEFAULT_SOAK.endpoints)
  .option("--callers", "Callers that read streams", DEFAULT_SOAK.callers)
  .option("--seconds", "Length of a soak", DEFAULT_SOAK.duration_ms / MS_PER_S)
  .option(
    "--logs",
    "Folder for logs of seeds in which something was found",
    "soak-logs",
  )
  .option("--keep-all", "Keeps the logs of every seed", false)
  .option("--variant", "Plays a program in which a mechanism is disabled")
  .action((options: CommandOptions) => void soak(options))
  .parse(process.argv);
