/** Compiles the program's bundle, with or without a code cache. */
import { Script } from "node:vm";

/** A compiled bundle. */
export interface CompiledBundle {
  script: Script;
  /** Runs the program; `load` is the `require` function that it gets. */
  run(load: NodeJS.Require): void;
}

type BundleFunction = (
  exports: object,
  load: NodeJS.Require,
  module: { exports: object },
) => void;

/**
 * Compiles the source of a bundle, which must be ASCII: V8 accepts a code cache
 * only for a source of the same length.
 */
export function compileBundle(
  source: Buffer,
  codeCache?: Buffer,
): CompiledBundle {
  const text = source.toString("latin1");
  const script = new Script(
    `(function (exports, require, module) {${text}\n})`,
    { filename: "sesamequay.cjs", cachedData: codeCache },
  );
  return {
    script,
    run(load) {
      const module = { exports: {} };
      const program: BundleFunction = script.runInThisContext();
      program(module.exports, load, module);
    },
  };
}
