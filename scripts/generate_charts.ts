/**
 * Writes src/charts/generated_charts.ts from charts/*.yaml. The generated module
 * is committed, so that the executable contains the charts and a build does not
 * have to generate them.
 */
import { readdirSync, readFileSync, writeFileSync } from "node:fs";
import { parse } from "yaml";

const folder = new URL("../charts/", import.meta.url);
const target = new URL("../src/charts/generated_charts.ts", import.meta.url);

/** Reads every chart; the keys are the file names without `.yaml`. */
export function readCharts(): Record<string, unknown> {
  const files = readdirSync(folder).filter((file) => file.endsWith(".yaml"));
  return Object.fromEntries(
    files.sort().map((file) => [
      file.replace(".yaml", ""),
      parse(readFileSync(new URL(file, folder), "utf8")) as unknown,
    ]),
  );
}

function renderModule(): string {
  const json = JSON.stringify(readCharts(), null, 2);
  return `// deno-fmt-ignore-file
/** Generated from charts/*.yaml by \`npm run generate\`; do not edit. */
export const CHARTS = ${json} as const;
`;
}

if (process.argv[1] === import.meta.filename) {
  writeFileSync(target, renderModule());
}
