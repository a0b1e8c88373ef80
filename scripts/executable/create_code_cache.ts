/**
 * Writes the code cache of a bundle: `create_code_cache.ts BUNDLE CACHE
 * [ARGUMENT...]`. It runs the bundle with the arguments first, so that the
 * cache also holds the functions that V8 compiles when they are first called.
 */
import { readFileSync, writeFileSync } from "node:fs";
import { createRequire } from "node:module";
import { compileBundle } from "./compile_bundle.ts";

const [node = "", script = "", bundleFile = "", cacheFile = "", ...rest] =
  process.argv;
const source = readFileSync(bundleFile);
const bundle = compileBundle(source);
process.argv = [node, script, ...rest];
process.once("exit", (code) => {
  if (code !== 0) return;
  writeFileSync(cacheFile, bundle.script.createCachedData());
  const { script } = compileBundle(source, readFileSync(cacheFile));
  if (script.cachedDataRejected !== false) {
    console.error("V8 rejects the code cache of its own bundle");
    process.exitCode = 1;
  }
});
bundle.run(createRequire(import.meta.url));
