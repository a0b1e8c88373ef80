/**
 * Main script of the executable. Compiles the program from the executable's
 * assets with its code cache, so that a start compiles almost nothing. If V8
 * rejects the cache, it compiles the source instead.
 */
import { getRawAsset } from "node:sea";
import { compileBundle } from "./compile_bundle.ts";

const bundle = compileBundle(
  Buffer.from(getRawAsset("bundle")),
  Buffer.from(getRawAsset("code_cache")),
);
bundle.run(require);
