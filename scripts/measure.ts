/**
 * Runs the measurement named by the first argument, prints its rows as a table
 * and writes them to measurements/NAME.json, which `sesamequay report` reads.
 */
import { mkdirSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import type { Measurement } from "../src/reports/measurement.ts";
import { buildProgram } from "../stand_ins/scenario/broken_variant.ts";
import { measureClaims, measureOutage } from "./measurements/claims.ts";
import { measureLoad } from "./measurements/load_runs.ts";
import { LOADS } from "./measurements/loads.ts";
import { measureOverhead } from "./measurements/overhead.ts";
import { measureSlopes } from "./measurements/slopes.ts";

const root = join(import.meta.dirname, "..");
const folder = join(root, "measurements");
const name = process.argv[2] ?? "";
const otherMeasurements = new Map([
  ["overhead", measureOverhead],
  ["claims", measureClaims],
  ["outage", measureOutage],
  ["slopes", measureSlopes],
]);
const names = [...otherMeasurements.keys(), ...LOADS.map((load) => load.name)];

if (!names.includes(name)) {
  console.error(`Name one measurement: ${names.join(", ")}`);
  process.exit(2);
}
mkdirSync(folder, { recursive: true });
const program = await buildProgram(join(root, "dist/measured.cjs"));
const load = LOADS.find((candidate) => candidate.name === name);
const rows = load === undefined
  ? await otherMeasurements.get(name)?.(program) ?? []
  : await measureLoad(load, program);
const command = `npm run measure -- ${name}`;
const measurement: Measurement = { name, command, rows };
const file = join(folder, `${name}.json`);
writeFileSync(file, JSON.stringify(measurement, undefined, 2));
console.table(
  rows.map(({ variant, group, figures }) => ({ variant, group, ...figures })),
);
console.log(`Written to ${file}`);
process.exit(0);
