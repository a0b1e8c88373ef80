/**
 * Builds the program with one change to its sources, to show that a scenario
 * fails when the mechanism that it proves is left out.
 */
import { readFileSync } from "node:fs";
import { join } from "node:path";
import { build, type Plugin } from "esbuild";
import type { BrokenVariant } from "./scenario.ts";

const root = join(import.meta.dirname, "../..");

/** Builds the program into `outfile`, with the change if there is one. */
export async function buildProgram(
  outfile: string,
  variant?: BrokenVariant,
): Promise<string> {
  await build({
    entryPoints: [join(root, "src/main.ts")],
    outfile,
    bundle: true,
    platform: "node",
    format: "cjs",
    external: ["unix-dgram"],
    logLevel: "error",
    plugins: variant === undefined ? [] : [changeSource(variant)],
  });
  return outfile;
}

function changeSource(variant: BrokenVariant): Plugin {
  const changed = join(root, variant.file);
  return {
    name: "change-source",
    setup(build) {
      build.onLoad({ filter: /\.ts$/ }, ({ path }) => {
        if (path !== changed) return undefined;
        const source = readFileSync(path, "utf8");
        if (!source.includes(variant.replace)) {
          throw new Error(`${variant.file} has no "${variant.replace}"`);
        }
        const contents = source.replace(variant.replace, () => variant.with);
        return { contents, loader: "ts" };
      });
    },
  };
}
