/**
 * Bundles the program, optionally with one source edit. A scenario must fail
 * when run against a bundle in which the mechanism it tests is disabled.
 */
import { readFileSync } from "node:fs";
import { join } from "node:path";
import { build, type Plugin } from "esbuild";
import type { BrokenVariant } from "./scenario.ts";

const root = join(import.meta.dirname, "../..");

/**
 * Bundles the program into `outfile`, with the variant's edit applied if one is
 * given. Rejects if the text to replace is not in the variant's file.
 */
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
    plugins: variant === undefined ? [] : [applyVariant(variant)],
  });
  return outfile;
}

function applyVariant(variant: BrokenVariant): Plugin {
  const editedPath = join(root, variant.file);
  return {
    name: "change-source",
    setup(build) {
      build.onLoad({ filter: /\.ts$/ }, ({ path }) => {
        if (path !== editedPath) return undefined;
        const source = readFileSync(path, "utf8");
        if (!source.includes(variant.replace)) {
          throw new Error(
            `${variant.file} does not contain "${variant.replace}"`,
          );
        }
        const contents = source.replace(variant.replace, () => variant.with);
        return { contents, loader: "ts" };
      });
    },
  };
}
